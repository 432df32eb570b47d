//! docs/OPERATIONS.md names the metrics and log lines that the code really has.

mod sources;

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_daemon::Metrics;
use ragwortwick_platform::CallCounts;
use sources::warning_events;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Rows of the table below a heading.
fn rows(heading: &str) -> BTreeSet<&'static str> {
    let (_, rest) = PAGE.split_once(heading).expect("the heading");
    let section = rest.split("\n## ").next().expect("a section");
    section
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect()
}

#[test]
fn verify_the_page_has_each_metric_with_its_labels_and_meaning() {
    let metrics = Metrics::open().expect("metrics");
    let counts = Arc::new(CallCounts::default());
    metrics.state.follow_store(counts).expect("store calls");
    let expected: BTreeSet<String> = metrics
        .describe()
        .into_iter()
        .map(|metric| {
            let labels = metric.labels.join("`, `");
            let labels = if labels.is_empty() {
                String::new()
            } else {
                format!("`{labels}` ")
            };
            format!("| `{}` | {labels}| {} |", metric.name, metric.help)
        })
        .collect();
    let found: BTreeSet<String> = rows("## Metrics").into_iter().map(str::to_owned).collect();
    assert_eq!(found, expected);
}

#[test]
fn verify_metrics_carry_their_unit() {
    let metrics = Metrics::open().expect("metrics");
    let units = [
        "seconds",
        "total",
        "cells",
        "ratio",
        "jobs",
        "number",
        "epoch",
        "bytes",
        "requests",
        "accelerators",
    ];
    for metric in metrics.describe() {
        let suffix = metric.name.rsplit('_').next().unwrap_or_default();
        assert!(units.contains(&suffix), "{} has no unit", metric.name);
        assert!(metric.name.starts_with("ragwortwick_"), "{}", metric.name);
    }
}

#[test]
fn verify_the_page_has_each_warning() {
    let named: BTreeSet<&str> = rows("## Log lines to act on")
        .into_iter()
        .filter_map(|row| row.split('`').nth(1))
        .collect();
    let events = warning_events();
    let expected: BTreeSet<&str> = events.iter().map(String::as_str).collect();
    assert_eq!(named, expected);
}
