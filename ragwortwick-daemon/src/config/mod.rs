//! The operators' table: accepted through the store, in force on every host, never going back.

use std::sync::Arc;

use ragwortwick_border::{
    AcceptedTable, StoreAway, Table, TableAccept, TableAcceptReply, TableReview,
};

/// `ConfigHandle` reads and changes the operators' table; clones reach the same duty.
#[derive(Clone, Debug)]
pub struct ConfigHandle;

impl ConfigHandle {
    /// `current` gives the table in force here.
    #[must_use]
    pub fn current(&self) -> Option<Arc<AcceptedTable>> {
        let _ = self;
        None
    }

    /// `offer` takes in a table from a peer or the store; one that is not newer changes nothing.
    pub fn offer(&self, table: Arc<AcceptedTable>) {
        let _ = (self, table);
    }

    /// `review` tells what accepting the table would do.
    #[must_use]
    pub fn review(&self, table: &Table) -> TableReview {
        let _ = (self, table);
        TableReview {
            current_number: 0,
            changes: Vec::new(),
            effects: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// `accept` writes the table to the store, if nobody accepted another one since the review.
    pub async fn accept(&self, accept: TableAccept) -> TableAcceptReply {
        let _ = (self, accept);
        std::future::pending().await
    }

    /// `history` reads back accepted tables, newest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the store is away.
    pub async fn history(&self, limit: u32) -> Result<Vec<AcceptedTable>, StoreAway> {
        let _ = (self, limit);
        std::future::pending().await
    }
}
