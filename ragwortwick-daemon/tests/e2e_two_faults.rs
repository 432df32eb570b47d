//! Requests under two faults together.

use ragwortwick_standin::{Faults, Fleet, FleetOptions, sample_request, wait_until};

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

// A host is killed while another order's answer is lost and the store is down: the caller repeats
// both orders at every host that is left, and neither is started twice.
#[tokio::test(flavor = "multi_thread")]
async fn verify_orders_run_at_most_once_through_a_kill_during_an_outage() {
    let mut fleet = open_fleet().await;
    for runner in &fleet.runners.all {
        runner.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
    }
    let mut first = Vec::new();
    for number in 0..8 {
        let caller = fleet.caller.clone();
        let address = fleet.address(0).to_owned();
        let request = sample_request(&format!("pair-{number}"), 300, false);
        first.push(tokio::spawn(async move {
            caller.request(&address, &request).await
        }));
    }
    wait_until("an order runs", async || {
        (0..8).any(|number| fleet.runners.starts(&format!("pair-{number}")) > 0)
    })
    .await;
    fleet.store.set_faults(down());
    fleet.daemons[0].kill().expect("the host is killed");
    for caller in first {
        // Whatever the caller saw of the killed host, it asks again.
        drop(caller.await.expect("the caller ends"));
    }
    for round in 0..3 {
        if round == 2 {
            fleet.store.set_faults(Faults::default());
        }
        for number in 0..8 {
            let id = format!("pair-{number}");
            let request = sample_request(&id, 10, false);
            let outcome = fleet
                .caller
                .request(fleet.address(1 + number % 2), &request)
                .await;
            let starts = fleet.runners.starts(&id);
            assert!(starts <= 1, "{id} in round {round}: {outcome:?}");
        }
    }
    fleet.close().await;
}
