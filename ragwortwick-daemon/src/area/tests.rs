//! Tests of the internals that can't be observed from another process.

mod job_writer;
mod known_workers;
mod limits;
mod load_feed;
mod log_limits;
mod outage;
mod paging;
mod replica_order;
mod silent_connections;

use std::collections::HashSet;
use std::sync::Arc;

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::{JobPhase, JobProgress, JobRecord, ProgressRecord, QueuePolicy, StepSpec};
use ragwortwick_core::{DurationMs, JobId, Revision, TimeMs};
use ragwortwick_http::MemoryBudget;

use super::AreaSettings;
use super::batch_writer::JobEndReporter;
use super::keys::JobKeyKind;
use super::metrics::{AreaMetrics, UsageSources};
use super::replica::{JobChange, JobReplica};
use super::reply_time::ReplyTimeEstimate;

fn usage_sources() -> UsageSources {
    UsageSources {
        store_calls: Arc::default(),
        server: Arc::default(),
        request_memory: MemoryBudget::new(0),
        replica: JobReplica::default(),
    }
}

fn record(id: &str) -> Arc<JobRecord> {
    Arc::new(JobRecord {
        job_id: JobId::new(id),
        queue: "q".into(),
        policy: QueuePolicy {
            pool: "p".into(),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            advice: None,
            target_latency_ms: DurationMs(100),
        },
        customer: "c".into(),
        payload: "".into(),
        steps: vec![StepSpec::default()],
        schedule: None,
        accepted_unix_ms: TimeMs(1),
    })
}

fn write_event(record: &JobRecord, revision: u64) -> WatchEvent {
    WatchEvent::Written(KeyValue {
        key: JobKeyKind::Record.key_of(&record.job_id),
        value: serde_json::to_vec(record).expect("a record is written"),
        revision: Revision(revision),
    })
}

/// A host inserts a job that it stored into its replica before its watch reports it. The watch must still
/// report the job to a coordinator on the same host; otherwise the job never starts.
#[test]
fn verify_job_stored_here_is_still_news_for_the_coordinator() {
    let replica = JobReplica::default();
    let record = record("00000000000000aa");
    replica.insert_accepted(&record, 0, Revision(5));
    let changes = replica.apply(&write_event(&record, 5));
    assert!(matches!(changes[..], [JobChange::Accepted(_)]));
}

/// Guards against a cancelled job that runs. After the store dropped its history, the coordinator's host
/// reads all keys in key order, with a job's cancel before its record. The coordinator dropped the cancel
/// of the unknown job and then accepted the record.
#[test]
fn verify_reading_anew_tells_of_a_job_before_its_cancel() {
    let replica = JobReplica::default();
    let record = record("00000000000000ac");
    let cancel = KeyValue {
        key: JobKeyKind::Cancel.key_of(&record.job_id),
        value: Vec::new(),
        revision: Revision(6),
    };
    let WatchEvent::Written(accepted) = write_event(&record, 5) else {
        unreachable!("a record was written");
    };
    let mut items = vec![accepted, cancel];
    items.sort_by(|a, b| a.key.cmp(&b.key));
    let changes = replica.load(&items, Revision(7));
    let is_accepted: Vec<bool> = changes
        .iter()
        .map(|change| matches!(change, JobChange::Accepted(_)))
        .collect();
    assert_eq!(is_accepted, [true, false], "{changes:?}");
}

/// Guards against an ended job that starts again: its keys could not be removed yet, and all keys are read anew.
#[test]
fn verify_reading_anew_tells_of_no_job_that_has_ended() {
    let replica = JobReplica::default();
    let record = record("00000000000000ae");
    let WatchEvent::Written(accepted) = write_event(&record, 5) else {
        unreachable!("a record was written");
    };
    let phase = KeyValue {
        key: JobKeyKind::Phase.key_of(&record.job_id),
        value: serde_json::to_vec(&JobPhase::Completed).expect("a phase is written"),
        revision: Revision(6),
    };
    let changes = replica.load(&[phase, accepted], Revision(7));
    assert!(changes.is_empty(), "{changes:?}");
    let view = replica.view(&record.job_id).expect("the job is shown");
    assert_eq!(view.reported_phase(), JobPhase::Completed);
}

/// The host's watch can report a stored job end before the write's reply arrives. The end must still be
/// logged and counted, once; otherwise operators find no end of the job.
#[test]
fn verify_end_that_the_watch_showed_first_is_counted_once() {
    let replica = JobReplica::default();
    let record = record("00000000000000ad");
    replica.insert_accepted(&record, 0, Revision(5));
    let progress = JobProgress {
        phase: JobPhase::Completed,
        ..JobProgress::default()
    };
    replica.apply(&WatchEvent::Written(KeyValue {
        key: JobKeyKind::Phase.key_of(&record.job_id),
        value: serde_json::to_vec(&progress.phase).expect("a phase is written"),
        revision: Revision(6),
    }));
    let metrics = AreaMetrics::open(usage_sources()).expect("metrics");
    let job_ends = JobEndReporter::open(replica, metrics.clone(), HashSet::new());
    let stored = ProgressRecord {
        job_id: record.job_id.clone(),
        progress,
        has_new_phase: true,
        accounting: None,
    };
    job_ends.report(&stored);
    job_ends.report(&stored);
    let histogram = metrics
        .job_end_seconds
        .with_label_values(&["c", "Completed"]);
    assert_eq!(histogram.get_sample_count(), 1);
}

/// A watch that repeats an older revision yields no change.
#[test]
fn verify_older_revision_is_no_news() {
    let replica = JobReplica::default();
    let record = record("00000000000000ab");
    replica.insert_accepted(&record, 0, Revision(5));
    assert!(replica.apply(&write_event(&record, 4)).is_empty());
}

/// The platform adds settings from time to time; a process that refused an unknown one would not start.
#[test]
fn verify_unknown_settings_are_left_alone() {
    let text = r#"{"host":"h","zone":"z","listen":"127.0.0.1:0","ready_listen":"127.0.0.1:0",
        "store_address":"127.0.0.1:1","stop_grace_s":6,"worker_lease_ms":10000,"worker_stop_ms":200,
        "gang_wait_ms":3000,"reclaim_ms":2700,"remote_penalty":3,"checkpoint_s":0.5,"restore_ms":100,
        "retention_s":120,"something_new":{"a":1}}"#;
    let settings = AreaSettings::parse(text).expect("valid settings");
    assert_eq!(settings.limits().checkpoint_ms, DurationMs(500));
    let broken = text.replace("\"retention_s\":120", "\"retention_s\":\"soon\"");
    let problem = AreaSettings::parse(&broken).expect_err("an invalid type");
    assert!(problem.contains("retention_s"), "{problem}");
}

/// Operators set the weights. An invalid weight must be refused at the start; otherwise it shows only in
/// jobs that are never placed.
#[test]
fn verify_weights_are_read_and_checked() {
    let text = |weights: &str| {
        format!(
            r#"{{"host":"h","zone":"z","listen":"127.0.0.1:0","ready_listen":"127.0.0.1:0",
            "store_address":"127.0.0.1:1","stop_grace_s":6,"worker_lease_ms":10000,
            "worker_stop_ms":200,"gang_wait_ms":3000,"reclaim_ms":2700,"remote_penalty":3,
            "checkpoint_s":0.5,"restore_ms":100,"retention_s":120,"weights":{weights}}}"#
        )
    };
    let settings = AreaSettings::parse(&text(r#"{"by_priority":[2,1]}"#)).expect("valid settings");
    let weights = settings.limits().weights;
    assert!(weights.of_priority(0) > weights.of_priority(1));
    assert!(
        weights
            .of_priority(7)
            .total_cmp(&weights.of_priority(1))
            .is_eq(),
        "the last weight applies to all lower priorities"
    );
    for (invalid, field) in [
        (r#"{"by_priority":[]}"#, "by_priority"),
        (r#"{"by_priority":[1,0]}"#, "by_priority"),
        (r#"{"late_share":1.5}"#, "late_share"),
        (r#"{"late_shar":0.5}"#, "late_shar"),
    ] {
        let problem = AreaSettings::parse(&text(invalid)).expect_err("invalid weights");
        assert!(problem.contains(field), "{problem}");
    }
}

/// Guards against an order that is repeated so late that the gang of its task misses its objective.
#[test]
fn verify_orders_time_out_soon_after_the_usual_reply_time() {
    let mut estimate = ReplyTimeEstimate::default();
    assert_eq!(estimate.timeout_ms(), DurationMs(600));
    for _ in 0..50 {
        estimate.record_reply(DurationMs(3));
    }
    assert_eq!(estimate.timeout_ms(), DurationMs(150));
}

/// Guards against orders that are all repeated because the host is too slow to process replies in time.
#[test]
fn verify_a_slow_host_gives_its_orders_more_time() {
    let mut estimate = ReplyTimeEstimate::default();
    for number in 0..50 {
        estimate.record_reply(DurationMs(if number % 2 == 0 { 20 } else { 180 }));
    }
    assert!(estimate.timeout_ms() > DurationMs(300));
    let mut estimate = ReplyTimeEstimate::default();
    estimate.record_reply(DurationMs(1));
    for _ in 0..50 {
        estimate.record_reply(DurationMs(1));
    }
    for _ in 0..64 {
        estimate.record_timeout();
    }
    assert_eq!(estimate.timeout_ms(), DurationMs(600));
    estimate.record_reply(DurationMs(1));
    assert_eq!(estimate.timeout_ms(), DurationMs(150));
}
