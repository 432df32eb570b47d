//! Reads the workers' speeds that an earlier coordinator stored.

use ragwortwick_area::{Coordinator, Now, SpeedRecord};
use ragwortwick_core::{DurationMs, log_event};
use tokio::time::timeout;

use super::keys::SPEEDS_KEY;
use super::term::TermContext;

/// Longest time for which a takeover waits for the speeds.
const READ_TIMEOUT_MS: DurationMs = DurationMs(150);

/// Reads the stored speeds, if work is placed by them; a takeover does not wait for a slow store.
pub(super) async fn read_speeds(context: &TermContext) -> Option<SpeedRecord> {
    if !context.limits.places_by_speed {
        return None;
    }
    let read = context.store.get(SPEEDS_KEY);
    let item = match timeout(READ_TIMEOUT_MS.into(), read).await {
        Ok(Ok(item)) => item?,
        Ok(Err(error)) => {
            log_event!(Info, "speeds_unread", cause = error);
            return None;
        }
        Err(elapsed) => {
            log_event!(Info, "speeds_unread", cause = elapsed);
            return None;
        }
    };
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log_event!(Warn, "speeds_unreadable", cause = error);
            None
        }
    }
}

/// Passes the speeds to a new coordinator, which ignores a record that is of no use.
pub(super) fn restore(coordinator: &mut Coordinator, now: Now, record: &SpeedRecord) {
    match coordinator.restore_speeds(now, record) {
        Ok(()) => log_event!(
            Info,
            "speeds_restored",
            workers = record.workers.len(),
            age_ms = now.unix.since(record.written_unix_ms)
        ),
        Err(error) => log_event!(Warn, "speeds_unreadable", cause = error),
    }
}
