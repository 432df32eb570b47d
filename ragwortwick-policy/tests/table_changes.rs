//! Checks the texts of the changes between two tables and of their effects.

mod table_support;

use ragwortwick_policy::{table_changes, table_effects};
use table_support::{class, customer, guarantee, table};

#[test]
fn verify_equal_tables_have_no_difference_whatever_their_order() {
    let old = table();
    let mut new = table();
    new.customers.reverse();
    new.classes.reverse();
    new.guarantees.reverse();
    assert_eq!(table_changes(&old, &new), Vec::<String>::new());
    assert_eq!(table_effects(&old, &new), Vec::<String>::new());
}

#[test]
fn verify_each_changed_row_is_one_line() {
    let old = table();
    let mut new = table();
    new.customers[0].weight = 2.5;
    new.customers.push(customer("teams"));
    new.guarantees[0].shape.cells = 1;
    new.guarantees.remove(1);
    new.classes[1].worth = 3.0;
    new.classes[1].max_queued = 10;
    new.weights.fragmentation = 4.0;
    let expected = [
        "customers: civil: weight 1 -> 2.5",
        "customers: teams: added (weight 1, max_queued_jobs 100)",
        "guarantees: civil in north, cells of 8: cells 2 -> 1",
        "guarantees: institute in north, cells of 8: removed (cells 1)",
        "classes: institute refine: worth 2 -> 3, max_queued 200 -> 10",
        "weights: placement: fragmentation 1 -> 4",
    ];
    assert_eq!(table_changes(&old, &new), expected);
}

#[test]
fn verify_guarantees_that_shrink_or_grow_tell_who_is_concerned() {
    let old = table();
    let mut new = table();
    new.guarantees[0].shape.cells = 1;
    new.guarantees.push(guarantee("teams", 3));
    new.customers.push(customer("teams"));
    new.classes.push(class("teams", "batch"));
    let effects = table_effects(&old, &new);
    assert_eq!(effects.len(), 2, "{effects:?}");
    assert!(effects[0].starts_with(
        "the guarantee of civil in north, cells of 8 accelerators, shrinks from 2 to 1 cells"
    ));
    assert!(effects[1].starts_with(
        "the guarantee of teams in north, cells of 8 accelerators, grows from 0 to 3 cells"
    ));
}

#[test]
fn verify_customers_and_classes_that_lose_their_work_are_named() {
    let old = table();
    let mut new = table();
    new.customers.remove(1);
    new.guarantees.remove(1);
    new.classes.remove(1);
    new.classes[0] = class("civil", "downlink");
    new.customers.push(customer("teams"));
    let effects = table_effects(&old, &new).join("\n");
    for expected in [
        "institute in north, cells of 8 accelerators, shrinks from 1 to 0 cells",
        "institute is no customer any more",
        "teams has no class",
        "class pass-plan of civil is gone",
    ] {
        assert!(effects.contains(expected), "{expected}\nin\n{effects}");
    }
}

#[test]
fn verify_urgency_and_weights_tell_what_they_change() {
    let old = table();
    let mut new = table();
    new.classes[0].urgent = true;
    new.weights.completion = 1.0;
    let effects = table_effects(&old, &new);
    assert_eq!(effects.len(), 2, "{effects:?}");
    assert!(effects[0].contains("class pass-plan of civil becomes urgent"));
    assert!(effects[1].contains("completion time weighs 1 against fragmentation 1"));
}
