//! Stops of runs on draining workers.
//!
//! Many workers may leave at once. A run there continues until the last moment at which a stop still
//! reaches the worker: work that saves checkpoints loses nothing by it, and other work may have finished by
//! then.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::accounting::RunEndReason;
use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::TaskId;

/// Time for a stop to reach a draining worker and for the run end to be reported before the worker leaves.
const STOP_MARGIN_MS: DurationMs = DurationMs(500);

impl Coordinator {
    /// Stops runs that a draining worker cannot finish in time, while their checkpoints can still be kept.
    pub(crate) fn clear_draining_workers(&mut self, now: TimeMs) {
        let mut due: Vec<TaskId> = Vec::new();
        for worker in self.workers.values() {
            let Some(leaves_at) = worker.leaves_at else {
                continue;
            };
            let stop_at = leaves_at - DurationMs(self.limits.stop_ms.0 + STOP_MARGIN_MS.0);
            if now < stop_at {
                continue;
            }
            for (task, allocation) in &worker.allocations {
                if matches!(allocation.phase, AllocationPhase::Running { .. }) {
                    due.push(task.clone());
                }
            }
        }
        for task in due {
            self.stop_with_gang(now, &task, RunEndReason::WorkerLeaves);
        }
    }
}
