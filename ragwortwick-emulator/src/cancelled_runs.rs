//! Check that the runs of a cancelled job end within a bound of its cancellation.
//!
//! The bound is counted over a calm stretch: a period without an impairment that could delay a stop order. An
//! order without a reply may begin a run long after it was sent, and that run has to be stopped as well.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::faults::{Fault, FaultKind};
use crate::invariants::MAX_START_AFTER_CANCEL_MS;
use crate::simulation::Simulation;
use crate::worker::ActiveRun;

/// Time after an impairment, or after the late start of a run, from which a stretch is calm.
const STABLE_MS: DurationMs = DurationMs(3_000);

/// Time after the last input for which a simulation continues: a late order arrives up to 12 s after it was
/// sent, and the run that it begins may go on for the bound after `STABLE_MS`.
pub(crate) const OBSERVATION_MS: DurationMs = DurationMs(20_000);

impl FaultKind {
    /// Whether the fault may delay the stop orders of a cancelled job.
    fn is_impairment(self) -> bool {
        !matches!(
            self,
            Self::WorkersRefuse
                | Self::WorkersLeave
                | Self::ZoneEvacuated
                | Self::StopsRefused
                | Self::MessagesReordered
        )
    }
}

impl Simulation {
    /// Checks that no run of a cancelled job goes on after a calm stretch of the bound.
    pub(crate) fn check_cancelled_runs(&mut self) {
        let Some(calm_since) = self.calm_since() else {
            return;
        };
        let bound_ms = MAX_START_AFTER_CANCEL_MS + self.options.limits.stop_ms;
        for worker in self.workers.iter().filter(|worker| worker.is_up()) {
            for (task, active) in &worker.running {
                let Some(&cancelled_at) = self.ground_truth.cancelled_at.get(&task.job_id) else {
                    continue;
                };
                let stretch_start = calm_since
                    .max(cancelled_at)
                    .max(stoppable_since(active).unwrap_or_default());
                if self.now.since(stretch_start) > bound_ms {
                    let run = (task, active.run);
                    let name = &worker.name;
                    self.ground_truth
                        .report_cancelled_run(self.now, run, name, stretch_start);
                }
            }
        }
    }

    /// Whether a run of a cancelled job is in progress.
    pub(crate) fn has_cancelled_run(&self) -> bool {
        let cancelled = &self.ground_truth.cancelled_at;
        let up = self.workers.iter().filter(|worker| worker.is_up());
        let mut running = up.flat_map(|worker| worker.running.keys());
        running.any(|task| cancelled.contains_key(&task.job_id))
    }

    /// Returns the start of the current calm stretch; none while an impairment is active or recent.
    fn calm_since(&self) -> Option<TimeMs> {
        let is_impairment = |fault: &&Fault| fault.kind.is_impairment() && fault.at <= self.now;
        let impairments = self.faults.iter().filter(is_impairment);
        let calm_since = impairments
            .map(|fault| fault.at + fault.for_ms + STABLE_MS)
            .max()
            .unwrap_or_default();
        (calm_since <= self.now).then_some(calm_since)
    }
}

/// Returns the time from which the bound counts for a run that began late; none for any other run.
fn stoppable_since(active: &ActiveRun) -> Option<TimeMs> {
    active.is_late.then(|| active.started_at + STABLE_MS)
}
