//! Rules for single cells of the table; a rule returns what it expected if the cell violates it.

use ragwortwick_core::DurationMs;

/// Maximum length of a name, which becomes part of store keys, metric labels and log lines.
const MAX_NAME_BYTES: usize = 64;

/// Maximum weight, worth and rate; with larger numbers, sums of weights lose whole units.
const MAX_NUMBER: f64 = 1e9;

/// Maximum of any count in one row; sums of a few thousand such rows still fit in 64 bits.
const MAX_COUNT: u32 = 1_000_000;

/// Maximum cell size: a whole rack of 8 workers with 8 accelerators.
const MAX_CELL_ACCELERATORS: u32 = 64;

/// Maximum deadline: 30 days, well beyond the longest job.
const MAX_DEADLINE_MS: DurationMs = DurationMs(30 * 24 * 3_600 * 1_000);

/// `Violation` states what a cell's rule expected, or is `None` if the cell is valid.
pub(super) type Violation = Option<String>;

/// `name` accepts texts that are safe in keys, labels and log lines.
pub(super) fn name(text: &str) -> Violation {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed);
    violation_unless(is_valid, || {
        format!("expected 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-', found {text:?}")
    })
}

/// `positive` accepts finite numbers above 0.
pub(super) fn positive(number: f64) -> Violation {
    // The comparison is false for NaN, which has no place in a weighted order.
    violation_unless(number > 0.0 && number <= MAX_NUMBER, || {
        format!("expected a number above 0 and at most {MAX_NUMBER}, found {number}")
    })
}

/// `not_negative` accepts finite numbers from 0.
pub(super) fn not_negative(number: f64) -> Violation {
    violation_unless((0.0..=MAX_NUMBER).contains(&number), || {
        format!("expected a number from 0 to {MAX_NUMBER}, found {number}")
    })
}

/// `count` accepts counts of at least 1.
pub(super) fn count(number: u32) -> Violation {
    violation_unless((1..=MAX_COUNT).contains(&number), || {
        format!("expected a whole number from 1 to {MAX_COUNT}, found {number}")
    })
}

/// `cell_accelerators` accepts valid cell sizes.
pub(super) fn cell_accelerators(number: u32) -> Violation {
    violation_unless(
        number.is_power_of_two() && number <= MAX_CELL_ACCELERATORS,
        || format!("expected 1, 2, 4, 8, 16, 32 or 64, found {number}"),
    )
}

/// `deadline` accepts durations from a millisecond to 30 days.
pub(super) fn deadline(span: DurationMs) -> Violation {
    violation_unless((DurationMs(1)..=MAX_DEADLINE_MS).contains(&span), || {
        format!("expected 1 to {MAX_DEADLINE_MS} milliseconds (30 days), found {span}")
    })
}

fn violation_unless(is_valid: bool, expected: impl FnOnce() -> String) -> Violation {
    if is_valid { None } else { Some(expected()) }
}
