//! Request ids that name the entry host, and the start of it, that alone may run them.

use ragwortwick_core::{DurationMs, HostName, RequestId, TimeMs, common};

/// How long an id may be used after it was issued; its home remembers what ran for as long.
///
/// Longer costs the home memory; shorter cuts off callers that fetch ids well before they use them.
pub const HOME_WINDOW_MS: DurationMs = DurationMs(600_000);

/// First word of every issued id; ids chosen by callers are those without it.
const PREFIX: &str = "rw1";

/// No host name and no number holds this.
const SEPARATOR: char = '~';

/// `IssuedId` is what an issued request id says.
#[common]
pub struct IssuedId {
    /// The only entry host that may run it.
    pub home: HostName,
    /// The start of that host that issued it.
    pub incarnation: u64,
    /// When it was issued, by the home's clock.
    pub issued_at: TimeMs,
    /// Number within the start.
    pub sequence: u64,
}

/// `IssuedIdState` is what an id's home says of it before it looks at what ran.
#[common(key)]
pub enum IssuedIdState {
    /// It may be run, if it has not been.
    Usable,
    /// Another start of this host issued it; what that one ran is not known.
    OtherIncarnation,
    /// It is older than the window; what ran is no longer remembered.
    Expired,
    /// This host never issued it.
    NeverIssued,
}

impl IssuedId {
    /// `parse` reads an id that some entry host issued; `None` for one that a caller chose.
    #[must_use]
    pub fn parse(id: &RequestId) -> Option<Self> {
        let mut parts = id.as_str().split(SEPARATOR);
        if parts.next()? != PREFIX {
            return None;
        }
        let issued = Self {
            home: HostName::new(parts.next()?),
            incarnation: parts.next()?.parse().ok()?,
            issued_at: TimeMs(parts.next()?.parse().ok()?),
            sequence: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(issued)
    }

    /// `is_reserved` tells whether an id has the prefix that callers must not use.
    #[must_use]
    pub fn is_reserved(id: &RequestId) -> bool {
        id.as_str().split(SEPARATOR).next() == Some(PREFIX)
    }

    /// `to_request_id` writes the id.
    #[must_use]
    pub fn to_request_id(&self) -> RequestId {
        let Self {
            home,
            incarnation,
            issued_at,
            sequence,
        } = self;
        RequestId::new(format!(
            "{PREFIX}{SEPARATOR}{home}{SEPARATOR}{incarnation}{SEPARATOR}{issued_at}{SEPARATOR}{sequence}"
        ))
    }

    /// `state` judges an id at its home.
    ///
    /// The home keeps what it ran in memory only: a host that starts again knows nothing of its
    /// earlier ids, and running one of them could run it a second time, so they are never run.
    #[must_use]
    pub fn state(&self, now: TimeMs, incarnation: u64, next_sequence: u64) -> IssuedIdState {
        if self.incarnation != incarnation {
            IssuedIdState::OtherIncarnation
        } else if self.sequence >= next_sequence || self.issued_at > now {
            IssuedIdState::NeverIssued
        } else if now.since(self.issued_at) >= HOME_WINDOW_MS {
            IssuedIdState::Expired
        } else {
            IssuedIdState::Usable
        }
    }
}
