//! What the table's weights of completion and fragmentation decide in placement.

use ragwortwick_core::DurationMs;

use super::ZonePlacer;
use super::pool::Pool;

/// Longest that a borrowed start waits where both weights are equal.
const PATIENCE_MS: f64 = 120_000.0;

/// Accelerators moved at once for one whole cell where both weights are equal.
const MOVED_AT_EQUAL_WEIGHTS: f64 = 100.0;

/// Share kept idle where only fragmentation has a weight.
///
/// More would leave borrowed work less than the naive policy leaves; docs/design/0020-placement.md
/// has the curve.
const MOST_KEPT_SHARE: f64 = 0.75;

/// A zone of no more workers keeps nothing idle: its few jobs would wait beside empty workers.
const WORKERS_OF_A_RACK: usize = 8;

/// Keeps a weight of 0 from dividing.
const LEAST_WEIGHT: f64 = 0.01;

impl ZonePlacer {
    /// How many more accelerators borrowed work may take, so that a share stays idle.
    ///
    /// Borrowed work that takes all that is idle leaves holes of many sizes: large jobs find no
    /// adjacent accelerators though enough are free in total. The share is one of what guaranteed
    /// work leaves over, so borrowed work is slowed and never shut out, whatever guarantees take;
    /// and where none runs, a job larger than the rest may take everything.
    pub(super) fn spare_for_borrowed(&self, idle: &Pool, borrowed: &[u32]) -> u32 {
        let free: u32 = idle.free.iter().map(|mask| mask.count_ones()).sum();
        let taken: u32 = borrowed.iter().map(|mask| mask.count_ones()).sum();
        if taken == 0 {
            return free;
        }
        let allowed = whole(f64::from(free + taken) * (1.0 - self.kept_share()));
        allowed.saturating_sub(taken)
    }

    /// Share of what guaranteed work leaves over that stays idle.
    pub(super) fn kept_share(&self) -> f64 {
        if self.ledger.workers.len() <= WORKERS_OF_A_RACK {
            return 0.0;
        }
        let ratio = self.fragmentation_ratio();
        MOST_KEPT_SHARE * (ratio / (1.0 + ratio)).sqrt()
    }

    /// How long a borrowed start waits for a place that harms no large cell.
    pub(super) fn patience(&self) -> DurationMs {
        let ratio = self.fragmentation_ratio().min(10.0);
        DurationMs(u64::from(whole(PATIENCE_MS * ratio)))
    }

    /// How many accelerators may be moved by a checkpoint for one whole cell.
    pub(super) fn move_limit(&self) -> u32 {
        whole(MOVED_AT_EQUAL_WEIGHTS * self.fragmentation_ratio().min(4.0))
    }

    /// The weight of fragmentation over that of completion; 0 before a table is in force.
    fn fragmentation_ratio(&self) -> f64 {
        let weights = self.table.as_ref().map(|table| &table.table.weights);
        weights.map_or(0.0, |w| w.fragmentation / w.completion.max(LEAST_WEIGHT))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "every caller bounds its number far below the type's range, and none is negative"
)]
fn whole(number: f64) -> u32 {
    number as u32
}
