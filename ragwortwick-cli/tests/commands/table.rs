//! The table's commands against an entry host with a store.

use crate::bench::{Bench, FIRST_ROWS, run};
use ragwortwick_core::DurationMs;
use ragwortwick_standin::Faults;

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_first_table_is_edited_reviewed_and_accepted() {
    let bench = Bench::open().await;
    let file = bench.file("first.csv");
    let mut words = vec!["table", "edit", &file];
    words.extend(FIRST_ROWS);
    bench.ok(&words).await;
    let review = bench.ok(&["table", "review", &file]).await;
    assert!(review.contains("customers: civil: added (weight 2, max_queued_jobs 100)"));
    assert!(review.contains("grows from 0 to 1 cells"), "{review}");
    let accepted = bench.accept(&file, "first").await;
    assert_eq!(accepted.exit_code, 0, "{accepted:?}");
    assert!(
        accepted
            .stdout
            .contains("table 1 is accepted and in force on 1 of 1")
    );
    let shown = bench.ok(&["table", "show"]).await;
    assert!(
        shown.starts_with("table 1 accepted by ada: first"),
        "{shown}"
    );
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_revert_is_a_new_acceptance_and_the_history_tells_all() {
    let bench = Bench::open_with_table().await;
    let file = bench.edited("b.csv", &["customers/civil/weight=9"]).await;
    assert_eq!(bench.accept(&file, "more").await.exit_code, 0);
    let revert = ["table", "revert-to", "1", "--yes", "--reason", "too much"];
    let text = bench.ok(&revert).await;
    assert!(text.contains("table 3 is accepted"), "{text}");
    let history = bench.ok(&["table", "history"]).await;
    let expected = [
        "by ada: too much\n  customers: civil: weight 9 -> 2",
        "by ada: more\n  customers: civil: weight 2 -> 9",
        "by ada: first\n  the first table",
    ];
    let mut rest = history.as_str();
    for part in expected {
        let at = rest
            .find(part)
            .unwrap_or_else(|| panic!("{part}\nin\n{history}"));
        rest = &rest[at..];
    }
    bench
        .fails(7, &["table", "revert-to", "9", "--yes", "--reason", "x"])
        .await;
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_the_second_of_two_operators_sees_what_changed_under_it() {
    // Two operators export table 1 and edit different rows. The first accepts; the second, who
    // still looks at table 1, must not undo the first one's row unseen: review and accept both
    // end with exit code 5, name the row, and leave table 2 in force.
    let bench = Bench::open_with_table().await;
    let first = bench.edited("a.csv", &["customers/civil/weight=5"]).await;
    let second = bench.edited("b.csv", &["weights/completion=7"]).await;
    assert_eq!(bench.accept(&first, "a").await.exit_code, 0);
    let message = bench.fails(5, &["table", "review", &second]).await;
    assert!(
        message.contains("customers: civil: weight 5 -> 2"),
        "{message}"
    );
    let accept = ["table", "accept", &second, "--yes", "--reason", "b"];
    bench.fails(5, &accept).await;
    // With a nonce the review is left out, so that the entry host itself has to refuse.
    let mut blind = accept.to_vec();
    blind.extend(["--nonce", "n1"]);
    let message = bench.fails(5, &blind).await;
    assert!(message.contains("table 2 by ada (a) changed:"), "{message}");
    assert!(
        message.contains("customers: civil: weight 2 -> 5"),
        "{message}"
    );
    assert!(bench.ok(&["table", "show"]).await.starts_with("table 2 "));
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_rebase_keeps_the_rows_of_both_operators() {
    // Two operators edit different cells of the same row from one table. The second one's edits are
    // carried over to the first one's table, and accepting them undoes nothing. Where both set the
    // same cell, nothing is guessed: the cell is named and the file stays as it was.
    let bench = Bench::open_with_table().await;
    let first = bench.edited("a.csv", &["customers/civil/weight=5"]).await;
    let second = bench
        .edited("b.csv", &["customers/civil/max_queued_jobs=7"])
        .await;
    let third = bench.edited("c.csv", &["customers/civil/weight=6"]).await;
    assert_eq!(bench.accept(&first, "a").await.exit_code, 0);
    bench.ok(&["table", "rebase", &second]).await;
    let review = bench.ok(&["table", "review", &second]).await;
    assert!(
        review.contains("civil: max_queued_jobs 100 -> 7\n"),
        "{review}"
    );
    assert_eq!(bench.accept(&second, "b").await.exit_code, 0);
    let before = std::fs::read_to_string(&third).expect("the file");
    let message = bench.fails(5, &["table", "rebase", &third]).await;
    assert!(
        message.contains("customers/civil: weight: you set 6, they set 5"),
        "{message}"
    );
    assert_eq!(std::fs::read_to_string(&third).expect("the file"), before);
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_mistakes_name_the_rows_of_the_file_and_nothing_is_accepted() {
    let bench = Bench::open_with_table().await;
    let cells = [
        "customers/civil/weight=0",
        "guarantees/civil/north/8/cells=0",
    ];
    let file = bench.edited("c.csv", &cells).await;
    for command in ["review", "accept"] {
        let mut words = vec!["table", command, &file];
        if command == "accept" {
            words.extend(["--yes", "--reason", "x"]);
        }
        let message = bench.fails(4, &words).await;
        assert!(message.contains("has 2 mistakes:"), "{message}");
        assert!(message.contains("row 3, column weight: expected a number above 0"));
        assert!(message.contains("row 4, column cells: expected a whole number from 1"));
    }
    assert!(bench.ok(&["table", "show"]).await.starts_with("table 1 "));
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_an_acceptance_whose_answer_was_lost_is_applied_once() {
    // The store applies the write and its answer is lost on the way. The entry host, or the command
    // with the same nonce, finds the own write again; the operator sees one new table, not two and
    // no conflict with itself.
    let bench = Bench::open_with_table().await;
    let file = bench.edited("d.csv", &["customers/civil/weight=4"]).await;
    bench.set_faults(Faults {
        only: vec!["cas".to_owned()],
        lose_answers: 1,
        ..Faults::default()
    });
    let outcome = bench.accept(&file, "lost").await;
    assert_eq!(outcome.exit_code, 0, "{outcome:?}");
    assert!(bench.ok(&["table", "show"]).await.starts_with("table 2 "));
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_store_that_is_away_refuses_an_acceptance_with_a_way_out() {
    // The store refuses every call. The table in force stays in force and can be shown; accepting
    // ends with exit code 6 and one sentence, and works once the store is back.
    let bench = Bench::open_with_table().await;
    let file = bench.edited("e.csv", &["customers/civil/weight=4"]).await;
    bench.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let accept = ["table", "accept", &file, "--yes", "--reason", "x"];
    let message = bench.fails(6, &accept).await;
    assert!(message.contains("store"), "{message}");
    bench.fails(6, &["table", "history"]).await;
    assert!(bench.ok(&["table", "show"]).await.starts_with("table 1 "));
    bench.set_faults(Faults::default());
    bench.ok(&accept).await;
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_guarantees_beyond_the_workers_are_refused_by_row() {
    let bench = Bench::open_with_table().await;
    bench.list_worker("w1", "north").await;
    let file = bench
        .edited("p.csv", &["guarantees/civil/north/8/cells=2"])
        .await;
    let accept = ["table", "accept", &file, "--yes", "--reason", "x"];
    let message = bench.fails(4, &accept).await;
    assert!(
        message.contains("row 4, column cells: does not pack"),
        "{message}"
    );
    bench.list_worker("w2", "north").await;
    bench.ok(&accept).await;
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_slow_store_is_waited_for() {
    let bench = Bench::open_with_table().await;
    let file = bench.edited("f.csv", &["customers/civil/weight=4"]).await;
    bench.set_faults(Faults {
        delay_ms: DurationMs(50),
        ..Faults::default()
    });
    let outcome = bench.accept(&file, "slow").await;
    assert_eq!(outcome.exit_code, 0, "{outcome:?}");
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_nothing_is_accepted_when_nobody_can_be_asked() {
    let bench = Bench::open_with_table().await;
    let file = bench.edited("g.csv", &["customers/civil/weight=4"]).await;
    let words = ["table", "accept", &file, "--reason", "x"];
    let message = bench.fails(2, &words).await;
    assert!(message.contains("give --yes"), "{message}");
    assert!(bench.ok(&["table", "show"]).await.starts_with("table 1 "));
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_an_export_never_writes_over_a_file() {
    let bench = Bench::open_with_table().await;
    let file = bench.edited("h.csv", &["customers/civil/weight=4"]).await;
    let message = bench.fails(1, &["table", "export", &file]).await;
    assert!(message.contains("can't be created"), "{message}");
    let text = std::fs::read_to_string(&file).expect("the file");
    assert!(text.contains("customers,,civil,,,,,,4,"), "{text}");
    bench.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_every_command_prints_json_and_failures_do_too() {
    let bench = Bench::open_with_table().await;
    let file = bench.edited("i.csv", &["customers/civil/weight=4"]).await;
    let other = bench.file("j.csv");
    let commands: [&[&str]; 8] = [
        &["status", "--json"],
        &["table", "show", "--json"],
        &["table", "export", &other, "--json"],
        &["table", "edit", &file, "--json"],
        &["table", "review", &file, "--json"],
        &["table", "accept", &file, "--yes", "--reason", "x", "--json"],
        &["table", "history", "--json"],
        &["job", "list", "--json"],
    ];
    for words in commands {
        let text = bench.ok(words).await;
        let value: Result<serde_json::Value, _> = serde_json::from_str(&text);
        assert!(value.is_ok(), "{words:?}: {text}");
    }
    let outcome = run(&["--json", "table"]).await;
    let value: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
    assert_eq!(value["exit_code"], 2);
    bench.close().await;
}
