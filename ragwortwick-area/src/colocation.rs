//! Workers that serve users and run fillers beside: fillers are slowed down before users feel them.
//!
//! Fillers use what serving tasks leave unused, and disturb them by amounts that differ by image and
//! change within seconds. Nothing but the tail latency that the worker tells shows how much, so the
//! pace of fillers follows it: quickly down, slowly up.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::StepSpec;
use crate::messages::Action;
use crate::worker::Worker;

/// Pace of fillers that come to a worker which serves, until its tail latency shows more.
const FIRST_PERCENT: u32 = 20;

/// Share of the target, in per cent, from which fillers go down to a quarter.
const OVER_PERCENT: u32 = 100;

/// Share of the target from which they go down to seven tenths.
const NEAR_PERCENT: u32 = 85;

/// Share of the target below which they go up again.
const CALM_PERCENT: u32 = 70;

/// Least pace that still is one; below it fillers stand still.
const LEAST_PERCENT: u32 = 4;

/// Step upwards.
const RAISE_PERCENT: u32 = 5;

/// Pause after a step down: the worker's figure covers half a second, and a pace holds from 0.1 s on.
const LOWER_PAUSE_MS: DurationMs = DurationMs(700);

/// Pause before a step up; disturbances change within seconds.
const RAISE_PAUSE_MS: DurationMs = DurationMs(1_000);

/// `ColocationRole` is what a run is to others on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ColocationRole {
    /// It has its own room.
    Ordinary,
    /// It serves users, who feel its tail latency.
    Serving {
        /// Bound of the tail latency.
        target_ms: u64,
    },
    /// It uses what others leave.
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
    /// The highest tail latency of what serves here, in per cent of its target; none if nothing does.
    fn tightest_percent(&self) -> Option<u32> {
        let serving = self
            .allocations
            .values()
            .filter_map(|held| match held.role {
                ColocationRole::Serving { target_ms }
                    if matches!(held.phase, AllocationPhase::Running { .. }) =>
                {
                    let percent = u64::from(held.load) * 100 / target_ms;
                    Some(u32::try_from(percent).unwrap_or(u32::MAX))
                }
                _ => None,
            });
        serving.max()
    }

    fn has_fillers(&self) -> bool {
        self.allocations
            .values()
            .any(|held| held.role == ColocationRole::Filler)
    }

    /// Whether tasks that serve and fillers are here together, so that looks must be frequent.
    pub(crate) fn has_colocated_fillers(&self) -> bool {
        let serves = |role| matches!(role, ColocationRole::Serving { .. });
        self.has_fillers() && self.allocations.values().any(|held| serves(held.role))
    }

    fn adjust_fillers(&mut self, now: TimeMs) {
        let Some(tight) = self.tightest_percent() else {
            self.filler_pace_percent = 100;
            self.pace_changed_at = None;
            return;
        };
        let Some(pace_changed_at) = self.pace_changed_at else {
            self.filler_pace_percent = FIRST_PERCENT;
            self.pace_changed_at = Some(now);
            return;
        };
        let since_ms = now.since(pace_changed_at);
        let wanted = match tight {
            OVER_PERCENT.. if since_ms >= LOWER_PAUSE_MS => self.filler_pace_percent / 4,
            NEAR_PERCENT..OVER_PERCENT if since_ms >= LOWER_PAUSE_MS => {
                self.filler_pace_percent * 7 / 10
            }
            ..CALM_PERCENT if since_ms >= RAISE_PAUSE_MS => {
                (self.filler_pace_percent + RAISE_PERCENT).min(100)
            }
            _ => return,
        };
        self.filler_pace_percent = if wanted < LEAST_PERCENT { 0 } else { wanted };
        self.pace_changed_at = Some(now);
    }
}

impl Coordinator {
    /// Sets the pace of a worker's fillers by what it has just told.
    pub(crate) fn pace_fillers(&mut self, now: TimeMs, worker_name: &WorkerName) {
        let can_start_work = self.can_start_work(now);
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        if !worker.has_fillers() || !can_start_work {
            return;
        }
        worker.adjust_fillers(now);
        let percent = worker.filler_pace_percent;
        for (task, held) in &mut worker.allocations {
            let is_running = matches!(held.phase, AllocationPhase::Running { .. });
            if held.role != ColocationRole::Filler
                || !is_running
                || held.confirmed_pace_percent == Some(percent)
            {
                continue;
            }
            held.confirmed_pace_percent = Some(percent);
            self.actions.push(Action::SetPace {
                worker: worker_name.clone(),
                address: Arc::clone(&worker.entry.address),
                task: task.clone(),
                run: held.run,
                percent,
            });
        }
    }

    /// A pace may not have arrived; the next look tells it again.
    pub(crate) fn on_pace_failed(
        &mut self,
        worker_name: &WorkerName,
        task: &crate::TaskId,
        run: u32,
    ) {
        let worker = self.workers.get_mut(worker_name);
        let held = worker.and_then(|worker| worker.allocations.get_mut(task));
        if let Some(held) = held.filter(|held| held.run == run) {
            held.confirmed_pace_percent = None;
        }
    }
}
