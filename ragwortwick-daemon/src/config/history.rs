//! The accepted tables of the past, kept so that a crash between two writes loses none.

use std::collections::BTreeMap;

use ragwortwick_border::{AcceptedTable, StoreAway};
use ragwortwick_core::Revision;
use ragwortwick_platform::{StoreError, StoreWrite};

use super::ConfigHandle;
use super::accept::{away, decode, encode};
use crate::keys;

/// Entries kept; at 8,200 acceptances a day they reach back some three hours, and at today's few a
/// day for years. Without a bound the history would fill the store.
const KEEP_HISTORY: u64 = 1_000;

/// Most entries read at once; values are a few kilobytes and an answer must stay below 8 MB.
const MAX_HISTORY: u32 = 200;

impl ConfigHandle {
    /// `history` reads back accepted tables, newest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the store is away.
    pub async fn history(&self, limit: u32) -> Result<Vec<AcceptedTable>, StoreAway> {
        self.read_history(limit.clamp(1, MAX_HISTORY))
            .await
            .map_err(|error| away(&error))
    }

    async fn read_history(&self, limit: u32) -> Result<Vec<AcceptedTable>, StoreError> {
        let Some(current) = self.stored().await?.table else {
            return Ok(Vec::new());
        };
        let before_first = current.number.saturating_sub(u64::from(limit));
        let page = self
            .store
            .list_page(
                keys::TABLE_HISTORY_PREFIX,
                Some(keys::table_history(before_first)),
                limit,
            )
            .await?;
        let mut tables = BTreeMap::new();
        for entry in &page.entries {
            let table = decode(&entry.key, &entry.value)?;
            tables.insert(table.number, table);
        }
        // The newest one may have no entry yet: its writer may have died between the two writes.
        tables.insert(current.number, current);
        Ok(tables.into_values().rev().take(limit as usize).collect())
    }

    /// `write_history` adds the entry of a table that is in force; a repeat changes nothing.
    ///
    /// Only a table read from `table/current` gets here, and a number is in force once, so an entry
    /// that is there already has the same content.
    pub(super) async fn write_history(&self, table: &AcceptedTable) -> Result<(), StoreError> {
        let write = StoreWrite {
            key: keys::table_history(table.number),
            expected_revision: Revision(0),
            value: Some(encode(table)?),
            lease_id: None,
        };
        self.store.write(&write).await.map(drop)
    }

    /// `prune_history` removes the entry that fell out of the history when `number` was added.
    ///
    /// One that is left out by a crash stays, which costs its bytes and nothing else.
    pub(super) async fn prune_history(&self, number: u64) -> Result<(), StoreError> {
        let Some(old) = number.checked_sub(KEEP_HISTORY).filter(|old| *old > 0) else {
            return Ok(());
        };
        let key = keys::table_history(old);
        let Some(entry) = self.store.get(&key).await? else {
            return Ok(());
        };
        let write = StoreWrite {
            key,
            expected_revision: entry.revision,
            value: None,
            lease_id: None,
        };
        self.store.write(&write).await.map(drop)
    }
}
