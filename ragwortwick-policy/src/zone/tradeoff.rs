//! Placement limits that follow from the table's weights of completion and fragmentation.

use ragwortwick_core::DurationMs;

use super::ZonePlacer;
use super::pool::Pool;

/// Longest wait of a borrowed start, in milliseconds, where both weights are equal.
const BORROW_WAIT_MS: f64 = 120_000.0;

/// Maximum accelerators moved at once for one whole cell where both weights are equal.
const MOVE_LIMIT_AT_EQUAL_WEIGHTS: f64 = 100.0;

/// Share of capacity reserved where only fragmentation has a weight.
///
/// A larger share would leave borrowed work less than the naive policy does; see the curve in
/// docs/design/0020-placement.md.
const MAX_RESERVED_SHARE: f64 = 0.75;

/// A zone with at most this many workers reserves nothing: its few jobs would wait while workers are idle.
const SMALL_ZONE_WORKERS: usize = 8;

/// Lower bound of the divisor, which avoids a division by a weight of 0.
const MIN_WEIGHT: f64 = 0.01;

impl ZonePlacer {
    /// Returns how many more accelerators borrowed work may take, so that a share stays idle.
    ///
    /// Borrowed work that takes all idle accelerators leaves gaps of many sizes: large jobs find no
    /// adjacent accelerators although enough are free in total. The share is relative to the capacity
    /// that guaranteed work leaves free, so borrowed work is slowed but never excluded. If no borrowed
    /// work runs, a job may exceed the share and take all free accelerators.
    pub(super) fn borrow_budget(&self, idle: &Pool, borrowed: &[u32]) -> u32 {
        let free: u32 = idle.free.iter().map(|mask| mask.count_ones()).sum();
        let taken: u32 = borrowed.iter().map(|mask| mask.count_ones()).sum();
        if taken == 0 {
            return free;
        }
        let allowed = to_u32(f64::from(free + taken) * (1.0 - self.reserved_share()));
        allowed.saturating_sub(taken)
    }

    /// Returns the share of the capacity left by guaranteed work that is reserved.
    pub(super) fn reserved_share(&self) -> f64 {
        if self.ledger.workers.len() <= SMALL_ZONE_WORKERS {
            return 0.0;
        }
        let ratio = self.fragmentation_ratio();
        MAX_RESERVED_SHARE * (ratio / (1.0 + ratio)).sqrt()
    }

    /// Returns how long a borrowed start waits for cells that split no large cell.
    pub(super) fn max_borrow_wait(&self) -> DurationMs {
        let ratio = self.fragmentation_ratio().min(10.0);
        DurationMs(u64::from(to_u32(BORROW_WAIT_MS * ratio)))
    }

    /// Returns how many accelerators may be moved by a checkpoint for one whole cell.
    pub(super) fn move_limit(&self) -> u32 {
        to_u32(MOVE_LIMIT_AT_EQUAL_WEIGHTS * self.fragmentation_ratio().min(4.0))
    }

    /// Returns the weight of fragmentation over that of completion, or 0 before a table is in force.
    fn fragmentation_ratio(&self) -> f64 {
        let weights = self.table.as_ref().map(|table| &table.table.weights);
        weights.map_or(0.0, |w| w.fragmentation / w.completion.max(MIN_WEIGHT))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "every caller bounds its number far below the type's range, and none is negative"
)]
fn to_u32(number: f64) -> u32 {
    number as u32
}
