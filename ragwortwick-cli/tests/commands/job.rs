//! The jobs' commands against an entry host with a store.

use crate::bench::Bench;
use http::Method;
use ragwortwick_border::{JobSubmit, Shape};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{HttpClient, HttpClientOptions};

/// Generous: it only ends a test that hangs.
const LIMIT_MS: DurationMs = DurationMs(30_000);

async fn submit(bench: &Bench, id: &str) {
    let job = JobSubmit {
        class: "pass-plan".into(),
        customer: "civil".into(),
        deadline_ms: None,
        job_id: Some(id.into()),
        payload: String::new(),
        repeatable: true,
        run_time_estimate_ms: DurationMs(60_000),
        shape: Shape {
            cells: 1,
            cell_accelerators: 8,
        },
        tasks_per_cell: 8,
        zone: Some("north".into()),
    };
    let body = serde_json::to_vec(&job).expect("a job as JSON");
    let reply = HttpClient::new(&HttpClientOptions::default())
        .send(
            Method::POST,
            &bench.daemon.address().to_string(),
            "/v1/jobs",
            Some(body.into()),
            LIMIT_MS,
        )
        .await
        .expect("an answer");
    assert_eq!(reply.status.as_u16(), 202, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_are_listed_shown_explained_and_cancelled() {
    let bench = Bench::open_with_table().await;
    submit(&bench, "j-1").await;
    submit(&bench, "j-2").await;
    let list = bench.ok(&["job", "list"]).await;
    assert!(list.contains("j-1") && list.contains("j-2"), "{list}");
    let page = bench.ok(&["job", "list", "--limit", "1"]).await;
    assert!(
        page.contains("more: ragwortwick job list --after j-1"),
        "{page}"
    );
    let rest = bench.ok(&["job", "list", "--after", "j-1"]).await;
    assert!(!rest.contains("j-1") && rest.contains("j-2"), "{rest}");
    assert!(
        bench
            .ok(&["job", "show", "j-1"])
            .await
            .contains("cell_accelerators")
    );
    let why = bench.ok(&["job", "why", "j-1"]).await;
    assert!(
        why.starts_with("j-1: ") && why.len() > "j-1: \n".len(),
        "{why}"
    );
    for _ in 0..2 {
        bench.ok(&["job", "cancel", "j-1"]).await;
    }
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_job_that_does_not_exist_has_its_own_exit_code() {
    let bench = Bench::open_with_table().await;
    let message = bench.fails(7, &["job", "show", "nothing"]).await;
    assert!(message.contains("no job has the id nothing"), "{message}");
    bench.fails(2, &["job", "show", "a/b"]).await;
    bench.close().await;
}
