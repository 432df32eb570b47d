//! A look inside for tests: what is guaranteed and unused, and what could be reclaimed for it.

use ragwortwick_core::{CustomerName, common};

use super::ZonePlacer;
use super::homes::Home;
use super::pool::{BLOCK, aligned};

/// `UnusedCell` is a guaranteed cell, or the rest of one, that its customer does not use.
#[common]
pub struct UnusedCell {
    /// The customer.
    pub customer: CustomerName,
    /// Accelerators in the cell.
    pub size: u32,
}

/// `AuditedWorker` is what guarantees could get of one worker.
#[common]
pub struct AuditedWorker {
    /// Number of its rack.
    pub rack: usize,
    /// Accelerators that are free or held by borrowed work, on a worker in use.
    pub reclaimable: u32,
}

/// `GuaranteeAudit` is the state that the invariant on guarantees speaks of.
#[common]
pub struct GuaranteeAudit {
    /// Unused cells that are promised to be reclaimable now.
    pub unused: Vec<UnusedCell>,
    /// Cells that were reported as short.
    pub short: Vec<UnusedCell>,
    /// The workers.
    pub workers: Vec<AuditedWorker>,
    /// Covered work outside its customer's homes, and homes that overlap.
    pub violations: Vec<String>,
}

impl ZonePlacer {
    /// `audit_guarantees` shows what the invariant on guarantees speaks of.
    #[must_use]
    pub fn audit_guarantees(&self) -> GuaranteeAudit {
        let mut unused = Vec::new();
        let mut short = Vec::new();
        for home in &self.homes.list {
            let cell = |size| UnusedCell {
                customer: home.customer.clone(),
                size,
            };
            if home.is_short() {
                short.push(cell(home.size));
            } else {
                unused.extend(unused_sizes(home).into_iter().map(cell));
            }
        }
        let workers = self.ledger.workers.iter().map(|entry| AuditedWorker {
            rack: entry.rack,
            reclaimable: if entry.is_usable() {
                entry.full() & !entry.closed()
            } else {
                0
            },
        });
        GuaranteeAudit {
            unused,
            short,
            workers: workers.collect(),
            violations: self.violations(),
        }
    }

    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut seen = vec![0; self.ledger.workers.len()];
        for part in self.homes.list.iter().flat_map(|home| &home.parts) {
            if seen[part.worker] & part.mask != 0 {
                violations.push(format!("homes overlap on worker {}", part.worker));
            }
            seen[part.worker] |= part.mask;
        }
        for (gang_id, gang) in self.gangs.iter().filter(|(_, gang)| !gang.is_borrowed) {
            let customer = &gang.spec.customer;
            for part in gang.parts() {
                let mut booked = 0;
                for home in self.homes.list.iter().filter(|h| h.customer == *customer) {
                    for (own, used) in home.parts.iter().zip(&home.used) {
                        booked |= if own.worker == part.worker { *used } else { 0 };
                    }
                }
                if part.mask & !booked != 0 {
                    violations.push(format!("{gang_id} is covered outside its homes"));
                }
            }
        }
        violations
    }
}

/// Splits what a home has left into the largest cells.
fn unused_sizes(home: &Home) -> Vec<u32> {
    if home.is_unused() {
        return vec![home.size];
    }
    let mut sizes = Vec::new();
    let mut whole = 0;
    for (part, used) in home.parts.iter().zip(&home.used) {
        let mut left = part.mask & !used;
        for size in [BLOCK, 4, 2, 1] {
            for mask in aligned(left, size).collect::<Vec<u32>>() {
                left &= !mask;
                if size == BLOCK {
                    whole += 1;
                } else {
                    sizes.push(size);
                }
            }
        }
    }
    for blocks in [8, 4, 2, 1] {
        while whole >= blocks {
            whole -= blocks;
            sizes.push(blocks * BLOCK);
        }
    }
    sizes
}
