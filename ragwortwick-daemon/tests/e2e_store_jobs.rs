//! The store down for a while, and its answers lost after the effect.

use http::StatusCode;
use ragwortwick_border::{JobPhase, JobSubmit};
use ragwortwick_core::DurationMs;
use ragwortwick_http::HttpResponse;
use ragwortwick_standin::{Faults, Fleet, FleetOptions, LogEvent, sample_job, wait_until};

async fn open_fleet() -> Fleet {
    let options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

async fn submit(fleet: &Fleet, index: usize, job: &JobSubmit) -> HttpResponse {
    let body = serde_json::to_vec(job).expect("a job is JSON");
    let address = fleet.address(index);
    let http = fleet.caller.http();
    let sent = http.send(
        http::Method::POST,
        address,
        "/v1/jobs",
        Some(body.into()),
        DurationMs(30_000),
    );
    sent.await.expect("a whole answer")
}

async fn accept(fleet: &Fleet, index: usize, id: &str, run_ms: u64) {
    let reply = submit(fleet, index, &sample_job(id, 2, run_ms, true)).await;
    assert_eq!(reply.status, StatusCode::ACCEPTED);
}

// Callers with accepted jobs notice nothing of the outage; callers with new jobs are told at once
// that nothing was accepted and when to come back.
// The store is down for longer than the ownership's lease. The owner goes on with the epoch it has,
// as long as no worker shows a higher one.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_outage_of_the_store_loses_no_accepted_job() {
    let fleet = open_fleet().await;
    accept(&fleet, 0, "running", 14_000).await;
    wait_until("the gang runs", async || {
        fleet.gang_events("running", LogEvent::Started).len() == 2
    })
    .await;
    // Three of them fit at once, so the last ones start when the ownership's lease of 6 s is over.
    let waiting: Vec<String> = (0..9).map(|number| format!("waiting-{number}")).collect();
    for id in &waiting {
        accept(&fleet, 1, id, 4_000).await;
    }
    fleet.store.set_faults(down());
    let refused = submit(&fleet, 2, &sample_job("refused", 2, 100, true)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key(http::header::RETRY_AFTER));
    wait_until("every waiting job starts during the outage", async || {
        waiting
            .iter()
            .all(|id| fleet.gang_events(id, LogEvent::Started).len() == 2)
    })
    .await;
    assert_eq!(fleet.gang_events("running", LogEvent::Lapsed).len(), 0);
    fleet.store.set_faults(Faults::default());
    fleet.wait_for_phase("running", JobPhase::Finished).await;
    for id in &waiting {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
    }
    assert_eq!(fleet.gang_events("running", LogEvent::Started).len(), 2);
    assert_eq!(fleet.record("refused"), None);
    fleet.close().await;
}

/// Guards against an accepted job that its own host, the zone's owner, can't read before an outage begins.
#[tokio::test(flavor = "multi_thread")]
async fn verify_owner_starts_what_its_host_accepted_though_no_read_is_answered() {
    let fleet = open_fleet().await;
    accept(&fleet, 1, "first", 100).await;
    fleet.wait_for_phase("first", JobPhase::Finished).await;
    fleet.store.set_faults(Faults {
        only: vec!["get".to_owned(), "list".to_owned(), "watch".to_owned()],
        delay_ms: DurationMs(600_000),
        ..Faults::default()
    });
    accept(&fleet, 1, "own", 100).await;
    wait_until("the job starts without a read", async || {
        fleet.gang_events("own", LogEvent::Started).len() == 2
    })
    .await;
    fleet.store.set_faults(Faults::default());
    fleet.wait_for_phase("own", JobPhase::Finished).await;
    assert_eq!(fleet.gang_events("own", LogEvent::Started).len(), 2);
    fleet.close().await;
}

// The caller sees 202 or is told that the job may be accepted, never "not run" for a job that is
// in the store; a repeat with the same id gets 202 and the job is started once.
// Answers to writes are lost after the effect, one after another.
#[tokio::test(flavor = "multi_thread")]
async fn verify_lost_answers_of_the_store_start_no_job_twice() {
    let fleet = open_fleet().await;
    for number in 0..6 {
        fleet.store.set_faults(Faults {
            only: vec!["cas".to_owned()],
            lose_answers: 2,
            ..Faults::default()
        });
        let id = format!("lost-{number}");
        let job = sample_job(&id, 2, 200, true);
        let first = submit(&fleet, number % 3, &job).await;
        if first.status == StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(
                fleet.record(&id),
                None,
                "not run is said of a job in the store"
            );
        }
        let repeated = submit(&fleet, (number + 1) % 3, &job).await;
        assert!(
            [
                StatusCode::ACCEPTED,
                StatusCode::GATEWAY_TIMEOUT,
                StatusCode::SERVICE_UNAVAILABLE
            ]
            .contains(&repeated.status),
            "{repeated:?}"
        );
        fleet.store.set_faults(Faults::default());
        let last = submit(&fleet, (number + 2) % 3, &job).await;
        assert_eq!(last.status, StatusCode::ACCEPTED);
        fleet.wait_for_phase(&id, JobPhase::Finished).await;
        let starts = fleet.gang_events(&id, LogEvent::Started);
        assert_eq!(starts.len(), 2, "{starts:?}");
    }
    fleet.close().await;
}

// Watches that miss a change, or tell it twice, neither lose nor double a job.
#[tokio::test(flavor = "multi_thread")]
async fn verify_watches_that_miss_or_repeat_changes_lose_no_job() {
    let fleet = open_fleet().await;
    fleet.store.set_faults(Faults {
        only: vec!["watch".to_owned()],
        miss_changes: 6,
        repeat_changes: true,
        ..Faults::default()
    });
    let ids: Vec<String> = (0..6).map(|number| format!("watch-{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        accept(&fleet, number % 3, id, 200).await;
    }
    for id in &ids {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        assert_eq!(fleet.gang_events(id, LogEvent::Started).len(), 2);
    }
    fleet.close().await;
}
