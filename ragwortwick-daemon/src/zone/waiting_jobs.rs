//! Tells the heartbeats how many jobs wait in the owned zone.

use std::sync::Arc;
use std::time::Duration;

use ragwortwick_border::CustomerJobs;
use ragwortwick_core::Epoch;
use tokio::sync::watch;

use super::job_ledger::JobLedger;

/// Interval of the count, which is that of the fastest heartbeats.
const INTERVAL: Duration = Duration::from_secs(1);

/// `count_waiting` publishes the counts while the zone is owned, and nothing otherwise.
pub(crate) async fn count_waiting(
    ledger: JobLedger,
    owned: watch::Receiver<Option<Epoch>>,
    published: watch::Sender<Arc<Vec<CustomerJobs>>>,
) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let is_owned = owned.borrow().is_some();
        let waiting = if is_owned {
            ledger.waiting()
        } else {
            Vec::new()
        };
        published.send_if_modified(|known| {
            let has_changed = **known != waiting;
            *known = Arc::new(waiting);
            has_changed
        });
    }
}
