//! A registry that remembers how each metric describes itself, also before its first value.

use std::sync::{Arc, Mutex, PoisonError};

use prometheus::Registry;
use prometheus::core::Collector;
use prometheus::proto::MetricFamily;

/// `MetricDescription` is what a metric is called and means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name on the page.
    pub name: String,
    /// Labels, in order.
    pub labels: Vec<String>,
    /// Meaning.
    pub help: String,
}

/// `MetricRegistry` registers metrics; clones share them.
#[derive(Clone, Debug, Default)]
pub struct MetricRegistry {
    registry: Registry,
    described: Arc<Mutex<Vec<MetricDescription>>>,
}

impl MetricRegistry {
    /// `register` adds a metric to the page.
    ///
    /// # Errors
    ///
    /// Fails if a metric of that name is there already.
    pub fn register(&self, metric: Box<dyn Collector>) -> prometheus::Result<()> {
        let described = metric
            .desc()
            .into_iter()
            .map(|desc| MetricDescription {
                name: desc.fq_name.clone(),
                labels: desc.variable_labels.clone(),
                help: desc.help.clone(),
            })
            .collect::<Vec<_>>();
        self.registry.register(metric)?;
        // A list that was being added to when a thread panicked is still a list.
        self.described
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(described);
        Ok(())
    }

    /// `describe` lists the registered metrics in the order of their names.
    #[must_use]
    pub fn describe(&self) -> Vec<MetricDescription> {
        let mut described = self
            .described
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        described.sort_by(|a, b| a.name.cmp(&b.name));
        described
    }

    /// `gather` reads the values of all metrics.
    #[must_use]
    pub fn gather(&self) -> Vec<MetricFamily> {
        self.registry.gather()
    }
}
