//! Election of the coordinator: every host tries to create the coordinator key while it is free.

use ragwortwick_adapter::{Precondition, StoreError, Txn, TxnReply, WriteItem};
use ragwortwick_core::{DurationMs, HostName, Revision, log_event};
use rand::Rng;

use super::keys::COORDINATOR_KEY;
use super::layout::read_layout;
use super::replica_feed::CoordinatorKeyState;
use super::term::{CoordinatorLease, TermContext, run_term};

/// Time to live of the coordinator's lease: the longest time without a coordinator after it dies.
const LEASE_TTL_MS: DurationMs = DurationMs(1_000);

/// Longest random delay before a try, so that the hosts don't all try at once.
const MAX_JITTER_MS: u64 = 60;

/// Delay of a host's try for each unit of its CPU deficit, `NO_DELAY_CPU_SHARE / cpu_share - 1`.
///
/// Coordinating 350 workers takes a tenth of a core or more. A host with no more than that would be the
/// bottleneck of the whole area, which costs more than a fraction of a second without a coordinator.
const DELAY_PER_CPU_DEFICIT_MS: f64 = 150.0;

/// Share of a core from which a host tries without this delay.
const NO_DELAY_CPU_SHARE: f64 = 0.5;

/// Longest delay of a host with a small share of a core.
const MAX_CPU_DELAY_MS: f64 = 500.0;

/// Delay after a failed try, or after the end of a term.
const RETRY_DELAY_MS: DurationMs = DurationMs(200);

/// Tries to become the coordinator until the host stops.
pub(super) async fn run(context: TermContext, host: HostName, cpu_share: f64) {
    let cpu_delay_ms = cpu_delay_ms(cpu_share);
    let mut key = context.coordinator_key.clone();
    let mut desired = context.desired.clone();
    let mut stopping = context.stopping.clone();
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
        let jitter_ms = rand::rng().random_range(0..=MAX_JITTER_MS);
        tokio::time::sleep(DurationMs(cpu_delay_ms + jitter_ms).into()).await;
        if *key.borrow() != CoordinatorKeyState::Free {
            continue;
        }
        match try_acquire(&context, &host).await {
            Ok(Some(lease)) => {
                run_term(&context, lease).await;
                // This host's watch reports the released key, or its next holder, a little later.
                tokio::time::sleep(RETRY_DELAY_MS.into()).await;
            }
            Ok(None) => tokio::time::sleep(RETRY_DELAY_MS.into()).await,
            Err(error) => {
                log_event!(Info, "election_failed", cause = error);
                tokio::time::sleep(RETRY_DELAY_MS.into()).await;
            }
        }
    }
}

/// Delay that lets a host with more CPU create the key first.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the span is between zero and half a second"
)]
fn cpu_delay_ms(cpu_share: f64) -> u64 {
    let deficit = (NO_DELAY_CPU_SHARE / cpu_share.max(0.01) - 1.0).max(0.0);
    (deficit * DELAY_PER_CPU_DEFICIT_MS).min(MAX_CPU_DELAY_MS) as u64
}

/// Delay of a host that does not know the layout in the store, until it looks again.
const UNKNOWN_LAYOUT_DELAY_MS: DurationMs = DurationMs(2_000);

/// Creates the key if it is free and the host knows the store's layout; the revision of that change is the term.
async fn try_acquire(
    context: &TermContext,
    host: &HostName,
) -> Result<Option<CoordinatorLease>, StoreError> {
    let layout = read_layout(&context.store).await;
    context.health.record(&layout);
    let Some(layout) = layout? else {
        tokio::time::sleep(UNKNOWN_LAYOUT_DELAY_MS.into()).await;
        return Ok(None);
    };
    let granted_at = context.clock.now();
    let granted = context.store.grant_lease(LEASE_TTL_MS).await;
    context.health.record(&granted);
    let (lease_id, ttl_ms) = granted?;
    // The lease id makes the value unique, so that after a lost reply a read shows who created the key.
    let value = format!("{{\"host\":\"{host}\",\"lease\":{lease_id}}}").into_bytes();
    let key = WriteItem {
        key: COORDINATOR_KEY.to_owned(),
        value: value.clone(),
        lease: Some(lease_id),
    };
    let txn = Txn {
        preconditions: vec![
            Precondition {
                key: COORDINATOR_KEY.to_owned(),
                revision: Revision(0),
            },
            layout.precondition(),
        ],
        writes: layout.upgrade().into_iter().chain([key]).collect(),
        removes: Vec::new(),
    };
    let reply = context.store.commit(&txn).await;
    context.health.record(&reply);
    let revision = match reply {
        Ok(TxnReply::Committed(revision)) => Some(revision),
        Ok(TxnReply::Conflict(_)) => None,
        Err(StoreError::OutcomeUnknown(_)) => {
            let item = context.store.get(COORDINATOR_KEY).await?;
            item.filter(|item| item.value == value)
                .map(|item| item.revision)
        }
        Err(error) => return Err(error),
    };
    if revision.is_none() {
        // Ends the unused lease instead of letting it expire.
        drop(context.store.revoke_lease(lease_id).await);
    }
    Ok(revision.map(|revision| CoordinatorLease {
        lease_id,
        ttl_ms,
        revision,
        granted_at,
    }))
}
