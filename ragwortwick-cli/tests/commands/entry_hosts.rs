//! The command line against a running entry host.

use std::net::TcpListener;

use ragwortwick_daemon::{Daemon, Settings};
use ragwortwick_standin::wait_until;

use crate::bench::{Bench, run};

fn settings() -> Settings {
    let text = r#"{
        "host": "e1", "zone": "north",
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store_address": "127.0.0.1:9", "hosts_address": "127.0.0.1:9",
        "drain_notice_ms": 0
    }"#;
    Settings::parse(text).expect("settings")
}

/// An address that refuses connections, since its listener is gone.
fn dead_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address").to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_status_asks_the_next_host_when_one_is_dead() {
    // The operator names two entry hosts; the first was replaced a minute ago and refuses
    // connections. The command tries the second one and succeeds without a word about the first.
    let daemon = Daemon::spawn(settings()).await.expect("daemon");
    let entry = format!("{},{}", dead_address(), daemon.address());
    let outcome = run(&["--entry", &entry, "status"]).await;
    assert_eq!(outcome.exit_code, 0, "{outcome:?}");
    assert!(
        outcome.stdout.contains("e1    north  serving"),
        "{outcome:?}"
    );
    Box::pin(daemon.close()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_table_show_before_the_first_acceptance_names_the_way_out() {
    let daemon = Daemon::spawn(settings()).await.expect("daemon");
    let entry = daemon.address().to_string();
    let outcome = run(&["--entry", &entry, "table", "show"]).await;
    assert_eq!(outcome.exit_code, 7, "{outcome:?}");
    assert!(outcome.stderr.contains("way out:"), "{outcome:?}");
    Box::pin(daemon.close()).await;
}

#[tokio::test]
async fn verify_no_host_that_answers_has_its_own_exit_code() {
    let entry = format!("{},{}", dead_address(), dead_address());
    let outcome = run(&["--entry", &entry, "status"]).await;
    assert_eq!(outcome.exit_code, 3, "{outcome:?}");
    assert!(
        outcome.stderr.contains("no entry host answers"),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn verify_wrong_arguments_are_named_with_exit_code_2() {
    let cases = [
        (vec!["status"], "no entry host is named"),
        (vec!["--entry", "x", "status"], "x is no address"),
        (vec!["--entry", "h:1", "stauts"], "unknown command stauts"),
        (
            vec!["--entry", "h:1", "status", "more"],
            "unexpected argument more",
        ),
        (vec![], "a command is missing"),
    ];
    for (words, expected) in cases {
        let outcome = run(&words).await;
        assert_eq!(outcome.exit_code, 2, "{outcome:?}");
        assert!(outcome.stderr.contains(expected), "{outcome:?}");
    }
}

#[tokio::test]
async fn verify_help_needs_no_host() {
    let outcome = run(&["--help"]).await;
    assert_eq!(outcome.exit_code, 0);
    assert!(outcome.stdout.contains("usage: ragwortwick"));
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_status_shows_the_owner_guarantees_and_workers_that_need_a_look() {
    // A listed worker answers nobody. The operator sees the zone with its owner, the guarantee that
    // no worker can hold now, and the worker by name with its reason, without asking for healthy ones.
    let bench = Bench::open_with_table().await;
    bench.list_worker("w1", "north").await;
    let mut text = String::new();
    wait_until("the status names the lost worker", async || {
        text = bench.ok(&["status"]).await;
        text.contains("w1")
    })
    .await;
    let expected = [
        "zones\n",
        "north  e1",
        "guarantees\n",
        "civil",
        "workers that need a look",
    ];
    for part in expected {
        assert!(text.contains(part), "{part}\nin\n{text}");
    }
    bench.close().await;
}
