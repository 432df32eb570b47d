//! Checks that guarantees that do not fit are refused, unless they did not fit before either.

mod table_support;

use ragwortwick_core::ZoneName;
use ragwortwick_policy::{RackCapacity, ZoneCapacity, review_packing};
use table_support::{guarantee, table};

/// Creates the capacity of a zone `north` with one rack.
fn capacity(workers: usize) -> ZoneCapacity {
    let rack = RackCapacity {
        worker_accelerators: vec![8; workers],
    };
    let mut capacity = ZoneCapacity::default();
    capacity.zones.insert(ZoneName::new("north"), vec![rack]);
    capacity
}

#[test]
fn verify_a_guarantee_that_does_not_fit_names_its_row() {
    let old = table();
    let mut new = table();
    new.guarantees[1].shape.cells = 2;
    assert_eq!(review_packing(&old, &old, &capacity(3)).problems, []);
    let packing = review_packing(&old, &new, &capacity(3));
    assert_eq!(packing.problems.len(), 1, "{packing:?}");
    assert_eq!(packing.problems[0].row, 2);
    assert_eq!(packing.problems[0].column, "cells");
    assert_eq!(packing.effects, Vec::<String>::new());
}

#[test]
fn verify_a_zone_without_workers_is_a_mistake_of_the_row() {
    let old = table();
    let mut new = table();
    let mut row = guarantee("civil", 1);
    row.zone = "nroth".into();
    new.guarantees.push(row);
    let packing = review_packing(&old, &new, &capacity(3));
    assert_eq!(packing.problems[0].row, 3);
    assert_eq!(packing.problems[0].column, "zone");
}

#[test]
fn verify_a_lost_rack_leaves_other_changes_possible() {
    // Two of three workers are lost, so the table in force does not fit. Changing a weight or shrinking
    // the guarantee that does not fit is accepted, and the shortage is shown. Growing that guarantee is
    // still refused.
    let old = table();
    let mut weight = table();
    weight.customers[0].weight = 5.0;
    let packing = review_packing(&old, &weight, &capacity(1));
    assert_eq!(packing.problems, []);
    assert!(packing.effects[0].starts_with("the guarantee of civil is short already"));
    let mut shrunk = table();
    shrunk.guarantees[0].shape.cells = 1;
    assert_eq!(review_packing(&old, &shrunk, &capacity(2)).problems, []);
    let mut grown = table();
    grown.guarantees[0].shape.cells = 3;
    assert_eq!(review_packing(&old, &grown, &capacity(1)).problems.len(), 1);
}

#[test]
fn verify_a_host_that_knows_no_worker_does_not_judge() {
    let packing = review_packing(&table(), &table(), &ZoneCapacity::default());
    assert_eq!(packing.problems, []);
}
