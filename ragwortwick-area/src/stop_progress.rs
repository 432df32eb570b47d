//! Progress of the stop of one run, from the first order until the run must have ended.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::messages::{OrderReply, RefusalCause};

/// Pause before a stop order without effect is sent again, from sending it.
const RESEND_MS: DurationMs = DurationMs(150);

/// Margin on the longest time that stopping a run takes, for timers and scheduling delays.
const STOP_MARGIN_MS: DurationMs = DurationMs(200);

/// `StopProgress` is what is known about the stop of a run that its worker has, or may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopProgress {
    /// An order has to be sent: none was, or the last one had no known effect.
    Due {
        /// When the last order was sent.
        last_sent_at: Option<TimeMs>,
    },
    /// An order was sent, and its reply is pending.
    InFlight {
        /// When the order was sent.
        sent_at: TimeMs,
    },
    /// The worker has confirmed the stop.
    Confirmed {
        /// When the confirmation arrived.
        at: TimeMs,
    },
}

impl StopProgress {
    /// A stop whose order was not sent yet.
    pub(crate) const PENDING: Self = Self::Due { last_sent_at: None };

    pub(crate) fn is_order_due(self, now: TimeMs) -> bool {
        match self {
            Self::Due { last_sent_at } => last_sent_at.is_none_or(|at| now.since(at) >= RESEND_MS),
            Self::InFlight { .. } | Self::Confirmed { .. } => false,
        }
    }

    pub(crate) fn record_order(&mut self, now: TimeMs) {
        *self = Self::InFlight { sent_at: now };
    }

    pub(crate) fn record_reply(&mut self, now: TimeMs, reply: OrderReply) {
        let Self::InFlight { sent_at } = *self else {
            return;
        };
        *self = if confirms_stop(reply) {
            Self::Confirmed { at: now }
        } else {
            Self::Due {
                last_sent_at: Some(sent_at),
            }
        };
    }

    pub(crate) fn is_confirmed(self) -> bool {
        matches!(self, Self::Confirmed { .. })
    }

    /// Records that a report still lists the run, in reply to a poll sent at the given time. A confirmed stop
    /// has had no effect if stopping should have ended by then, so the order is sent again.
    pub(crate) fn record_running(&mut self, poll_sent_at: TimeMs, stop_ms: DurationMs) {
        if self.is_over_at(poll_sent_at, stop_ms) {
            *self = Self::PENDING;
        }
    }

    /// Whether a confirmed stop must have ended the run by the given time.
    ///
    /// Until then the run may go on, and take its resources, although its worker no longer lists it as running.
    pub(crate) fn is_over_at(self, at: TimeMs, stop_ms: DurationMs) -> bool {
        self.over_after(stop_ms)
            .is_some_and(|over_after| at > over_after)
    }

    /// The time after which a confirmed stop must have ended the run; none while the stop is not confirmed.
    pub(crate) fn over_after(self, stop_ms: DurationMs) -> Option<TimeMs> {
        match self {
            Self::Confirmed { at } => Some(at + stop_ms + STOP_MARGIN_MS),
            Self::Due { .. } | Self::InFlight { .. } => None,
        }
    }
}

/// Whether a reply to a stop order shows that the run ends, and that no earlier start order can begin it.
///
/// A worker that refuses the order as stale no longer has the run. Any other refusal leaves the run as it
/// was, so the order has to be repeated.
fn confirms_stop(reply: OrderReply) -> bool {
    match reply {
        OrderReply::Accepted { .. } | OrderReply::Refused(RefusalCause::StaleRun) => true,
        OrderReply::Refused(
            RefusalCause::Fenced
            | RefusalCause::LeaseOver
            | RefusalCause::NoRoom
            | RefusalCause::Unhealthy
            | RefusalCause::NoTicket
            | RefusalCause::Invalid,
        )
        | OrderReply::WrongLife
        | OrderReply::Unknown => false,
    }
}
