//! The speeds of the workers as one coordinator stores them for the next.
//!
//! They take seconds of load to learn, while a takeover is over in one. What is wrong or missing in the record costs
//! time, not correctness, so the record is written seldom, and an unusable one is ignored.

use std::collections::BTreeMap;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName, common};

use crate::speed::SpeedEstimate;
use crate::speed_model::SpeedModel;

/// Version of the record's layout.
const LAYOUT_VERSION: u32 = 1;

/// Minimum time between two records.
const WRITE_INTERVAL_MS: DurationMs = DurationMs(2_500);

/// Age from which a record is ignored: workers may have been replaced or repaired.
const MAX_AGE_MS: DurationMs = DurationMs(600_000);

/// How far ahead of the own clock a record may be written, since the clocks of hosts differ.
const MAX_CLOCK_DIFFERENCE_MS: DurationMs = DurationMs(5_000);

/// Largest number of workers in a record, which bounds its size.
const MAX_WORKERS: usize = 10_000;

/// `SpeedRecord` is the stored form of the workers' speeds.
#[common(wire)]
#[derive(Eq, Default)]
pub struct SpeedRecord {
    /// Version of the layout.
    pub version: u32,
    /// When it was written.
    pub written_unix_ms: TimeMs,
    /// Whether work was placed by these speeds.
    #[serde(default)]
    pub is_uneven: bool,
    /// Speeds by worker.
    pub workers: BTreeMap<WorkerName, RecordedSpeed>,
}

/// `RecordedSpeed` is the stored speed of one worker.
#[common(wire)]
#[derive(Copy, Eq)]
pub struct RecordedSpeed {
    /// Logarithm of the factor by which work takes longer there, in thousandths.
    #[serde(rename = "l")]
    pub log_ratio_milli: i32,
    /// Variance of the logarithm, in thousandths.
    #[serde(rename = "v")]
    pub variance_milli: u32,
}

/// `SpeedRecordError` is why a record is not used.
#[common]
#[derive(displaydoc::Display)]
pub enum SpeedRecordError {
    /// layout {0} is unknown
    Layout(u32),
    /// written at {0} in Unix milliseconds, which lies ahead
    Ahead(TimeMs),
    /// written {0} ms ago
    Old(DurationMs),
    /// {0} workers are too many
    Size(usize),
}

impl std::error::Error for SpeedRecordError {}

/// `SpeedCounts` counts workers by what is known of their speed.
#[common]
#[derive(Copy, Default)]
pub struct SpeedCounts {
    /// Workers that are faster than most.
    pub fast: usize,
    /// Workers that are as fast as most.
    pub normal: usize,
    /// Workers that are slower than most.
    pub slow: usize,
}

impl SpeedRecord {
    /// `counts` counts the workers of which something is known.
    #[must_use]
    pub fn counts(&self) -> SpeedCounts {
        let mut counts = SpeedCounts::default();
        for speed in self.workers.values() {
            let log_ratio = speed.estimate().known_log_ratio();
            if log_ratio < 0.0 {
                counts.fast += 1;
            } else if log_ratio > 0.0 {
                counts.slow += 1;
            } else {
                counts.normal += 1;
            }
        }
        counts
    }

    fn of(now_unix: TimeMs, speeds: &SpeedModel) -> Self {
        let workers = speeds.known().take(MAX_WORKERS);
        Self {
            version: LAYOUT_VERSION,
            written_unix_ms: now_unix,
            is_uneven: speeds.is_uneven(),
            workers: workers
                .map(|(worker, speed)| (worker.clone(), RecordedSpeed::of(speed)))
                .collect(),
        }
    }

    fn check(&self, now_unix: TimeMs) -> Result<(), SpeedRecordError> {
        if self.version != LAYOUT_VERSION {
            return Err(SpeedRecordError::Layout(self.version));
        }
        if self.written_unix_ms > now_unix + MAX_CLOCK_DIFFERENCE_MS {
            return Err(SpeedRecordError::Ahead(self.written_unix_ms));
        }
        let age_ms = now_unix.since(self.written_unix_ms);
        if age_ms > MAX_AGE_MS {
            return Err(SpeedRecordError::Old(age_ms));
        }
        if self.workers.len() > MAX_WORKERS {
            return Err(SpeedRecordError::Size(self.workers.len()));
        }
        Ok(())
    }
}

impl RecordedSpeed {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an estimate is a small number, and its variance is not negative"
    )]
    fn of(speed: SpeedEstimate) -> Self {
        Self {
            log_ratio_milli: (speed.log_ratio * 1_000.0).round() as i32,
            variance_milli: (speed.variance * 1_000.0).ceil() as u32,
        }
    }

    /// The estimate within what speeds can be, whatever was stored.
    fn estimate(self) -> SpeedEstimate {
        SpeedEstimate {
            log_ratio: (f64::from(self.log_ratio_milli) / 1_000.0).clamp(-3.0, 3.0),
            variance: f64::from(self.variance_milli.max(1)) / 1_000.0,
        }
    }
}

impl SpeedRecord {
    /// Restores the speeds of the known workers.
    ///
    /// # Errors
    ///
    /// Fails if the record is of another layout, too old, too large or written ahead of time; nothing changes then.
    pub(crate) fn restore(
        &self,
        now_unix: TimeMs,
        speeds: &mut SpeedModel,
        is_known: impl Fn(&WorkerName) -> bool,
    ) -> Result<(), SpeedRecordError> {
        self.check(now_unix)?;
        for (worker, speed) in &self.workers {
            if is_known(worker) {
                speeds.restore(worker, speed.estimate());
            }
        }
        Ok(())
    }
}

/// `SpeedRecorder` decides when the speeds are stored.
#[derive(Debug)]
pub(crate) struct SpeedRecorder {
    stored_at: TimeMs,
}

impl SpeedRecorder {
    pub(crate) fn new(now: TimeMs) -> Self {
        Self { stored_at: now }
    }

    /// Returns the record to store, if the speeds have changed and the last record is old enough.
    pub(crate) fn due_record(
        &mut self,
        now: TimeMs,
        now_unix: TimeMs,
        speeds: &mut SpeedModel,
    ) -> Option<SpeedRecord> {
        let is_due = now.since(self.stored_at) >= WRITE_INTERVAL_MS;
        if !is_due || !speeds.take_change() {
            return None;
        }
        self.stored_at = now;
        Some(SpeedRecord::of(now_unix, speeds))
    }
}
