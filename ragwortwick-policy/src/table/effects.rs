//! The effects of accepting a table on guarantees and running work, as text.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::Table;
use ragwortwick_core::{ClassName, CustomerName, ZoneName};

/// `table_effects` lists the effects of replacing `old` with `new`, guarantees first.
#[must_use]
pub fn table_effects(old: &Table, new: &Table) -> Vec<String> {
    let mut lines = guarantee_effects(old, new);
    lines.extend(customer_effects(old, new));
    lines.extend(class_effects(old, new));
    lines.extend(weight_effects(old, new));
    lines
}

/// `GuaranteeKey` identifies one customer's guaranteed cells of one size in one zone.
type GuaranteeKey<'a> = (&'a CustomerName, &'a ZoneName, u32);

fn guarantee_effects(old: &Table, new: &Table) -> Vec<String> {
    let before = guaranteed_cells(old);
    let after = guaranteed_cells(new);
    let keys: BTreeSet<&GuaranteeKey<'_>> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter_map(|key| {
            let from = before.get(key).copied().unwrap_or(0);
            let to = after.get(key).copied().unwrap_or(0);
            guarantee_effect(key, from, to)
        })
        .collect()
}

fn guarantee_effect(key: &GuaranteeKey<'_>, from: u64, to: u64) -> Option<String> {
    let (customer, zone, size) = key;
    let head = format!("the guarantee of {customer} in {zone}, cells of {size} accelerators,");
    match to.cmp(&from) {
        std::cmp::Ordering::Equal => None,
        std::cmp::Ordering::Less => Some(format!(
            "{head} shrinks from {from} to {to} cells: its work beyond {to} counts as borrowed \
             and may be checkpointed and stopped when another guarantee is called"
        )),
        std::cmp::Ordering::Greater => Some(format!(
            "{head} grows from {from} to {to} cells: borrowed work of others on them may be \
             checkpointed and stopped when it is called"
        )),
    }
}

fn guaranteed_cells(table: &Table) -> BTreeMap<GuaranteeKey<'_>, u64> {
    let mut cells = BTreeMap::new();
    for row in &table.guarantees {
        let key = (&row.customer, &row.zone, row.shape.cell_accelerators);
        *cells.entry(key).or_default() += u64::from(row.shape.cells);
    }
    cells
}

fn customer_effects(old: &Table, new: &Table) -> Vec<String> {
    let before = customers(old);
    let after = customers(new);
    let with_class: BTreeSet<&CustomerName> = new.classes.iter().map(|row| &row.customer).collect();
    let removed = before.difference(&after).map(|customer| {
        format!("{customer} is no customer any more: new requests and jobs of it are refused")
    });
    let without_class = after
        .difference(&with_class)
        .map(|customer| format!("{customer} has no class: every request and job of it is refused"));
    removed.chain(without_class).collect()
}

fn customers(table: &Table) -> BTreeSet<&CustomerName> {
    table.customers.iter().map(|row| &row.customer).collect()
}

fn class_effects(old: &Table, new: &Table) -> Vec<String> {
    let before = classes(old);
    let after = classes(new);
    let kept_customers = customers(new);
    let mut lines = Vec::new();
    for (key, was_urgent) in &before {
        let (customer, class) = key;
        match after.get(key) {
            Some(is_urgent) if is_urgent != was_urgent => {
                lines.push(urgency(customer, class, *is_urgent));
            }
            None if kept_customers.contains(customer) => lines.push(format!(
                "class {class} of {customer} is gone: new work of that class is refused"
            )),
            _ => {}
        }
    }
    lines
}

fn urgency(customer: &CustomerName, class: &ClassName, is_urgent: bool) -> String {
    if is_urgent {
        format!(
            "class {class} of {customer} becomes urgent: it goes before all work that is not, \
             and starts within 5 s where the guarantee covers it"
        )
    } else {
        format!("class {class} of {customer} is no longer urgent: urgent work goes before it")
    }
}

fn classes(table: &Table) -> BTreeMap<(&CustomerName, &ClassName), bool> {
    table
        .classes
        .iter()
        .map(|row| ((&row.customer, &row.class), row.urgent))
        .collect()
}

fn weight_effects(old: &Table, new: &Table) -> Option<String> {
    (old.weights != new.weights).then(|| {
        format!(
            "from the next placement on, completion time weighs {} against fragmentation {}; \
             running gangs stay where they are",
            new.weights.completion, new.weights.fragmentation
        )
    })
}
