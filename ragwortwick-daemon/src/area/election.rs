//! Who coordinates: every host tries to take the key when it is free.

use ragwortwick_adapter::{Expectation, StoreFailure, Txn, TxnReply, WriteItem};
use ragwortwick_core::{DurationMs, HostName, Revision, log_event};
use rand::Rng;

use super::keys::COORDINATOR;
use super::replica_feed::CoordinatorKey;
use super::term::{TermParts, Won, serve};

/// Time to live of the coordinator's lease: the longest time without one after it dies.
const LEASE_TTL_MS: DurationMs = DurationMs(2_000);

/// Longest random pause before a free key is tried, so that not all hosts try at once.
const TRY_SPREAD_MS: u64 = 60;

/// Pause after a try that failed.
const FAILED_PAUSE_MS: DurationMs = DurationMs(200);

/// Tries to coordinate until the host stops.
pub(super) async fn run(parts: TermParts, host: HostName) {
    let mut key = parts.coordinator_key.clone();
    let mut desired = parts.desired.clone();
    let mut stopping = parts.stopping.clone();
    loop {
        if *stopping.borrow_and_update() {
            return;
        }
        let has_desired = desired.borrow_and_update().is_some();
        let is_free = *key.borrow_and_update() == CoordinatorKey::Free;
        if !has_desired || !is_free {
            tokio::select! {
                changed = key.changed() => if changed.is_err() { return },
                _ = desired.changed() => {}
                _ = stopping.changed() => {}
            }
            continue;
        }
        let spread_ms = rand::rng().random_range(0..=TRY_SPREAD_MS);
        tokio::time::sleep(DurationMs(spread_ms).into()).await;
        if *key.borrow() != CoordinatorKey::Free {
            continue;
        }
        match take(&parts, &host).await {
            Ok(Some(won)) => {
                serve(&parts, won).await;
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

/// Takes the key if it is free; the revision of that change is the term.
async fn take(parts: &TermParts, host: &HostName) -> Result<Option<Won>, StoreFailure> {
    let granted_at = parts.clock.now();
    let granted = parts.store.grant_lease(LEASE_TTL_MS).await;
    parts.health.note(&granted);
    let (lease, ttl_ms) = granted?;
    // The lease's number makes the value our own, so that it can be told after a lost answer.
    let value = format!("{{\"host\":\"{host}\",\"lease\":{lease}}}").into_bytes();
    let txn = Txn {
        expect: vec![Expectation {
            key: COORDINATOR.to_owned(),
            revision: Revision(0),
        }],
        writes: vec![WriteItem {
            key: COORDINATOR.to_owned(),
            value: value.clone(),
            lease: Some(lease),
        }],
        removes: Vec::new(),
    };
    let reply = parts.store.change(&txn).await;
    parts.health.note(&reply);
    let revision = match reply {
        Ok(TxnReply::Done(revision)) => Some(revision),
        Ok(TxnReply::Conflict(_)) => None,
        Err(StoreFailure::Unknown(_)) => {
            let item = parts.store.get(COORDINATOR).await?;
            item.filter(|item| item.value == value)
                .map(|item| item.revision)
        }
        Err(error) => return Err(error),
    };
    if revision.is_none() {
        // A lease that holds nothing would only lie about until it ends.
        drop(parts.store.end_lease(lease).await);
    }
    Ok(revision.map(|revision| Won {
        lease,
        ttl_ms,
        revision,
        granted_at,
    }))
}
