//! The bounds on calls: token bucket and backoff.

use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_platform::{Backoff, BackoffOptions, CallBudget, CallBudgetOptions};

#[test]
fn verify_budget_bounds_calls_in_every_window() {
    let options = CallBudgetOptions {
        calls_per_s: 40,
        burst: 40,
    };
    let mut budget = CallBudget::new(TimeMs(0), options);
    let mut taken = 0;
    for now_ms in 0..10_000 {
        // Ten callers ask in every millisecond.
        for _ in 0..10 {
            let call = budget.take(TimeMs(now_ms), DurationMs(0));
            taken += u32::from(call.is_ok());
        }
    }
    assert_eq!(taken, 40 + 40 * 10 - 1);
}

#[test]
fn verify_budget_tells_when_the_next_call_may_go() {
    let options = CallBudgetOptions {
        calls_per_s: 10,
        burst: 1,
    };
    let mut budget = CallBudget::new(TimeMs(0), options);
    let none = DurationMs(0);
    assert_eq!(budget.take(TimeMs(0), none), Ok(none));
    assert_eq!(budget.take(TimeMs(0), none), Err(DurationMs(100)));
    assert_eq!(budget.take(TimeMs(99), none), Err(DurationMs(1)));
    assert_eq!(budget.take(TimeMs(100), none), Ok(none));
}

// In a burst each call waits for its own place, later ones longer; one that would wait beyond the
// limit is refused at once, and a refusal takes no place.
#[test]
fn verify_calls_of_a_burst_wait_in_turn() {
    let options = CallBudgetOptions {
        calls_per_s: 10,
        burst: 1,
    };
    let mut budget = CallBudget::new(TimeMs(0), options);
    let longest = DurationMs(250);
    let mut take = |now_ms| budget.take(TimeMs(now_ms), longest);
    assert_eq!(take(0), Ok(DurationMs(0)));
    assert_eq!(take(0), Ok(DurationMs(100)));
    assert_eq!(take(0), Ok(DurationMs(200)));
    assert_eq!(take(0), Err(DurationMs(300)));
    assert_eq!(take(0), Err(DurationMs(300)));
    assert_eq!(take(50), Ok(DurationMs(250)));
    assert_eq!(take(350), Ok(DurationMs(50)));
}

#[test]
fn verify_waits_grow_stay_bounded_and_differ_between_hosts() {
    let options = BackoffOptions {
        first_ms: DurationMs(50),
        longest_ms: DurationMs(2_000),
    };
    let waits = |seed| {
        let mut backoff = Backoff::new(options, seed);
        (0..12).map(|_| backoff.next_wait()).collect::<Vec<_>>()
    };
    for seed in 0..100 {
        let waits = waits(seed);
        assert!(waits[0] >= DurationMs(25) && waits[0] <= DurationMs(50));
        assert!(waits[11] >= DurationMs(1_000) && waits[11] <= DurationMs(2_000));
    }
    assert_eq!(waits(1), waits(1));
    assert_ne!(waits(1), waits(2));
}
