//! The time that stand-ins go by.

use std::time::{SystemTime, UNIX_EPOCH};

use ragwortwick_core::{DurationMs, TimeMs};

/// `now` gives Unix time, so that logs of several processes can be compared.
#[must_use]
pub fn now() -> TimeMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimeMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// `pause` waits, and not at all for zero: a timer's shortest wait would add a millisecond to each
/// call and hide what the path itself costs.
pub(crate) async fn pause(span_ms: DurationMs) {
    if span_ms > DurationMs(0) {
        tokio::time::sleep(span_ms.into()).await;
    }
}
