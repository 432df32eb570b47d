//! What `ragwortwick ends` tells from lines that hosts wrote.

use ragwortwick_cli::Outcome;

use crate::bench::run;

const LINES: &str = "\
host-1 | time=2026-12-03T09:00:01Z level=INFO event=job_over job_id=a1 phase=Completed customer=c queue=plan took_ms=900 stretch=1.5 target_ms=250 has_set_times=false is_whole=true room_ms=100 again_ms=0 begin_ms=50 run_ms=750 lost_ms=0 starts=1 losses=\"\" displaced_by=-
time=2026-12-03T09:00:02Z level=INFO event=job_over job_id=a2 phase=Completed customer=c queue=plan took_ms=4000 stretch=1.5 target_ms=250 has_set_times=false is_whole=true room_ms=3000 again_ms=0 begin_ms=50 run_ms=950 lost_ms=0 starts=1 losses=\"\" displaced_by=-
time=2026-12-03T09:00:03Z level=INFO event=job_over job_id=a3 phase=Completed customer=c queue=plan took_ms=9000 stretch=1.5 target_ms=250 has_set_times=false is_whole=true room_ms=10 again_ms=7000 begin_ms=50 run_ms=1940 lost_ms=1000 starts=4 losses=Displaced:2:64000,WorkerSilent:1:1000 displaced_by=a1
time=2026-12-03T09:00:04Z level=INFO event=job_over job_id=a4 phase=Completed customer=c queue=check took_ms=3000 stretch=1.5 target_ms=250 has_set_times=false is_whole=true room_ms=10 again_ms=0 begin_ms=2000 run_ms=990 lost_ms=0 starts=2 losses=\"\" displaced_by=-
time=2026-12-03T09:00:05Z level=INFO event=job_over job_id=a5 phase=Cancelled customer=c queue=check took_ms=70 stretch=1.5 target_ms=250 has_set_times=false is_whole=true room_ms=70 again_ms=0 begin_ms=0 run_ms=0 lost_ms=0 starts=0 losses=\"\" displaced_by=-
time=2026-12-03T09:00:06Z level=INFO event=job_over job_id=a6 phase=Completed customer=c queue=check took_ms=70 stretch=1.5 target_ms=250 has_set_times=false is_whole=false room_ms=0 again_ms=0 begin_ms=0 run_ms=60 lost_ms=0 starts=0 losses=\"\" displaced_by=-
time=2026-12-03T09:00:07Z level=INFO event=job_over job_id=a7 phase=Completed
time=2026-12-03T09:00:08Z level=INFO event=run_over task=a1.0.0.0 run=1 cause=Done
";

async fn ends_of(text: &str, more: &[&str]) -> Outcome {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("host.log");
    std::fs::write(&file, text).expect("a log");
    let mut words = vec!["ends", file.to_str().expect("a name in UTF-8")];
    words.extend(more);
    run(&words).await
}

/// A late job has to be counted under what held it up: engineers mend what the table names.
#[tokio::test]
async fn verify_late_jobs_are_counted_under_what_held_them_up() {
    let outcome = ends_of(LINES, &["--json"]).await;
    assert_eq!(outcome.exit_code, 0, "{outcome:?}");
    let told: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
    let plan = &told["queues"]["plan"];
    assert_eq!((&plan["in_time"], &plan["late"]), (&1.into(), &2.into()));
    assert_eq!(
        plan["late_by"],
        serde_json::json!({"room": 1, "Displaced": 1})
    );
    let check = &told["queues"]["check"];
    assert_eq!(check["late_by"], serde_json::json!({"begin": 1}));
    assert_eq!(
        (&check["cancelled"], &check["partial"]),
        (&1.into(), &1.into())
    );
    assert_eq!(
        told["lost"]["Displaced"],
        serde_json::json!({"runs": 2, "core_ms": 64_000})
    );
    assert_eq!(told["unaccounted"], 1);
}

#[tokio::test]
async fn verify_the_table_has_a_row_for_each_queue_and_cause() {
    let shown = ends_of(LINES, &[]).await.stdout;
    for row in ["plan ", "check ", "Displaced ", "WorkerSilent "] {
        let starts = |line: &str| line.trim_start().starts_with(row);
        assert!(shown.lines().any(starts), "no row {row}: {shown}");
    }
}

#[tokio::test]
async fn verify_a_file_that_is_not_there_is_named() {
    let outcome = run(&["ends", "no-such.log"]).await;
    assert_eq!(outcome.exit_code, 1);
    assert!(outcome.stderr.contains("no-such.log"), "{outcome:?}");
}
