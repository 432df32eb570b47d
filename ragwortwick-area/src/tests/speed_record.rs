//! Records of speeds that a new coordinator can and can't use.

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::speed_model::SpeedModel;
use crate::speed_record::{RecordedSpeed, SpeedRecord, SpeedRecordError};

const NOW: TimeMs = TimeMs(1_790_000_000_000);

fn record() -> SpeedRecord {
    let speed = RecordedSpeed {
        log_ratio_milli: -511,
        variance_milli: 4,
    };
    SpeedRecord {
        version: 1,
        written_unix_ms: NOW - DurationMs(1_500),
        is_uneven: true,
        workers: [("w1".into(), speed), ("gone".into(), speed)].into(),
    }
}

fn restore(record: &SpeedRecord) -> (Result<(), SpeedRecordError>, SpeedModel) {
    let mut speeds = SpeedModel::default();
    let result = record.restore(NOW, &mut speeds, |name| name.as_str() == "w1");
    (result, speeds)
}

#[test]
fn verify_speeds_of_known_workers_are_restored() {
    let (result, speeds) = restore(&record());
    assert_eq!(result, Ok(()));
    let estimate = speeds.speed_of(&WorkerName::new("w1"));
    assert!((estimate.log_ratio + 0.511).abs() < 1e-9);
    assert_eq!(
        speeds.known().count(),
        1,
        "a worker that is gone is left out"
    );
}

/// Guards against a coordinator that acts on speeds of another layout, of long ago, or of the future.
#[test]
fn verify_an_unusable_record_changes_nothing() {
    let unusable = [
        SpeedRecord {
            version: 2,
            ..record()
        },
        SpeedRecord {
            written_unix_ms: NOW + DurationMs(60_000),
            ..record()
        },
        SpeedRecord {
            written_unix_ms: NOW - DurationMs(3_600_000),
            ..record()
        },
    ];
    for record in unusable {
        let (result, speeds) = restore(&record);
        assert!(result.is_err(), "{record:?}");
        assert_eq!(speeds.known().count(), 0);
    }
}

/// Guards against extreme values in a record, which another writer may have stored.
#[test]
fn verify_extreme_speeds_are_cut_to_what_speeds_can_be() {
    for (log_ratio_milli, variance_milli) in [(i32::MIN, 0), (i32::MAX, u32::MAX)] {
        let speed = RecordedSpeed {
            log_ratio_milli,
            variance_milli,
        };
        let record = SpeedRecord {
            workers: [("w1".into(), speed)].into(),
            ..record()
        };
        let (result, speeds) = restore(&record);
        assert_eq!(result, Ok(()));
        let estimate = speeds.speed_of(&WorkerName::new("w1"));
        assert!(estimate.log_ratio.abs() <= 3.0 && estimate.variance > 0.0);
    }
}
