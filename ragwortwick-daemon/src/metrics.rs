//! Metrics of the process, served at `/metrics`.

use prometheus::{Encoder, HistogramOpts, HistogramVec, TextEncoder};

mod registry;
mod state;

pub use registry::{MetricDescription, MetricRegistry};
pub use state::StateMetrics;

/// Bucket bounds in seconds, from one millisecond to the longest deadline of a request.
const REQUEST_BUCKETS_S: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0, 120.0,
];

/// `Metrics` holds the registered metrics; clones share the same metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: MetricRegistry,
    /// Completion time of requests by customer, class and verdict.
    pub request_completion_seconds: HistogramVec,
    /// Metrics of the table, the zone and the jobs of the zone.
    pub state: StateMetrics,
}

impl Metrics {
    /// `open` registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn open() -> prometheus::Result<Self> {
        let registry = MetricRegistry::default();
        let request_completion_seconds = HistogramVec::new(
            HistogramOpts::new(
                "ragwortwick_request_completion_seconds",
                "Time from a request's arrival to its final answer.",
            )
            .buckets(REQUEST_BUCKETS_S.to_vec()),
            &["customer", "class", "verdict"],
        )?;
        registry.register(Box::new(request_completion_seconds.clone()))?;
        let state = StateMetrics::open(&registry)?;
        Ok(Self {
            registry,
            request_completion_seconds,
            state,
        })
    }

    /// `describe` lists all metrics, including those without a value so far.
    #[must_use]
    pub fn describe(&self) -> Vec<MetricDescription> {
        self.registry.describe()
    }

    /// `render` formats all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be formatted as text.
    pub fn render(&self) -> prometheus::Result<Vec<u8>> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(out)
    }
}
