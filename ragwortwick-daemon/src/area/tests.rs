//! Tests of the parts that no other process sees.

use std::collections::HashSet;
use std::sync::Arc;

use ragwortwick_adapter::{KeyValue, StoreClient, WatchEvent};
use ragwortwick_area::{
    JobPhase, JobProgress, JobRecord, ProgressRecord, QueuePolicy, StepSpec, TaskId,
};
use ragwortwick_core::{DurationMs, JobId, Revision, TimeMs};

use super::AreaSettings;
use super::batch_writer::JobEndReporter;
use super::keys::JobKeyKind;
use super::metrics::AreaMetrics;
use super::replica::{JobChange, JobReplica};
use super::unstored_completions::UnstoredCompletions;

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

fn written(record: &JobRecord, revision: u64) -> WatchEvent {
    WatchEvent::Written(KeyValue {
        key: JobKeyKind::Record.key_of(&record.job_id),
        value: serde_json::to_vec(record).expect("a record is written"),
        revision: Revision(revision),
    })
}

/// A host stores a job and knows it before its own watch shows it. If the coordinator runs on the
/// same host, the watch must still tell it of the job: otherwise the caller's job never starts.
#[test]
fn verify_job_stored_here_is_still_news_for_the_coordinator() {
    let replica = JobReplica::default();
    let record = record("00000000000000aa");
    replica.insert_accepted(&record, Revision(5));
    let news = replica.apply(&written(&record, 5));
    assert!(matches!(news, Some(JobChange::Accepted(_))));
}

/// A caller hands a job in and cancels it, gets an answer for both, and sees the job run all the same.
/// In between the store forgot its history, so the coordinator's host read everything anew. Keys
/// come in their own order, the cancel before the record: the coordinator knew no such job yet,
/// dropped the cancel, and then took the job in.
#[test]
fn verify_reading_anew_tells_of_a_job_before_its_cancel() {
    let replica = JobReplica::default();
    let record = record("00000000000000ac");
    let cancel = KeyValue {
        key: JobKeyKind::Cancel.key_of(&record.job_id),
        value: Vec::new(),
        revision: Revision(6),
    };
    let WatchEvent::Written(accepted) = written(&record, 5) else {
        unreachable!("a record was written");
    };
    let mut items = vec![accepted, cancel];
    items.sort_by(|a, b| a.key.cmp(&b.key));
    let news = replica.load(&items, Revision(7));
    let is_accepted: Vec<bool> = news
        .iter()
        .map(|item| matches!(item, JobChange::Accepted(_)))
        .collect();
    assert_eq!(is_accepted, [true, false], "{news:?}");
}

/// The host's own watch shows a stored end before its writer hears that it is stored. The end is logged
/// and counted all the same, once: engineers who look for a caller's job would else find no end of it.
#[test]
fn verify_end_that_the_watch_showed_first_is_counted_once() {
    let replica = JobReplica::default();
    let record = record("00000000000000ad");
    replica.insert_accepted(&record, Revision(5));
    let progress = JobProgress {
        phase: JobPhase::Completed,
        ..JobProgress::default()
    };
    replica.apply(&WatchEvent::Written(KeyValue {
        key: JobKeyKind::Phase.key_of(&record.job_id),
        value: serde_json::to_vec(&progress.phase).expect("a phase is written"),
        revision: Revision(6),
    }));
    let metrics =
        AreaMetrics::open(StoreClient::open("127.0.0.1:1").call_counts()).expect("metrics");
    let ends = JobEndReporter::open(replica, metrics.clone(), HashSet::new());
    let stored = ProgressRecord {
        job_id: record.job_id.clone(),
        progress,
        has_new_phase: true,
        accounting: None,
    };
    ends.report(&stored);
    ends.report(&stored);
    let counted = metrics
        .job_end_seconds
        .with_label_values(&["c", "Completed"]);
    assert_eq!(counted.get_sample_count(), 1);
}

/// A coordinator hears an end and can't store it. What its term leaves is exactly what no stored batch
/// holds: left out, the task is done again; left in for ever, each term would leave more.
#[test]
fn verify_a_term_leaves_the_ends_that_no_batch_has_stored() {
    let unstored = UnstoredCompletions::default();
    let task = |job_id: &str, index| TaskId {
        job_id: JobId::new(job_id),
        occurrence: 0,
        step: 0,
        index,
    };
    let record_of = |job_id: &str| ProgressRecord {
        job_id: JobId::new(job_id),
        progress: JobProgress::default(),
        has_new_phase: false,
        accounting: None,
    };
    unstored.add(&task("a", 0), 1);
    unstored.assign_batch(1, &[record_of("a")]);
    unstored.add(&task("a", 1), 2);
    unstored.add(&task("b", 0), 3);
    unstored.assign_batch(2, &[record_of("b")]);
    unstored.remove_batch(1);
    let left = unstored.take();
    let runs = |job_id: &str| -> Vec<(TaskId, u32)> {
        let job_id = JobId::new(job_id);
        let ends = left.get(&job_id).into_iter().flatten();
        ends.map(|end| end.task_and_run(&job_id)).collect()
    };
    assert_eq!(runs("a"), [(task("a", 1), 2)]);
    assert_eq!(runs("b"), [(task("b", 0), 3)]);
    assert!(unstored.take().is_empty());
}

/// A watch that repeats an older revision brings nothing.
#[test]
fn verify_older_revision_is_no_news() {
    let replica = JobReplica::default();
    let record = record("00000000000000ab");
    replica.insert_accepted(&record, Revision(5));
    assert!(replica.apply(&written(&record, 4)).is_none());
}

/// The platform adds settings from time to time; a process that ended at one would never start.
#[test]
fn verify_unknown_settings_are_left_alone() {
    let text = r#"{"host":"h","zone":"z","listen":"127.0.0.1:0","ready_listen":"127.0.0.1:0",
        "store_address":"127.0.0.1:1","stop_grace_s":6,"worker_lease_ms":10000,"worker_stop_ms":200,
        "gang_wait_ms":3000,"reclaim_ms":2700,"remote_penalty":3,"checkpoint_s":0.5,"restore_ms":100,
        "retention_s":120,"something_new":{"a":1}}"#;
    let settings = AreaSettings::parse(text).expect("valid settings");
    assert_eq!(settings.limits().checkpoint_ms, DurationMs(500));
    let broken = text.replace("\"retention_s\":120", "\"retention_s\":\"soon\"");
    let problem = AreaSettings::parse(&broken).expect_err("a wrong type");
    assert!(problem.contains("retention_s"), "{problem}");
}

/// Weights are the operators' to set. One that ranks nothing is told at the start, not found out by
/// callers whose jobs are never placed.
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
        "the last holds on"
    );
    for (wrong, field) in [
        (r#"{"by_priority":[]}"#, "by_priority"),
        (r#"{"by_priority":[1,0]}"#, "by_priority"),
        (r#"{"late_share":1.5}"#, "late_share"),
        (r#"{"late_shar":0.5}"#, "late_shar"),
    ] {
        let problem = AreaSettings::parse(&text(wrong)).expect_err("wrong weights");
        assert!(problem.contains(field), "{problem}");
    }
}
