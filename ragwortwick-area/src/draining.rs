//! What runs on workers that are about to leave.
//!
//! Answers the load in which many workers leave at once. Whatever runs there goes on until a last moment,
//! in which a stop still reaches the worker: work that saves loses nothing by it, and other work may have
//! ended by then.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::accounting::RunEndReason;
use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::TaskId;

/// Time for a stop to reach a leaving worker and its end to be listed, before the worker is gone.
const EVACUATION_MARGIN_MS: DurationMs = DurationMs(500);

impl Coordinator {
    /// Stops what a leaving worker has no time to finish, while its checkpoint can still be kept.
    pub(crate) fn evacuate_draining_workers(&mut self, now: TimeMs) {
        let mut leaving: Vec<TaskId> = Vec::new();
        for worker in self.workers.values() {
            let Some(leaves_at) = worker.leaves_at else {
                continue;
            };
            let last_call = leaves_at - DurationMs(self.limits.stop_ms.0 + EVACUATION_MARGIN_MS.0);
            if now < last_call {
                continue;
            }
            for (task, held) in &worker.allocations {
                if matches!(held.phase, AllocationPhase::Running { .. }) {
                    leaving.push(task.clone());
                }
            }
        }
        for task in leaving {
            self.stop_with_gang(now, &task, RunEndReason::WorkerLeaves);
        }
    }
}
