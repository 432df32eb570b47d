//! Faults of a simulation, drawn from a seed.

use ragwortwick_core::{DurationMs, TimeMs};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// `FaultKind` is one kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The coordinator's process is killed.
    CoordinatorKilled,
    /// The coordinator's process is paused, and resumes unaware that time has passed.
    CoordinatorFrozen,
    /// The coordinator can't reach the store, but still reaches the workers.
    CoordinatorCutFromStore,
    /// The coordinator and a third of the workers can't reach each other.
    CoordinatorCutFromWorkers,
    /// Replies of workers to the coordinator are dropped.
    AnswersCut,
    /// The store is unavailable, and its leases expire meanwhile.
    StoreAway,
    /// Writes take effect, but half of the replies are lost.
    StoreAnswersLost,
    /// Some workers crash and restart as another incarnation.
    WorkersCrash,
    /// Some orders time out and are carried out seconds later.
    OrdersLate,
    /// Some workers drain, and then leave.
    WorkersLeave,
    /// Some workers become several times slower.
    WorkersSlow,
    /// Some workers fail every run that they start.
    WorkersFailing,
    /// Runs on some workers are stalled; only set by workload files, not drawn.
    WorkersHang,
    /// All workers of one rack lose power; only set by workload files, not drawn.
    RackOut,
    /// Some workers have half of their capacity; only set by workload files, not drawn.
    CapacityShrinks,
    /// Operators evacuate one zone; only set by workload files, not drawn.
    ZoneEvacuated,
    /// Some workers refuse most requests as unhealthy; only set by workload files, not drawn.
    WorkersRefuse,
    /// Some workers refuse the first stop orders for each run as unhealthy; not drawn by default.
    StopsRefused,
    /// Orders and replies overtake each other by several hundred milliseconds; not drawn by default.
    MessagesReordered,
    /// Entries of some workers in the store expire while the workers are up; not drawn by default.
    WorkersUnlisted,
    /// Some workers' machines are suspended: their clocks stop, and their leases with them; not drawn by
    /// default.
    WorkersSuspended,
    /// The coordinator's host is removed for good once it has sent a start order, which arrives late; not
    /// drawn by default.
    StarterRemoved,
    /// Orders and polls leave the coordinator's host up to several seconds after they were decided, in any order; not
    /// drawn by default.
    OrdersQueued,
    /// Replies and store results reach the coordinator up to several seconds late, in any order; not drawn by default.
    EventsQueued,
    /// The coordinator is paused, and replies that arrive meanwhile count as timeouts; not drawn by default.
    CoordinatorStalled,
    /// Each placement pass takes hundreds of milliseconds; not drawn by default.
    CoordinatorSlow,
    /// Nothing passes between the hosts and the workers of one zone; what was sent arrives at the end, also if its
    /// sender has given up; not drawn by default.
    ZoneCut,
    /// As `ZoneCut`, in the direction to the workers only; not drawn by default.
    ZoneOrdersHeld,
    /// As `ZoneCut`, in the direction from the workers only; not drawn by default.
    ZoneRepliesHeld,
    /// Some workers' processes restart at once, and register again only at the end; not drawn by default.
    WorkersRestart,
    /// Entries of all workers of one zone expire while the workers are up; not drawn by default.
    ZoneUnlisted,
}

/// Kinds of faults that are drawn.
const DRAWN_KINDS: [FaultKind; 12] = [
    FaultKind::CoordinatorKilled,
    FaultKind::CoordinatorFrozen,
    FaultKind::CoordinatorCutFromStore,
    FaultKind::CoordinatorCutFromWorkers,
    FaultKind::AnswersCut,
    FaultKind::StoreAway,
    FaultKind::StoreAnswersLost,
    FaultKind::WorkersCrash,
    FaultKind::OrdersLate,
    FaultKind::WorkersLeave,
    FaultKind::WorkersSlow,
    FaultKind::WorkersFailing,
];

/// Range of the durations of drawn faults.
const MIN_DRAWN_MS: DurationMs = DurationMs(300);
const MAX_DRAWN_MS: DurationMs = DurationMs(7_000);

/// `Fault` is one fault with its time.
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

impl Fault {
    /// Whether it has begun and not ended.
    pub(crate) fn is_active(&self, now: TimeMs) -> bool {
        self.at <= now && now < self.at + self.for_ms
    }
}

/// `draw_faults` draws faults that may overlap.
#[must_use]
pub fn draw_faults(seed: u64, count: usize, until: TimeMs) -> Vec<Fault> {
    draw_faults_of(&DRAWN_KINDS, MAX_DRAWN_MS, seed, count, until)
}

/// `draw_faults_of` draws faults of the given kinds, of at most the given duration, that may overlap.
///
/// # Panics
///
/// If faults are to be drawn and no kind is given.
#[must_use]
pub fn draw_faults_of(
    kinds: &[FaultKind],
    max_ms: DurationMs,
    seed: u64,
    count: usize,
    until: TimeMs,
) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 8 | 0x5f);
    (0..count)
        .map(|_| Fault {
            kind: kinds[rng.random_range(0..kinds.len())],
            at: TimeMs(rng.random_range(500..until.0.max(501))),
            for_ms: DurationMs(rng.random_range(MIN_DRAWN_MS.0..max_ms.0)),
        })
        .collect()
}
