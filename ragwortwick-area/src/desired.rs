//! The desired state that operators put in force: queues, customers and limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_core::{ClassName, CustomerName};

use crate::job::QueuePolicy;

/// `DesiredState` is one version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Number of the version; it only rises.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<ClassName, Queue>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, Customer>,
    /// Largest request body.
    pub max_body_bytes: Option<usize>,
}

/// `Queue` tells where a queue's jobs come in and how they are run.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name in the `Host` header of its requests.
    pub host: Arc<str>,
    /// Beginning of its paths.
    pub path_prefix: Arc<str>,
    /// How its jobs are run.
    pub policy: QueuePolicy,
    /// Whether calls need no key.
    pub is_public: bool,
}

/// `Customer` holds keys and a guaranteed share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customer {
    /// Keys that its callers present.
    pub api_keys: Vec<Arc<str>>,
    /// Accelerators that its jobs of priority 0 can always reclaim.
    pub guaranteed_accelerators: u64,
}

impl DesiredState {
    /// `route` finds the queue of a call: the longest prefix on the call's host name.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<(&ClassName, &Queue)> {
        self.queues
            .iter()
            .filter(|(_, queue)| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|(_, queue)| queue.path_prefix.len())
    }

    /// `customer_of_key` finds who holds a key.
    #[must_use]
    pub fn customer_of_key(&self, key: &str) -> Option<&CustomerName> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.api_keys.iter().any(|known| &**known == key))
            .map(|(name, _)| name)
    }
}
