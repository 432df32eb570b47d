//! Who coordinates: every host tries to take the key when it is free.

use ragwortwick_adapter::{Precondition, StoreError, Txn, TxnReply, WriteItem};
use ragwortwick_core::{DurationMs, HostName, Revision, log_event};
use rand::Rng;

use super::keys::COORDINATOR_KEY;
use super::replica_feed::CoordinatorKeyState;
use super::term::{CoordinatorLease, TermContext, run_term};

/// Time to live of the coordinator's lease: the longest time without one after it dies.
const LEASE_TTL_MS: DurationMs = DurationMs(2_000);

/// Longest random pause before a free key is tried, so that not all hosts try at once.
const TRY_SPREAD_MS: u64 = 60;

/// How much later a host tries for each time that its share of a core is below `FULL_SHARE`.
///
/// Coordinating 350 workers takes a tenth of a core or more; a host that has just that would be the
/// bottleneck of the whole area, and costs it more than a fraction of a second without coordinator.
const WAIT_PER_LACK_MS: f64 = 150.0;

/// Share of a core from which on a host tries at once.
const FULL_SHARE: f64 = 0.5;

/// Longest that a weak host holds back.
const MOST_WAIT_MS: f64 = 500.0;

/// Pause after a try that failed.
const FAILED_PAUSE_MS: DurationMs = DurationMs(200);

/// Tries to coordinate until the host stops.
pub(super) async fn run(parts: TermContext, host: HostName, cpu_share: f64) {
    let held_back_ms = held_back_ms(cpu_share);
    let mut key = parts.coordinator_key.clone();
    let mut desired = parts.desired.clone();
    let mut stopping = parts.stopping.clone();
    loop {
        if *stopping.borrow_and_update() {
            return;
        }
        let has_desired = desired.borrow_and_update().is_some();
        let is_free = *key.borrow_and_update() == CoordinatorKeyState::Free;
        if !has_desired || !is_free {
            tokio::select! {
                changed = key.changed() => if changed.is_err() { return },
                _ = desired.changed() => {}
                _ = stopping.changed() => {}
            }
            continue;
        }
        let spread_ms = rand::rng().random_range(0..=TRY_SPREAD_MS);
        tokio::time::sleep(DurationMs(held_back_ms + spread_ms).into()).await;
        if *key.borrow() != CoordinatorKeyState::Free {
            continue;
        }
        match take(&parts, &host).await {
            Ok(Some(won)) => {
                run_term(&parts, won).await;
                // The own watch shows the freed key, or its next holder, a little later.
                tokio::time::sleep(FAILED_PAUSE_MS.into()).await;
            }
            Ok(None) => tokio::time::sleep(FAILED_PAUSE_MS.into()).await,
            Err(error) => {
                log_event!(Info, "election_failed", cause = error);
                tokio::time::sleep(FAILED_PAUSE_MS.into()).await;
            }
        }
    }
}

/// A weak host leaves the key to a stronger one, which will have taken it by then.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the span is between zero and half a second"
)]
fn held_back_ms(cpu_share: f64) -> u64 {
    let lack = (FULL_SHARE / cpu_share.max(0.01) - 1.0).max(0.0);
    (lack * WAIT_PER_LACK_MS).min(MOST_WAIT_MS) as u64
}

/// Takes the key if it is free; the revision of that change is the term.
async fn take(
    parts: &TermContext,
    host: &HostName,
) -> Result<Option<CoordinatorLease>, StoreError> {
    let granted_at = parts.clock.now();
    let granted = parts.store.grant_lease(LEASE_TTL_MS).await;
    parts.health.record(&granted);
    let (lease, ttl_ms) = granted?;
    // The lease's number makes the value our own, so that it can be told after a lost answer.
    let value = format!("{{\"host\":\"{host}\",\"lease\":{lease}}}").into_bytes();
    let txn = Txn {
        preconditions: vec![Precondition {
            key: COORDINATOR_KEY.to_owned(),
            revision: Revision(0),
        }],
        writes: vec![WriteItem {
            key: COORDINATOR_KEY.to_owned(),
            value: value.clone(),
            lease: Some(lease),
        }],
        removes: Vec::new(),
    };
    let reply = parts.store.commit(&txn).await;
    parts.health.record(&reply);
    let revision = match reply {
        Ok(TxnReply::Committed(revision)) => Some(revision),
        Ok(TxnReply::Conflict(_)) => None,
        Err(StoreError::OutcomeUnknown(_)) => {
            let item = parts.store.get(COORDINATOR_KEY).await?;
            item.filter(|item| item.value == value)
                .map(|item| item.revision)
        }
        Err(error) => return Err(error),
    };
    if revision.is_none() {
        // A lease that holds nothing would only lie about until it ends.
        drop(parts.store.revoke_lease(lease).await);
    }
    Ok(revision.map(|revision| CoordinatorLease {
        lease,
        ttl_ms,
        revision,
        granted_at,
    }))
}
