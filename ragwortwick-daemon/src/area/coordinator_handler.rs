//! The coordinator's duty: a thread that drives the state machine and hands its actions out.

use std::time::{Duration, Instant};

use ragwortwick_area::{Action, Coordinator, Event, Now};
use ragwortwick_core::{DurationMs, TimeMs, log_event};
use tokio::sync::mpsc;

use crate::{Clock, EventHandler, EventLoopSender, SendError, unix_now};

/// Pause before an event that found the ring full is offered again.
const FULL_PAUSE: Duration = Duration::from_millis(2);

/// `EventSender` feeds the coordinator from the I/O runtime, without blocking its thread.
#[derive(Clone, Debug)]
pub(super) struct EventSender(pub(super) EventLoopSender<Event>);

impl EventSender {
    /// Sends an event; tells whether the coordinator still takes any.
    pub(super) async fn send(&self, event: Event) -> bool {
        let mut event = event;
        loop {
            match self.0.try_send(event) {
                Ok(()) => return true,
                Err(SendError(_)) if self.0.is_closed() => return false,
                Err(SendError(rejected)) => event = rejected,
            }
            tokio::time::sleep(FULL_PAUSE).await;
        }
    }
}

/// `CoordinatorHandler` is the coordinator as a duty.
#[derive(Debug)]
pub(super) struct CoordinatorHandler {
    pub(super) coordinator: Coordinator,
    pub(super) actions: mpsc::UnboundedSender<Vec<Action>>,
    pub(super) clock: Clock,
    /// The time of the last call, which the next wakeup counts from.
    pub(super) last_call: Now,
    pub(super) load: LoadStats,
}

/// How often the coordinator's load is logged while it has work.
const LOAD_LOG_MS: DurationMs = DurationMs(10_000);

/// `LoadStats` is what the coordinator did since its last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadStats {
    since: TimeMs,
    calls: u64,
    busy_us: u64,
    longest_us: u64,
}

impl LoadStats {
    fn add(&mut self, now: TimeMs, begun: Instant, coordinator: &Coordinator) {
        let span_us = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.calls += 1;
        self.busy_us += span_us;
        self.longest_us = self.longest_us.max(span_us);
        if now.since(self.since) < LOAD_LOG_MS {
            return;
        }
        log_event!(
            Info,
            "coordinator_load",
            span_ms = now.since(self.since),
            calls = self.calls,
            busy_ms = self.busy_us / 1_000,
            longest_ms = self.longest_us / 1_000,
            open_jobs = coordinator.open_jobs(),
            workers = coordinator.workers()
        );
        *self = Self {
            since: now,
            ..Self::default()
        };
    }
}

impl CoordinatorHandler {
    fn hand_out(&self, actions: Vec<Action>) {
        if !actions.is_empty() {
            // The receiver ends with the term; then nobody carries out anything any more.
            let _ = self.actions.send(actions);
        }
    }

    fn at(&mut self, now: TimeMs) -> Now {
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
        let begun = Instant::now();
        let now = self.at(now);
        let actions = self.coordinator.on_event(now, event);
        self.hand_out(actions);
        self.coordinator.record_call_end(self.clock.now());
        self.load.add(now.steady, begun, &self.coordinator);
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        let begun = Instant::now();
        let now = self.at(now);
        let actions = self.coordinator.on_wakeup(now);
        self.hand_out(actions);
        self.coordinator.record_call_end(self.clock.now());
        self.load.add(now.steady, begun, &self.coordinator);
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        self.coordinator.next_wakeup(self.last_call)
    }
}
