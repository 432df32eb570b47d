//! The path of a gang job through processes of its own.

use ragwortwick_border::JobPhase;
use ragwortwick_standin::{Fleet, FleetOptions, LogEvent, sample_job, wait_until};

async fn open_fleet() -> Fleet {
    let options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_gang_job_is_accepted_runs_whole_and_is_reported() {
    let fleet = open_fleet().await;
    let job = sample_job("path-job", 2, 300, true);
    let accepted = fleet.caller.job(fleet.address(1), &job).await;
    let accepted = accepted.expect("the job is accepted");
    let written = fleet
        .record("path-job")
        .expect("in the store before the answer");
    assert_eq!(written.zone, accepted.zone);
    fleet.wait_for_phase("path-job", JobPhase::Finished).await;
    assert_eq!(fleet.gang_events("path-job", LogEvent::Started).len(), 2);
    assert_eq!(fleet.gang_events("path-job", LogEvent::Finished).len(), 2);
    for daemon in &fleet.daemons {
        wait_until("every host reports the end", async || {
            let status = fleet
                .caller
                .job_status(daemon.address(), &accepted.job_id)
                .await;
            status.is_ok_and(|status| status.record.phase == JobPhase::Finished)
        })
        .await;
    }
    fleet.close().await;
}
