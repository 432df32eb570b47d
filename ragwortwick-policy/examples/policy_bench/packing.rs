//! Whether cells pack into free accelerators, and whether an urgent job's guarantee covered it.

use std::collections::BTreeMap;

use ragwortwick_border::Table;

use crate::arrivals::Script;
use crate::measure::Outcome;

pub const SIZES: [u32; 7] = [64, 32, 16, 8, 4, 2, 1];

/// Start of urgent work later than this after submission is a miss.
const URGENT_START_MS: u64 = 5_000;

pub fn rack_number(rack: &str) -> usize {
    rack.trim_start_matches('r').parse().unwrap_or(0)
}

/// The largest cell that any customer is guaranteed.
pub fn largest(table: &Table) -> u32 {
    let sizes = table
        .guarantees
        .iter()
        .map(|row| row.shape.cell_accelerators);
    sizes.max().unwrap_or(8)
}

/// Whether the cells pack: sizes divide each other, so counting suffices for every size.
pub fn packs(cells: &[u32], free: &[(usize, u32)]) -> bool {
    SIZES.iter().all(|size| {
        let larger = cells.iter().filter(|cell| *cell >= size);
        larger.map(|cell| cell / size).sum::<u32>() <= count_cells(free, *size)
    })
}

fn count_cells(free: &[(usize, u32)], size: u32) -> u32 {
    if size > 8 {
        let mut whole: BTreeMap<usize, u32> = BTreeMap::new();
        for (rack, mask) in free {
            *whole.entry(*rack).or_insert(0) += u32::from(*mask == 0xff);
        }
        return whole.values().map(|blocks| blocks / (size / 8)).sum();
    }
    let block = (1u32 << size) - 1;
    let blocks_of =
        |mask: u32| (0..8 / size).filter(move |i| (mask >> (i * size)) & block == block);
    free.iter()
        .map(|(_, mask)| u32::try_from(blocks_of(*mask).count()).unwrap_or(0))
        .sum()
}

/// What is left of a customer's guaranteed cells once these shapes are taken; `None` if too much.
pub fn left_of(guaranteed: &[u32], used: &[u32]) -> Option<Vec<u32>> {
    let mut left = guaranteed.to_vec();
    let mut used = used.to_vec();
    used.sort_unstable_by(|a, b| b.cmp(a));
    for size in used {
        let (index, _) = left
            .iter()
            .enumerate()
            .filter(|(_, cell)| **cell >= size)
            .min_by_key(|(_, cell)| **cell)?;
        let mut cell = left.swap_remove(index);
        while cell > size {
            cell /= 2;
            left.push(cell);
        }
    }
    Some(left)
}

pub fn guaranteed_to(table: &Table, customer: &str) -> Vec<u32> {
    let rows = table
        .guarantees
        .iter()
        .filter(|row| row.customer.as_str() == customer);
    rows.flat_map(|row| (0..row.shape.cells).map(|_| row.shape.cell_accelerators))
        .collect()
}

/// Counts urgent jobs that started late although their guarantee covered them.
///
/// It covers a job if the job fits it beside all urgent jobs of the customer that were submitted
/// before and not finished when it came; the customer's routine work has to give way.
pub fn urgent_missed(script: &Script, outcomes: &[Outcome]) -> u64 {
    let mut missed = 0;
    for (index, arrival) in script.arrivals.iter().enumerate() {
        if !arrival.is_urgent {
            continue;
        }
        let customer = arrival.spec.customer.as_str();
        let mut used =
            vec![arrival.spec.shape.cell_accelerators; arrival.spec.shape.cells as usize];
        for (before, outcome) in script.arrivals[..index].iter().zip(outcomes) {
            let is_open = outcome.finished_at_ms.is_none_or(|at| at >= arrival.at_ms);
            if before.is_urgent && before.spec.customer.as_str() == customer && is_open {
                let shape = &before.spec.shape;
                used.extend(vec![shape.cell_accelerators; shape.cells as usize]);
            }
        }
        let is_covered = left_of(&guaranteed_to(&script.table, customer), &used).is_some();
        let is_late = outcomes[index]
            .started_at_ms
            .is_none_or(|at| at > arrival.at_ms + URGENT_START_MS);
        missed += u64::from(is_covered && is_late);
    }
    missed
}
