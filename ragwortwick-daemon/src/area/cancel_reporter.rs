//! Logs and counts the cancels that a coordinator learns of, with how long each was on its way.

use ragwortwick_core::log_event;

use super::job_view::CancelChange;
use super::log_rate_limiter::LogRateLimiter;
use super::metrics::AreaMetrics;
use super::replica::JobReplica;
use crate::{Clock, unix_now};

/// `CancelReporter` reports the cancels that a host reads while it coordinates.
#[derive(Debug)]
pub(super) struct CancelReporter {
    replica: JobReplica,
    metrics: AreaMetrics,
    clock: Clock,
    limiter: LogRateLimiter,
}

impl CancelReporter {
    pub(super) fn open(replica: JobReplica, metrics: AreaMetrics, clock: Clock) -> Self {
        Self {
            replica,
            metrics,
            clock,
            limiter: LogRateLimiter::new("cancel_read"),
        }
    }

    /// Reports a cancel, unless the job's end is stored: a read of the whole prefix repeats it.
    pub(super) fn report(&self, cancel: &CancelChange) {
        let view = self.replica.view(&cancel.job_id);
        if view.is_some_and(|view| view.phase.is_final()) {
            return;
        }
        let age_ms = cancel
            .requested_unix_ms
            .map(|requested| unix_now().since(requested));
        if let Some(age_ms) = age_ms
            && cancel.has_job
        {
            self.metrics.cancel_seconds.observe(age_ms.as_secs_f64());
        }
        if self.limiter.admit(self.clock.now()) {
            log_event!(
                Info,
                "cancel_read",
                job_id = cancel.job_id,
                has_job = cancel.has_job,
                age_ms = age_ms.map_or_else(|| "unknown".to_owned(), |age_ms| age_ms.to_string())
            );
        }
    }
}
