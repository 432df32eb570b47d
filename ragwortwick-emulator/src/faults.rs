//! What goes wrong in a run, drawn by seed.

use ragwortwick_core::{DurationMs, TimeMs};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// `FaultKind` is one kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The coordinator's process is killed.
    CoordinatorKilled,
    /// The coordinator stands still, and wakes believing that no time has passed.
    CoordinatorFrozen,
    /// The coordinator loses the store, but not the workers.
    CoordinatorCutFromStore,
    /// The coordinator loses a third of the workers, both ways.
    CoordinatorCutFromWorkers,
    /// Answers of workers don't come back to the coordinator.
    #[serde(rename = "answers_cut")]
    RepliesDropped,
    /// The store is away, and its leases run out meanwhile.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// Writes take effect, but every second answer is lost.
    #[serde(rename = "store_answers_lost")]
    StoreRepliesLost,
    /// Some workers crash and come back with another name.
    WorkersCrash,
    /// A part of the orders gets no answer and is carried out seconds later.
    OrdersLate,
    /// Some workers announce that they leave, and leave.
    WorkersLeave,
    /// Some workers become several times slower.
    WorkersSlow,
    /// Some workers fail everything that they start.
    WorkersFailing,
    /// What runs on some workers stands still; loads name it, it is not drawn.
    WorkersHang,
    /// All workers of one rack are without power; loads name it, it is not drawn.
    #[serde(rename = "rack_out")]
    RackPowerLoss,
    /// Some workers have half of their capacity; loads name it, it is not drawn.
    CapacityShrinks,
}

/// The kinds that are drawn.
const KINDS: [FaultKind; 12] = [
    FaultKind::CoordinatorKilled,
    FaultKind::CoordinatorFrozen,
    FaultKind::CoordinatorCutFromStore,
    FaultKind::CoordinatorCutFromWorkers,
    FaultKind::RepliesDropped,
    FaultKind::StoreUnavailable,
    FaultKind::StoreRepliesLost,
    FaultKind::WorkersCrash,
    FaultKind::OrdersLate,
    FaultKind::WorkersLeave,
    FaultKind::WorkersSlow,
    FaultKind::WorkersFailing,
];

/// `Fault` is one trouble with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it begins.
    pub at: TimeMs,
    /// How long it lasts.
    pub for_ms: DurationMs,
}

/// `draw_faults` draws troubles that may overlap.
#[must_use]
pub fn draw_faults(seed: u64, count: usize, until: TimeMs) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 8 | 0x5f);
    (0..count)
        .map(|_| Fault {
            kind: KINDS[rng.random_range(0..KINDS.len())],
            at: TimeMs(rng.random_range(500..until.0.max(501))),
            for_ms: DurationMs(rng.random_range(300..7_000)),
        })
        .collect()
}
