//! Runs the coordinator's state machine on an event loop thread and passes its actions on.

use std::time::{Duration, Instant};

use ragwortwick_area::{Action, Coordinator, Event, Now};
use ragwortwick_core::{DurationMs, TimeMs, log_event};
use tokio::sync::mpsc;

use crate::{Clock, EventHandler, EventLoopSender, SendError, unix_now};

/// Delay before an event that the full queue rejected is sent again.
const QUEUE_FULL_DELAY: Duration = Duration::from_millis(2);

/// `EventSender` sends events from the I/O runtime to the coordinator, without blocking a runtime thread.
#[derive(Clone, Debug)]
pub(super) struct EventSender(pub(super) EventLoopSender<Event>);

impl EventSender {
    /// Sends an event; returns whether the coordinator still accepts events.
    pub(super) async fn send(&self, event: Event) -> bool {
        let mut event = event;
        loop {
            match self.0.try_send(event) {
                Ok(()) => return true,
                Err(SendError(_)) if self.0.is_closed() => return false,
                Err(SendError(rejected)) => event = rejected,
            }
            tokio::time::sleep(QUEUE_FULL_DELAY).await;
        }
    }
}

/// `CoordinatorHandler` runs the coordinator as an event handler.
#[derive(Debug)]
pub(super) struct CoordinatorHandler {
    pub(super) coordinator: Coordinator,
    pub(super) actions: mpsc::UnboundedSender<Vec<Action>>,
    pub(super) clock: Clock,
    /// Time of the last call, from which the next wakeup is computed.
    pub(super) last_call: Now,
    pub(super) load: LoadStats,
}

/// Interval between log lines on the coordinator's load, while it has work.
const LOAD_LOG_INTERVAL_MS: DurationMs = DurationMs(10_000);

/// `LoadStats` counts the coordinator's calls and their time since the last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadStats {
    started_at: TimeMs,
    calls: u64,
    busy_us: u64,
    longest_us: u64,
}

impl LoadStats {
    fn add_call(&mut self, now: TimeMs, started: Instant, coordinator: &Coordinator) {
        let span_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.calls += 1;
        self.busy_us += span_us;
        self.longest_us = self.longest_us.max(span_us);
        if now.since(self.started_at) < LOAD_LOG_INTERVAL_MS {
            return;
        }
        log_event!(
            Info,
            "coordinator_load",
            span_ms = now.since(self.started_at),
            calls = self.calls,
            busy_ms = self.busy_us / 1_000,
            longest_ms = self.longest_us / 1_000,
            open_jobs = coordinator.open_jobs(),
            workers = coordinator.workers()
        );
        *self = Self {
            started_at: now,
            ..Self::default()
        };
    }
}

impl CoordinatorHandler {
    fn send_actions(&self, actions: Vec<Action>) {
        if !actions.is_empty() {
            // The receiver is dropped at the end of the term, when no action is executed any more.
            let _ = self.actions.send(actions);
        }
    }

    fn record_call_start(&mut self, now: TimeMs) -> Now {
        self.last_call = Now {
            steady: now,
            unix: unix_now(),
        };
        self.last_call
    }
}

impl EventHandler for CoordinatorHandler {
    type Event = Event;

    fn on_event(&mut self, now: TimeMs, event: Event) {
        let started = Instant::now();
        let now = self.record_call_start(now);
        let actions = self.coordinator.on_event(now, event);
        self.send_actions(actions);
        self.coordinator.record_call_end(self.clock.now());
        self.load.add_call(now.steady, started, &self.coordinator);
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        let started = Instant::now();
        let now = self.record_call_start(now);
        let actions = self.coordinator.on_wakeup(now);
        self.send_actions(actions);
        self.coordinator.record_call_end(self.clock.now());
        self.load.add_call(now.steady, started, &self.coordinator);
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        self.coordinator.next_wakeup(self.last_call)
    }
}
