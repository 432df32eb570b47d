//! The desired state that operators configure: queues, customers and the maximum size of a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_core::{ClassName, CustomerName};

use crate::job::QueuePolicy;

/// `DesiredState` is one version of the configuration that operators set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Version number; it only increases.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<ClassName, Queue>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, Customer>,
    /// Maximum size of a request body.
    pub max_body_bytes: Option<usize>,
}

/// `Queue` holds the route on which a queue receives its jobs and the policy that runs them.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Value of the `Host` header of its requests.
    pub host: Arc<str>,
    /// Prefix of the paths of its requests.
    pub path_prefix: Arc<str>,
    /// How its jobs are run.
    pub policy: QueuePolicy,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// `Customer` holds the API keys and the guaranteed share of a customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customer {
    /// API keys of its clients.
    pub api_keys: Vec<Arc<str>>,
    /// Accelerators that its jobs of priority 0 can always reclaim.
    pub guaranteed_accelerators: u64,
}

impl DesiredState {
    /// `route` finds the queue for a request: the one with the longest matching prefix on its host name.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<(&ClassName, &Queue)> {
        self.queues
            .iter()
            .filter(|(_, queue)| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|(_, queue)| queue.path_prefix.len())
    }

    /// `customer_of_key` finds the customer that holds an API key.
    #[must_use]
    pub fn customer_of_key(&self, key: &str) -> Option<&CustomerName> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.api_keys.iter().any(|known| &**known == key))
            .map(|(name, _)| name)
    }
}
