//! The operators' table: accepted through the store, in force on every host, never going back.

mod accept;
mod capacity;
mod history;
mod table_duty;

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, HostList, PolicyWeights, Table, TableReview};
use ragwortwick_core::log_event;
use ragwortwick_platform::StoreClient;
use ragwortwick_policy::{Packing, review_packing, table_changes, table_effects, validate_table};
use tokio::sync::watch;

pub(crate) use table_duty::TableDuty;

use crate::{Clock, Metrics, PeerClient};

/// `TableInForce` holds the table in force; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct TableInForce(Arc<watch::Sender<Option<Arc<AcceptedTable>>>>);

impl Default for TableInForce {
    fn default() -> Self {
        Self(Arc::new(watch::channel(None).0))
    }
}

impl TableInForce {
    /// `subscribe` follows the table in force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<AcceptedTable>>> {
        self.0.subscribe()
    }
}

/// `ConfigHandle` reads and changes the operators' table; clones share what is in force.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    in_force: TableInForce,
    store: StoreClient,
    peers: PeerClient,
    hosts: watch::Receiver<Arc<HostList>>,
    clock: Clock,
    metrics: Metrics,
}

impl ConfigHandle {
    /// `open` shares what is in force with those that follow it.
    pub(crate) fn open(
        in_force: TableInForce,
        store: StoreClient,
        peers: PeerClient,
        hosts: watch::Receiver<Arc<HostList>>,
        clock: Clock,
        metrics: Metrics,
    ) -> Self {
        Self {
            in_force,
            store,
            peers,
            hosts,
            clock,
            metrics,
        }
    }

    /// `current` gives the table in force here.
    #[must_use]
    pub fn current(&self) -> Option<Arc<AcceptedTable>> {
        self.in_force.0.borrow().clone()
    }

    /// `number` gives the number of the table in force here, 0 for none.
    pub(crate) fn number(&self) -> u64 {
        self.in_force
            .0
            .borrow()
            .as_ref()
            .map_or(0, |table| table.number)
    }

    /// `offer` takes in a table from a peer or the store; one that is not newer changes nothing.
    ///
    /// A lagging store, a peer that was cut off and a repeated watch event all bring old tables.
    /// Comparing numbers in the one place where a table comes into force keeps each from undoing
    /// an acceptance.
    pub fn offer(&self, table: Arc<AcceptedTable>) {
        let number = table.number;
        let accepted_at_ms = table.accepted_at_ms;
        let is_newer = self.in_force.0.send_if_modified(|known| {
            let is_newer = known.as_ref().is_none_or(|known| known.number < number);
            if is_newer {
                *known = Some(table);
            }
            is_newer
        });
        if is_newer {
            let delay_ms = self.clock.now().since(accepted_at_ms);
            self.metrics.state.observe_table_in_force(number, delay_ms);
            log_event!(
                Info,
                "table_in_force",
                table_number = number,
                delay_ms = delay_ms
            );
        }
    }

    /// `review` tells what accepting the table would do.
    #[must_use]
    pub fn review(&self, table: &Table) -> TableReview {
        let current = self.current();
        let empty = empty_table();
        let old = current.as_ref().map_or(&empty, |current| &current.table);
        let mut problems = validate_table(table);
        let mut effects = table_effects(old, table);
        // Rows that are no promises at all can't be packed, and would be named twice.
        if problems.is_empty() {
            let packing = self.packing(old, table);
            problems = packing.problems;
            effects.extend(packing.effects);
        }
        TableReview {
            current_number: self.number(),
            changes: table_changes(old, table),
            effects,
            problems,
        }
    }

    fn packing(&self, old: &Table, new: &Table) -> Packing {
        let capacity = capacity::listed_capacity(&self.hosts.borrow());
        review_packing(old, new, &capacity)
    }
}

/// `empty_table` is what the first accepted table is compared with.
fn empty_table() -> Table {
    Table {
        customers: Vec::new(),
        guarantees: Vec::new(),
        classes: Vec::new(),
        weights: PolicyWeights {
            completion: 1.0,
            fragmentation: 1.0,
        },
    }
}
