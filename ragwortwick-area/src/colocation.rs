//! Workers that run fillers beside latency-sensitive tasks: fillers are throttled before users notice them.
//!
//! Fillers use processor time that serving tasks leave unused, and interfere with them by amounts that depend
//! on the image and change within seconds. Only the tail latency that the worker reports shows the
//! interference, so the pace of fillers follows it: fast down, slowly up.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::StepSpec;
use crate::messages::Action;
use crate::worker::Worker;

/// Initial pace of fillers beside a serving task, until the tail latency allows or requires another.
const INITIAL_PACE_PERCENT: u32 = 20;

/// Tail latency, in per cent of the target, from which the pace is reduced to a quarter.
const OVER_TARGET_PERCENT: u32 = 100;

/// Tail latency, in per cent of the target, from which the pace is reduced to seven tenths.
const NEAR_TARGET_PERCENT: u32 = 85;

/// Tail latency, in per cent of the target, below which the pace is raised.
const BELOW_TARGET_PERCENT: u32 = 70;

/// Lowest pace above zero; below it fillers are paused.
const MIN_PACE_PERCENT: u32 = 4;

/// Amount by which the pace is raised.
const RAISE_STEP_PERCENT: u32 = 5;

/// Minimum time between the last change and a reduction: the reported latency covers the last half second,
/// and a pace takes effect after 0.1 s.
const LOWER_PAUSE_MS: DurationMs = DurationMs(700);

/// Minimum time between the last change and a raise; the interference changes within seconds.
const RAISE_PAUSE_MS: DurationMs = DurationMs(1_000);

/// `ColocationRole` is how a run shares its worker with other runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ColocationRole {
    /// It uses only its own allocation.
    Ordinary,
    /// It serves users, who are sensitive to its tail latency.
    Serving {
        /// Upper limit of the tail latency.
        target_ms: u64,
    },
    /// It uses only processor time that others leave unused.
    Filler,
}

impl ColocationRole {
    pub(crate) fn of(spec: &StepSpec) -> Self {
        match spec.tail_target_ms {
            _ if spec.is_filler => Self::Filler,
            Some(target_ms) => Self::Serving {
                target_ms: target_ms.0.max(1),
            },
            None => Self::Ordinary,
        }
    }
}

impl Worker {
    /// Returns the highest tail latency of the serving runs, in per cent of its target, if there are any.
    fn highest_latency_percent(&self) -> Option<u32> {
        let serving = self
            .allocations
            .values()
            .filter_map(|allocation| match allocation.role {
                ColocationRole::Serving { target_ms }
                    if matches!(allocation.phase, AllocationPhase::Running { .. }) =>
                {
                    let percent = u64::from(allocation.load) * 100 / target_ms;
                    Some(u32::try_from(percent).unwrap_or(u32::MAX))
                }
                _ => None,
            });
        serving.max()
    }

    fn has_fillers(&self) -> bool {
        self.allocations
            .values()
            .any(|allocation| allocation.role == ColocationRole::Filler)
    }

    /// Whether serving runs and fillers share this worker, so that it has to be polled frequently.
    pub(crate) fn has_colocated_fillers(&self) -> bool {
        let serves = |role| matches!(role, ColocationRole::Serving { .. });
        self.has_fillers()
            && self
                .allocations
                .values()
                .any(|allocation| serves(allocation.role))
    }

    fn adjust_filler_pace(&mut self, now: TimeMs) {
        let Some(latency_percent) = self.highest_latency_percent() else {
            self.filler_pace_percent = 100;
            self.pace_changed_at = None;
            return;
        };
        let Some(pace_changed_at) = self.pace_changed_at else {
            self.filler_pace_percent = INITIAL_PACE_PERCENT;
            self.pace_changed_at = Some(now);
            return;
        };
        let since_ms = now.since(pace_changed_at);
        let new_percent = match latency_percent {
            OVER_TARGET_PERCENT.. if since_ms >= LOWER_PAUSE_MS => self.filler_pace_percent / 4,
            NEAR_TARGET_PERCENT..OVER_TARGET_PERCENT if since_ms >= LOWER_PAUSE_MS => {
                self.filler_pace_percent * 7 / 10
            }
            ..BELOW_TARGET_PERCENT if since_ms >= RAISE_PAUSE_MS => {
                (self.filler_pace_percent + RAISE_STEP_PERCENT).min(100)
            }
            _ => return,
        };
        self.filler_pace_percent = if new_percent < MIN_PACE_PERCENT {
            0
        } else {
            new_percent
        };
        self.pace_changed_at = Some(now);
    }
}

impl Coordinator {
    /// Sets the pace of a worker's fillers from its latest report.
    pub(crate) fn pace_fillers(&mut self, now: TimeMs, worker_name: &WorkerName) {
        let has_valid_lease = self.has_valid_lease(now);
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        if !worker.has_fillers() || !has_valid_lease {
            return;
        }
        worker.adjust_filler_pace(now);
        let percent = worker.filler_pace_percent;
        for (task, allocation) in &mut worker.allocations {
            let is_running = matches!(allocation.phase, AllocationPhase::Running { .. });
            if allocation.role != ColocationRole::Filler
                || !is_running
                || allocation.confirmed_pace_percent == Some(percent)
            {
                continue;
            }
            allocation.confirmed_pace_percent = Some(percent);
            self.actions.push(Action::SetPace {
                worker: worker_name.clone(),
                address: Arc::clone(&worker.entry.address),
                task: task.clone(),
                run: allocation.run,
                percent,
            });
        }
    }

    /// Handles a pace order that may not have arrived; it is sent again after the next poll.
    pub(crate) fn on_pace_failed(
        &mut self,
        worker_name: &WorkerName,
        task: &crate::TaskId,
        run: u32,
    ) {
        let worker = self.workers.get_mut(worker_name);
        let allocation = worker.and_then(|worker| worker.allocations.get_mut(task));
        if let Some(allocation) = allocation.filter(|allocation| allocation.run == run) {
            allocation.confirmed_pace_percent = None;
        }
    }
}
