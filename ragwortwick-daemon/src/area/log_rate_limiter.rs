//! Limits the log lines per second of one kind of event.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use ragwortwick_core::{DurationMs, TimeMs, log_event};

/// Lines per second of one kind: enough for normal load, and little CPU time on a small host.
const MAX_LINES_PER_S: u32 = 60;

const WINDOW_MS: DurationMs = DurationMs(1_000);

/// `LogRateLimiter` limits the lines of one kind of event; clones share it.
#[derive(Clone, Debug)]
pub(super) struct LogRateLimiter {
    kind: Arc<str>,
    window: Arc<Mutex<Window>>,
}

#[derive(Debug, Default)]
struct Window {
    started_at: TimeMs,
    written: u32,
    skipped: u32,
}

impl LogRateLimiter {
    pub(super) fn new(kind: impl Into<Arc<str>>) -> Self {
        Self {
            kind: kind.into(),
            window: Arc::default(),
        }
    }

    /// Whether a line may be written now; the lines left out of a window are logged as a count.
    pub(super) fn admit(&self, now: TimeMs) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.started_at) >= WINDOW_MS {
            if window.skipped > 0 {
                log_event!(
                    Info,
                    "log_lines_left_out",
                    kind = self.kind,
                    count = window.skipped
                );
            }
            *window = Window {
                started_at: now,
                ..Window::default()
            };
        }
        if window.written < MAX_LINES_PER_S {
            window.written += 1;
            true
        } else {
            window.skipped += 1;
            false
        }
    }
}

/// `CauseLogLimiter` limits the lines of one kind of event for each cause, so that a frequent cause leaves out no
/// line of a rare one.
#[derive(Debug)]
pub(super) struct CauseLogLimiter {
    kind: &'static str,
    by_cause: Mutex<BTreeMap<String, LogRateLimiter>>,
}

impl CauseLogLimiter {
    pub(super) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            by_cause: Mutex::default(),
        }
    }

    /// Whether a line with this cause may be written now.
    pub(super) fn admit(&self, now: TimeMs, cause: &str) -> bool {
        let mut by_cause = self.by_cause.lock().unwrap_or_else(PoisonError::into_inner);
        if !by_cause.contains_key(cause) {
            let limiter = LogRateLimiter::new(format!("{}/{cause}", self.kind));
            by_cause.insert(cause.to_owned(), limiter);
        }
        by_cause[cause].admit(now)
    }
}
