//! The whole path through processes of its own: three entry hosts of two zones, one store, workers
//! and runners.

use ragwortwick_border::{RequestAnswer, RequestOutcome};
use ragwortwick_core::RequestId;
use ragwortwick_standin::{Fleet, FleetOptions, sample_answer, sample_request};

async fn open_fleet() -> Fleet {
    let options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_request_gets_its_whole_answer_from_any_entry_host() {
    let fleet = open_fleet().await;
    for index in 0..fleet.daemons.len() {
        let id = format!("path-{index}");
        let request = sample_request(&id, 5, true);
        let outcome = fleet.caller.request(fleet.address(index), &request).await;
        let expected = RequestOutcome::Answered(RequestAnswer {
            request_id: RequestId::new(&id),
            answer: sample_answer(&id),
        });
        assert_eq!(outcome.expect("an outcome"), expected);
        assert_eq!(fleet.runners.starts(&id), 1);
    }
    fleet.close().await;
}
