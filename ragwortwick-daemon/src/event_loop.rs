//! Event loop: a thread that drives one event handler from a bounded queue.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use ragwortwick_core::{DurationMs, TimeMs};

use crate::Clock;

/// Longest wait for an event; it bounds the delay of a missed wakeup.
const MAX_WAIT_MS: DurationMs = DurationMs(1_000);

/// Shortest wait for an event. A handler whose next wakeup has already passed would otherwise never yield
/// the processor to the threads that it waits for.
const MIN_WAIT_MS: DurationMs = DurationMs(1);

/// `EventHandler` is a state machine that an event loop drives.
pub trait EventHandler: Send + 'static {
    /// Events that the handler processes.
    type Event: Send + 'static;

    /// `on_event` processes one event.
    fn on_event(&mut self, now: TimeMs, event: Self::Event);

    /// `on_wakeup` is called once the time of `next_wakeup` is reached.
    fn on_wakeup(&mut self, now: TimeMs);

    /// `next_wakeup` returns when the handler has to run without an event.
    fn next_wakeup(&self) -> Option<TimeMs>;
}

/// `EventLoopSender` is the sending end of an event loop's bounded queue; clones send to the same queue.
pub struct EventLoopSender<E>(Sender<Message<E>>, Arc<AtomicBool>);

/// `SendError` returns an event that could not be queued.
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
    /// `is_closed` reports whether the event loop has ended, so that the queue accepts no more events.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.1.load(Ordering::SeqCst)
    }

    /// `try_send` queues the event without waiting.
    ///
    /// # Errors
    ///
    /// Returns the event if the queue is full or the event loop has ended; the caller must reject it.
    pub fn try_send(&self, event: E) -> Result<(), SendError<E>> {
        self.0
            .try_send(Message::Event(event))
            .map_err(|error| match error {
                TrySendError::Full(message) | TrySendError::Disconnected(message) => {
                    match message {
                        Message::Event(event) => SendError(event),
                        Message::Stop => unreachable!("only events are sent"),
                    }
                }
            })
    }

    /// `send` queues the event, waiting while the queue is full.
    ///
    /// It is for events that must not be lost, from threads that may block.
    ///
    /// # Errors
    ///
    /// Returns the event if the event loop has ended.
    pub fn send(&self, event: E) -> Result<(), SendError<E>> {
        self.0
            .send(Message::Event(event))
            .map_err(|error| match error.0 {
                Message::Event(event) => SendError(event),
                Message::Stop => unreachable!("only events are sent"),
            })
    }
}

/// `EventLoop` is a running event loop.
#[derive(Debug)]
pub struct EventLoop<E> {
    sender: EventLoopSender<E>,
    thread: JoinHandle<()>,
}

impl<E: Send + 'static> EventLoop<E> {
    /// `spawn` starts the thread and returns its handle.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot start a thread.
    pub fn spawn<H: EventHandler<Event = E>>(
        name: &str,
        capacity: usize,
        clock: Clock,
        handler: H,
    ) -> io::Result<Self> {
        let (events, receiver) = bounded(capacity);
        let has_ended = Arc::new(AtomicBool::new(false));
        let sender = EventLoopSender(events, Arc::clone(&has_ended));
        let thread = Builder::new().name(name.to_owned()).spawn(move || {
            run(clock, handler, &receiver);
            has_ended.store(true, Ordering::SeqCst);
        })?;
        Ok(Self { sender, thread })
    }

    /// `sender` returns a sending end of the queue.
    #[must_use]
    pub fn sender(&self) -> EventLoopSender<E> {
        self.sender.clone()
    }

    /// `close` processes the queued events and ends the event loop.
    pub fn close(self) {
        // An event loop that has ended accepts no message and needs none.
        let _ = self.sender.0.send(Message::Stop);
        // A panic in the thread aborts the process, so there is no result to check.
        let _ = self.thread.join();
    }
}

fn run<H: EventHandler>(clock: Clock, mut handler: H, receiver: &Receiver<Message<H::Event>>) {
    loop {
        let now = clock.now();
        let wakeup = handler.next_wakeup();
        if wakeup.is_some_and(|at| at <= now) {
            handler.on_wakeup(now);
        }
        let wait_ms = handler
            .next_wakeup()
            .map_or(MAX_WAIT_MS, |at| at.since(clock.now()))
            .clamp(MIN_WAIT_MS, MAX_WAIT_MS);
        match receiver.recv_timeout(wait_ms.into()) {
            Ok(Message::Event(event)) => handler.on_event(clock.now(), event),
            Err(RecvTimeoutError::Timeout) => {}
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
        }
    }
}
