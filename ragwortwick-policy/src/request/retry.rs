//! The retry budget: how many repeats a customer's own first tries pay for.

/// Tenths of a retry that one first try pays; ten first tries pay for one retry, so a failing fleet
/// sees at most 10% extra load.
const TENTHS_PER_FIRST_TRY: u32 = 1;

/// What one retry costs.
const TENTHS_PER_RETRY: u32 = 10;

/// Most that can be saved up; more would let a long quiet time pay for a storm later.
const MAX_SAVED_TENTHS: u32 = 100;

/// Every retry loads the fleet once more: when all runners fail, unbounded retries multiply the load
/// exactly when the fleet is weakest, and it does not recover. Since a retry must be paid by first
/// tries, the load stays within a tenth of the callers' own, whatever fails.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    tenths: u32,
}

impl RetryBudget {
    /// The first retry is paid in advance, or a lone request on a quiet host would have none.
    pub(super) fn new() -> Self {
        Self {
            tenths: TENTHS_PER_RETRY - TENTHS_PER_FIRST_TRY,
        }
    }

    pub(super) fn on_first_try(&mut self) {
        self.tenths = (self.tenths + TENTHS_PER_FIRST_TRY).min(MAX_SAVED_TENTHS);
    }

    pub(super) fn take(&mut self) -> bool {
        let is_paid = self.tenths >= TENTHS_PER_RETRY;
        if is_paid {
            self.tenths -= TENTHS_PER_RETRY;
        }
        is_paid
    }
}
