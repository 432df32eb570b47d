//! Requests while the store is down.

use ragwortwick_border::RequestOutcome;
use ragwortwick_standin::{Faults, Fleet, FleetOptions, sample_answer, sample_request};

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

// Requests go on while the store is down: a repeatable one is answered whole, one that must not be
// repeated, though asked of two hosts, either runs once or is truthfully refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn verify_requests_are_served_while_the_store_is_down() {
    let fleet = open_fleet().await;
    fleet.store.set_faults(down());
    for number in 0..10 {
        let id = format!("repeatable-{number}");
        let request = sample_request(&id, 5, true);
        let outcome = fleet
            .caller
            .request(fleet.address(number % 3), &request)
            .await;
        let RequestOutcome::Answered(answer) = outcome.expect("an outcome") else {
            panic!("{id} is refused");
        };
        assert_eq!(answer.answer, sample_answer(&id));
        let id = format!("order-{number}");
        let request = sample_request(&id, 5, false);
        let mut answered = 0;
        for index in [number % 3, (number + 1) % 3] {
            let outcome = fleet.caller.request(fleet.address(index), &request).await;
            let outcome = outcome.expect("an outcome");
            answered += usize::from(matches!(outcome, RequestOutcome::Answered(_)));
        }
        assert!(answered <= 1, "{id} is answered by two hosts");
        assert_eq!(fleet.runners.starts(&id), answered);
    }
    fleet.close().await;
}
