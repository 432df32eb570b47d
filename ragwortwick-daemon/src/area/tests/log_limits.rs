//! Limits on the log lines of one kind of event.

use ragwortwick_core::{DurationMs, TimeMs};

use super::super::log_rate_limiter::CauseLogLimiter;

/// More lines than are written in a second.
const MANY_LINES: usize = 1_000;

/// Guards against a log that doesn't show why runs ended, because runs with another cause ended in the same second.
#[test]
fn verify_a_frequent_cause_leaves_out_no_line_of_a_rare_one() {
    let limiter = CauseLogLimiter::new("run_over");
    let now = TimeMs(5_000);
    let written = (0..MANY_LINES).filter(|_| limiter.admit(now, "Done"));
    assert!(written.count() < MANY_LINES);
    assert!(limiter.admit(now, "NotThere"));
    assert!(!limiter.admit(now, "Done"));
    assert!(limiter.admit(now + DurationMs(1_000), "Done"));
}
