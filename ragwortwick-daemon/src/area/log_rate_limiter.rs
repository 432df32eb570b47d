//! Bounds how many lines a second one kind of event may write.

use std::sync::{Arc, Mutex, PoisonError};

use ragwortwick_core::{DurationMs, TimeMs, log_event};

/// Lines a second of one kind: what ordinary days write, and little processor time on a small host.
const LINES_PER_S: u32 = 60;

/// Length of a window.
const WINDOW_MS: DurationMs = DurationMs(1_000);

/// `LogRateLimiter` admits lines of one kind; clones share it.
#[derive(Clone, Debug)]
pub(super) struct LogRateLimiter {
    kind: &'static str,
    window: Arc<Mutex<Window>>,
}

#[derive(Debug, Default)]
struct Window {
    began_at: TimeMs,
    written: u32,
    left_out: u32,
}

impl LogRateLimiter {
    pub(super) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            window: Arc::default(),
        }
    }

    /// Whether a line may be written now; what is left out is counted in a line of its own.
    pub(super) fn admit(&self, now: TimeMs) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.began_at) >= WINDOW_MS {
            if window.left_out > 0 {
                log_event!(
                    Info,
                    "log_lines_left_out",
                    kind = self.kind,
                    count = window.left_out
                );
            }
            *window = Window {
                began_at: now,
                ..Window::default()
            };
        }
        if window.written < LINES_PER_S {
            window.written += 1;
            true
        } else {
            window.left_out += 1;
            false
        }
    }
}
