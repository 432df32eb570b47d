//! The coordinator's duty: a thread that drives the state machine and hands its actions out.

use std::time::Duration;

use ragwortwick_area::{Action, Coordinator, Event, Now};
use ragwortwick_core::TimeMs;
use tokio::sync::mpsc;

use crate::{Machine, Ring, RingFull, unix_now};

/// Pause before an event that found the ring full is offered again.
const FULL_PAUSE: Duration = Duration::from_millis(2);

/// `EventSender` feeds the coordinator from the I/O runtime, without blocking its thread.
#[derive(Clone, Debug)]
pub(super) struct EventSender(pub(super) Ring<Event>);

impl EventSender {
    /// Sends an event; tells whether the coordinator still takes any.
    pub(super) async fn send(&self, event: Event) -> bool {
        let mut event = event;
        loop {
            match self.0.offer(event) {
                Ok(()) => return true,
                Err(RingFull(_)) if self.0.is_closed() => return false,
                Err(RingFull(rejected)) => event = rejected,
            }
            tokio::time::sleep(FULL_PAUSE).await;
        }
    }
}

/// `CoordinatorMachine` is the coordinator as a duty.
#[derive(Debug)]
pub(super) struct CoordinatorMachine {
    pub(super) coordinator: Coordinator,
    pub(super) actions: mpsc::UnboundedSender<Vec<Action>>,
    /// The time of the last call, which the next wakeup counts from.
    pub(super) last: Now,
}

impl CoordinatorMachine {
    fn hand_out(&self, actions: Vec<Action>) {
        if !actions.is_empty() {
            // The receiver ends with the term; then nobody carries out anything any more.
            let _ = self.actions.send(actions);
        }
    }

    fn at(&mut self, now: TimeMs) -> Now {
        self.last = Now {
            steady: now,
            unix: unix_now(),
        };
        self.last
    }
}

impl Machine for CoordinatorMachine {
    type Event = Event;

    fn on_event(&mut self, now: TimeMs, event: Event) {
        let now = self.at(now);
        let actions = self.coordinator.on_event(now, event);
        self.hand_out(actions);
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        let now = self.at(now);
        let actions = self.coordinator.on_wakeup(now);
        self.hand_out(actions);
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        self.coordinator.next_wakeup(self.last)
    }
}
