//! A thread per duty, fed by a bounded ring of events.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use ragwortwick_core::{DurationMs, TimeMs};

use crate::Clock;

/// Longest sleep of a duty without events; it bounds how late a duty notices a missed wakeup.
const IDLE_WAIT_MS: DurationMs = DurationMs(1_000);

/// Shortest sleep without an event. A machine that asks for a time that has passed would else never
/// leave the processor to the threads that it waits for.
const LEAST_WAIT_MS: DurationMs = DurationMs(1);

/// `EventHandler` is a state machine that a duty's thread drives.
pub trait EventHandler: Send + 'static {
    /// What the machine learns.
    type Event: Send + 'static;

    /// `on_event` takes in one event.
    fn on_event(&mut self, now: TimeMs, event: Self::Event);

    /// `on_wakeup` is called when `next_wakeup` has come.
    fn on_wakeup(&mut self, now: TimeMs);

    /// `next_wakeup` tells when the machine wants to act without an event.
    fn next_wakeup(&self) -> Option<TimeMs>;
}

/// `EventLoopSender` is the sending end of a duty's bounded ring; clones feed the same duty.
pub struct EventLoopSender<E>(Sender<Message<E>>, Arc<AtomicBool>);

/// `SendError` gives back an event that found no place.
#[derive(Debug)]
pub struct SendError<E>(pub E);

enum Message<E> {
    Event(E),
    Stop,
}

impl<E> Clone for EventLoopSender<E> {
    fn clone(&self) -> Self {
        Self(self.0.clone(), Arc::clone(&self.1))
    }
}

impl<E> fmt::Debug for EventLoopSender<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ring")
            .field("len", &self.0.len())
            .field("is_closed", &self.is_closed())
            .finish_non_exhaustive()
    }
}

impl<E> EventLoopSender<E> {
    /// `is_closed` tells whether the duty has ended, so that waiting for a place is in vain.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.1.load(Ordering::SeqCst)
    }

    /// `try_send` puts the event into the ring without waiting.
    ///
    /// # Errors
    ///
    /// Gives the event back if the ring is full or its duty has ended; the caller must refuse.
    pub fn try_send(&self, event: E) -> Result<(), SendError<E>> {
        self.0
            .try_send(Message::Event(event))
            .map_err(|error| match error {
                TrySendError::Full(message) | TrySendError::Disconnected(message) => {
                    match message {
                        Message::Event(event) => SendError(event),
                        Message::Stop => unreachable!("only events are offered"),
                    }
                }
            })
    }

    /// `send` waits for a place; for events that must not be lost, from threads that may wait.
    ///
    /// # Errors
    ///
    /// Gives the event back if the duty has ended.
    pub fn send(&self, event: E) -> Result<(), SendError<E>> {
        self.0
            .send(Message::Event(event))
            .map_err(|error| match error.0 {
                Message::Event(event) => SendError(event),
                Message::Stop => unreachable!("only events are pushed"),
            })
    }
}

/// `EventLoop` is a running duty.
#[derive(Debug)]
pub struct EventLoop<E> {
    ring: EventLoopSender<E>,
    thread: JoinHandle<()>,
}

impl<E: Send + 'static> EventLoop<E> {
    /// `spawn` starts the thread and gives the running handle.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn spawn<M: EventHandler<Event = E>>(
        name: &str,
        capacity: usize,
        clock: Clock,
        machine: M,
    ) -> io::Result<Self> {
        let (sender, receiver) = bounded(capacity);
        let has_ended = Arc::new(AtomicBool::new(false));
        let ring = EventLoopSender(sender, Arc::clone(&has_ended));
        let thread = Builder::new().name(name.to_owned()).spawn(move || {
            run(clock, machine, &receiver);
            has_ended.store(true, Ordering::SeqCst);
        })?;
        Ok(Self { ring, thread })
    }

    /// `sender` gives a sending end.
    #[must_use]
    pub fn sender(&self) -> EventLoopSender<E> {
        self.ring.clone()
    }

    /// `close` lets the duty handle what is in the ring and ends it.
    pub fn close(self) {
        // A duty that has ended takes no message and needs none.
        let _ = self.ring.0.send(Message::Stop);
        // A duty that panicked has ended the process already, so there is no result to look at.
        let _ = self.thread.join();
    }
}

fn run<M: EventHandler>(clock: Clock, mut machine: M, receiver: &Receiver<Message<M::Event>>) {
    loop {
        let now = clock.now();
        let wakeup = machine.next_wakeup();
        if wakeup.is_some_and(|at| at <= now) {
            machine.on_wakeup(now);
        }
        let wait_ms = machine
            .next_wakeup()
            .map_or(IDLE_WAIT_MS, |at| at.since(clock.now()))
            .clamp(LEAST_WAIT_MS, IDLE_WAIT_MS);
        match receiver.recv_timeout(wait_ms.into()) {
            Ok(Message::Event(event)) => machine.on_event(clock.now(), event),
            Err(RecvTimeoutError::Timeout) => {}
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
        }
    }
}
