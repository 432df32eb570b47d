//! In which order customers get capacity that no guarantee covers.

use std::collections::BTreeMap;

use ragwortwick_core::CustomerName;

use crate::fair_share::{Contender, CustomerWeights, in_turn};
use crate::job::Resources;

const CAPACITY: Resources = Resources {
    cpu_millis: 1_000_000,
    memory_mb: 1_000_000,
    accelerators: 1_000,
};

fn contender(customer: &str, number: usize, demand: Resources) -> Contender<(String, usize)> {
    Contender {
        customer: customer.into(),
        demand,
        step: (customer.to_owned(), number),
    }
}

fn accelerators(accelerators: u64) -> Resources {
    Resources {
        accelerators,
        ..Resources::default()
    }
}

fn order(
    contenders: Vec<Contender<(String, usize)>>,
    used: &[(&str, Resources)],
    weights: &CustomerWeights,
) -> Vec<String> {
    let used = used
        .iter()
        .map(|(name, used)| (CustomerName::new(name), *used));
    let ordered = in_turn(contenders, used.collect(), CAPACITY, weights);
    ordered.into_iter().map(|(name, _)| name).collect()
}

/// Load: one customer hands in fifty jobs at once, two others one each, all of equal value.
#[test]
fn verify_a_flood_delays_only_the_customer_that_sends_it() {
    let flood = (0..50).map(|number| contender("flood", number, accelerators(8)));
    let others = ["a", "b"].map(|name| contender(name, 0, accelerators(8)));
    let contenders = flood.chain(others).collect();
    let order = order(
        contenders,
        &[("flood", accelerators(400))],
        &BTreeMap::new(),
    );
    assert_eq!(order[..2], ["a", "b"]);
    assert!(order[2..].iter().all(|name| name == "flood"));
}

/// Guards against a share that is counted by accelerators where memory is what binds.
#[test]
fn verify_the_largest_of_a_customers_shares_counts() {
    let used = [
        (
            "memory",
            Resources {
                memory_mb: 500_000,
                ..accelerators(1)
            },
        ),
        ("accelerators", accelerators(300)),
    ];
    let contenders = vec![
        contender("memory", 0, accelerators(1)),
        contender("accelerators", 0, accelerators(1)),
    ];
    let order = order(contenders, &used, &BTreeMap::new());
    assert_eq!(order, ["accelerators", "memory"]);
}

#[test]
fn verify_customers_get_capacity_by_their_weights() {
    let contenders = ["a", "b"]
        .into_iter()
        .flat_map(|name| (0..30).map(move |number| contender(name, number, accelerators(10))));
    let weights = CustomerWeights::from([("a".into(), 2.0)]);
    let order = order(contenders.collect(), &[], &weights);
    let of_a = order[..30].iter().filter(|name| *name == "a").count();
    assert_eq!(of_a, 20);
}

/// Guards against wide jobs that wait behind all narrow ones of other customers.
#[test]
fn verify_a_wide_job_gets_its_turn() {
    let narrow = (0..40).map(|number| contender("narrow", number, accelerators(10)));
    let wide = contender("wide", 0, accelerators(600));
    let contenders = narrow.chain([wide]).collect();
    let order = order(
        contenders,
        &[("narrow", accelerators(20))],
        &BTreeMap::new(),
    );
    assert_eq!(order[0], "wide");
}

/// Guards against another order of one customer's steps than by their value.
#[test]
fn verify_the_steps_of_one_customer_keep_their_order() {
    let contenders = (0..20).map(|number| contender("a", number, accelerators(3)));
    let ordered = in_turn(
        contenders.collect(),
        BTreeMap::new(),
        CAPACITY,
        &BTreeMap::new(),
    );
    let numbers: Vec<usize> = ordered.into_iter().map(|(_, number)| number).collect();
    assert_eq!(numbers, (0..20).collect::<Vec<_>>());
}
