//! Acceptance of a reviewed table: one conditional write decides between racing operators.

use std::sync::Arc;

use ragwortwick_border::{
    AcceptedTable, PeerCall, StoreAway, StoreEntry, TableAccept, TableAcceptReply, TableConflict,
};
use ragwortwick_core::{DurationMs, Revision, log_event};
use ragwortwick_platform::{StoreError, StoreWrite, WriteOutcome};
use ragwortwick_policy::table_changes;

use super::{ConfigHandle, empty_table};
use crate::keys;

/// When an operator may try again after the store gave no answer.
const RETRY_AFTER_MS: DurationMs = DurationMs(5_000);

/// Longest time to hand a new table to one peer; it learns of it from the store otherwise.
const PUSH_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// `Stored` is the accepted table as the store holds it.
pub(super) struct Stored {
    /// Revision of the key, 0 if there is none.
    pub(super) revision: Revision,
    /// The table, if one was accepted.
    pub(super) table: Option<AcceptedTable>,
}

impl ConfigHandle {
    /// `accept` writes the table to the store, if nobody accepted another one since the review.
    pub async fn accept(&self, accept: TableAccept) -> TableAcceptReply {
        let review = self.review(&accept.table);
        if !review.problems.is_empty() {
            return TableAcceptReply::Invalid(review);
        }
        let reply = match self.try_accept(&accept).await {
            Ok(reply) => reply,
            Err(error) => TableAcceptReply::StoreAway(away(&error)),
        };
        log_outcome(&accept, &reply);
        reply
    }

    async fn try_accept(&self, accept: &TableAccept) -> Result<TableAcceptReply, StoreError> {
        // Read before the store is asked: a table that a peer tells of while the answer travels makes
        // that answer old, but the store does not lag, and the operator has to see the conflict.
        let in_force = self.number();
        let stored = self.stored().await?;
        if let Some(earlier) = self.find_repeat(&stored, accept).await? {
            self.offer(Arc::new(earlier.clone()));
            return Ok(TableAcceptReply::Accepted(earlier));
        }
        let stored_number = number_of(&stored);
        if stored_number < in_force {
            // The store lags behind what this host has in force; a write against the old revision
            // could only fail, and the operator would be shown a difference to the past.
            let cause = "the store answered an older table than the one in force";
            return Err(StoreError::NotSent(cause.to_owned()));
        }
        if stored_number != accept.based_on_number {
            return self.conflict(stored.table, accept).await;
        }
        if let Some(replaced) = &stored.table {
            // The entry of the table that is about to be replaced: a crash between the two writes
            // of its acceptance may have left it out, and this is the last moment to add it.
            self.write_history(replaced).await?;
        }
        self.replace(&stored, accept).await
    }

    async fn replace(
        &self,
        stored: &Stored,
        accept: &TableAccept,
    ) -> Result<TableAcceptReply, StoreError> {
        let accepted = AcceptedTable {
            number: accept.based_on_number + 1,
            nonce: accept.nonce.clone(),
            accepted_by: accept.accepted_by.clone(),
            accepted_at_ms: self.clock.now(),
            reason: accept.reason.clone(),
            table: accept.table.clone(),
        };
        let write = StoreWrite {
            key: keys::TABLE_CURRENT.to_owned(),
            expected_revision: stored.revision,
            value: Some(encode(&accepted)?),
            lease_id: None,
        };
        match self.store.write(&write).await? {
            WriteOutcome::Written(_) => {}
            WriteOutcome::Conflict { found, .. } => {
                return self.settle_conflict(found, accept).await;
            }
        }
        let accepted = Arc::new(accepted);
        self.offer(Arc::clone(&accepted));
        self.push_to_peers(&accepted);
        self.complete_history(Arc::clone(&accepted));
        Ok(TableAcceptReply::Accepted(AcceptedTable::clone(&accepted)))
    }

    /// The same acceptance may have arrived twice, here or on another host, or an earlier try of
    /// this one was written and replaced since; only the nonce tells.
    async fn settle_conflict(
        &self,
        found: Option<StoreEntry>,
        accept: &TableAccept,
    ) -> Result<TableAcceptReply, StoreError> {
        let stored = decode_entry(found)?;
        if let Some(earlier) = self.find_repeat(&stored, accept).await? {
            self.offer(Arc::new(earlier.clone()));
            return Ok(TableAcceptReply::Accepted(earlier));
        }
        self.conflict(stored.table, accept).await
    }

    /// Finds the table that this very acceptance already put in force.
    async fn find_repeat(
        &self,
        stored: &Stored,
        accept: &TableAccept,
    ) -> Result<Option<AcceptedTable>, StoreError> {
        let Some(current) = &stored.table else {
            return Ok(None);
        };
        if current.nonce == accept.nonce {
            return Ok(Some(current.clone()));
        }
        let number = accept.based_on_number + 1;
        if number >= current.number {
            return Ok(None);
        }
        let entry = self.store.get(&keys::table_history(number)).await?;
        let earlier = decode_entry(entry)?.table;
        Ok(earlier.filter(|table| table.nonce == accept.nonce))
    }

    /// Shows what changed between the table that the operator reviewed and the one in the store.
    async fn conflict(
        &self,
        current: Option<AcceptedTable>,
        accept: &TableAccept,
    ) -> Result<TableAcceptReply, StoreError> {
        let Some(current) = current else {
            let mut review = self.review(&accept.table);
            review.problems.push(unknown_base(accept.based_on_number));
            return Ok(TableAcceptReply::Invalid(review));
        };
        self.offer(Arc::new(current.clone()));
        let key = keys::table_history(accept.based_on_number);
        let reviewed = decode_entry(self.store.get(&key).await?)?
            .table
            .map_or_else(empty_table, |reviewed| reviewed.table);
        let changes = table_changes(&reviewed, &current.table);
        Ok(TableAcceptReply::Conflict(TableConflict {
            current,
            changes,
        }))
    }

    /// `stored` reads the accepted table from the store.
    pub(super) async fn stored(&self) -> Result<Stored, StoreError> {
        decode_entry(self.store.get(keys::TABLE_CURRENT).await?)
    }

    fn push_to_peers(&self, accepted: &Arc<AcceptedTable>) {
        for host in self.peers.reachable() {
            let peers = self.peers.clone();
            let call = PeerCall::PushTable(AcceptedTable::clone(accepted));
            tokio::spawn(async move {
                // A peer that misses the call finds the table in the store or at another peer.
                drop(peers.call(&host, call, PUSH_TIMEOUT_MS).await);
            });
        }
    }

    fn complete_history(&self, accepted: Arc<AcceptedTable>) {
        let config = self.clone();
        tokio::spawn(async move {
            // If this fails, the next acceptance adds the entry before it replaces the table.
            drop(config.write_history(&accepted).await);
            drop(config.prune_history(accepted.number).await);
        });
    }
}

/// `decode_entry` reads a stored table; an absent key is revision 0.
pub(super) fn decode_entry(entry: Option<StoreEntry>) -> Result<Stored, StoreError> {
    let Some(entry) = entry else {
        return Ok(Stored {
            revision: Revision(0),
            table: None,
        });
    };
    Ok(Stored {
        revision: entry.revision,
        table: Some(decode(&entry.key, &entry.value)?),
    })
}

/// `decode` reads a stored table.
pub(super) fn decode(key: &str, value: &str) -> Result<AcceptedTable, StoreError> {
    serde_json::from_str(value).map_err(|e| StoreError::Refused(format!("{key}: {e}")))
}

/// `encode` writes a table for the store.
pub(super) fn encode(table: &AcceptedTable) -> Result<String, StoreError> {
    serde_json::to_string(table).map_err(|e| StoreError::Refused(e.to_string()))
}

fn number_of(stored: &Stored) -> u64 {
    stored.table.as_ref().map_or(0, |table| table.number)
}

/// `away` tells an operator or a caller what a failed store call means.
pub(super) fn away(error: &StoreError) -> StoreAway {
    StoreAway {
        may_have_taken_effect: error.may_have_taken_effect(),
        retry_after_ms: RETRY_AFTER_MS,
    }
}

fn unknown_base(number: u64) -> ragwortwick_border::TableProblem {
    ragwortwick_border::TableProblem {
        sheet: String::new(),
        row: 0,
        column: String::new(),
        problem: format!("table {number} is not in the store; expected 0 for the first table"),
    }
}

fn log_outcome(accept: &TableAccept, reply: &TableAcceptReply) {
    let outcome = match reply {
        TableAcceptReply::Accepted(_) => "accepted",
        TableAcceptReply::Conflict(_) => "conflict",
        TableAcceptReply::Invalid(_) => "invalid",
        TableAcceptReply::StoreAway(_) => "store_away",
    };
    log_event!(
        Info,
        "table_accept",
        outcome = outcome,
        accepted_by = accept.accepted_by,
        based_on_number = accept.based_on_number
    );
}
