//! Bounds of single cells of the table; a rule gives what was expected, if the cell breaks it.

use ragwortwick_core::DurationMs;

/// Longest name: it becomes a part of store keys, metric labels and log lines.
const MAX_NAME_BYTES: usize = 64;

/// Greatest weight, worth and rate: beyond it sums of weights lose whole units.
const MAX_NUMBER: f64 = 1e9;

/// Greatest count of anything in one row; sums of a few thousand such rows still fit in 64 bits.
const MAX_COUNT: u32 = 1_000_000;

/// Largest cell: a whole rack of 8 workers with 8 accelerators.
const MAX_CELL_ACCELERATORS: u32 = 64;

/// Longest deadline: 30 days, well beyond the longest job.
const MAX_DEADLINE_MS: DurationMs = DurationMs(30 * 24 * 3_600 * 1_000);

/// `Broken` is what a cell's rule expected.
pub(super) type Broken = Option<String>;

/// `name` holds for texts that are safe in keys, labels and log lines.
pub(super) fn name(text: &str) -> Broken {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let holds = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed);
    broken(holds, || {
        format!("expected 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-', found {text:?}")
    })
}

/// `positive` holds for finite numbers above 0.
pub(super) fn positive(number: f64) -> Broken {
    // The comparison is false for NaN, which no weighted order could place.
    broken(number > 0.0 && number <= MAX_NUMBER, || {
        format!("expected a number above 0 and at most {MAX_NUMBER}, found {number}")
    })
}

/// `not_negative` holds for finite numbers from 0.
pub(super) fn not_negative(number: f64) -> Broken {
    broken((0.0..=MAX_NUMBER).contains(&number), || {
        format!("expected a number from 0 to {MAX_NUMBER}, found {number}")
    })
}

/// `count` holds for counts of which at least one is needed.
pub(super) fn count(number: u32) -> Broken {
    broken((1..=MAX_COUNT).contains(&number), || {
        format!("expected a whole number from 1 to {MAX_COUNT}, found {number}")
    })
}

/// `cell_accelerators` holds for sizes that adjacent accelerators can have.
pub(super) fn cell_accelerators(number: u32) -> Broken {
    broken(
        number.is_power_of_two() && number <= MAX_CELL_ACCELERATORS,
        || format!("expected 1, 2, 4, 8, 16, 32 or 64, found {number}"),
    )
}

/// `deadline` holds for spans from a millisecond to 30 days.
pub(super) fn deadline(span: DurationMs) -> Broken {
    broken((DurationMs(1)..=MAX_DEADLINE_MS).contains(&span), || {
        format!("expected 1 to {MAX_DEADLINE_MS} milliseconds (30 days), found {span}")
    })
}

fn broken(holds: bool, expected: impl FnOnce() -> String) -> Broken {
    if holds { None } else { Some(expected()) }
}
