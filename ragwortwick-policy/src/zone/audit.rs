//! Audit for tests: the unused guaranteed cells and the accelerators that can be reclaimed for them.

use ragwortwick_core::{CustomerName, common};

use super::ZonePlacer;
use super::bindings::CellBinding;
use super::pool::{BLOCK_SIZE, aligned_blocks};

/// `UnusedCell` is a guaranteed cell, or the part of one, that its customer does not use.
#[common]
pub struct UnusedCell {
    /// The customer.
    pub customer: CustomerName,
    /// Accelerators in the cell.
    pub size: u32,
}

/// `AuditedWorker` is the capacity of one worker that guarantees can reclaim.
#[common]
pub struct AuditedWorker {
    /// Number of its rack.
    pub rack: usize,
    /// Accelerators of a usable worker that are free or allocated to borrowed work.
    pub reclaimable: u32,
}

/// `GuaranteeAudit` is the state to which the invariant on guarantees applies.
#[common]
pub struct GuaranteeAudit {
    /// Unused cells that must be reclaimable now.
    pub unused: Vec<UnusedCell>,
    /// Cells that are not bound to accelerators.
    pub short: Vec<UnusedCell>,
    /// The workers.
    pub workers: Vec<AuditedWorker>,
    /// Guaranteed work outside its customer's bound cells, and bound cells that overlap.
    pub violations: Vec<String>,
}

impl ZonePlacer {
    /// `audit_guarantees` returns the state to which the invariant on guarantees applies.
    #[must_use]
    pub fn audit_guarantees(&self) -> GuaranteeAudit {
        let mut unused = Vec::new();
        let mut short = Vec::new();
        for binding in &self.bindings.list {
            let cell = |size| UnusedCell {
                customer: binding.customer.clone(),
                size,
            };
            if binding.is_unbound() {
                short.push(cell(binding.size));
            } else {
                unused.extend(unused_sizes(binding).into_iter().map(cell));
            }
        }
        let workers = self.ledger.workers.iter().map(|entry| AuditedWorker {
            rack: entry.rack,
            reclaimable: if entry.is_usable() {
                entry.capacity_mask() & !entry.unavailable_mask()
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
        for part in self.bindings.list.iter().flat_map(|binding| &binding.parts) {
            if seen[part.worker] & part.mask != 0 {
                violations.push(format!("bound cells overlap on worker {}", part.worker));
            }
            seen[part.worker] |= part.mask;
        }
        for (gang_id, gang) in self.gangs.iter().filter(|(_, gang)| !gang.is_borrowed) {
            let customer = &gang.spec.customer;
            for part in gang.parts() {
                let mut booked = 0;
                for binding in self
                    .bindings
                    .list
                    .iter()
                    .filter(|binding| binding.customer == *customer)
                {
                    for (own, used) in binding.parts.iter().zip(&binding.used) {
                        booked |= if own.worker == part.worker { *used } else { 0 };
                    }
                }
                if part.mask & !booked != 0 {
                    violations.push(format!(
                        "{gang_id} is guaranteed outside its customer's bound cells"
                    ));
                }
            }
        }
        violations
    }
}

/// Splits the unused part of a bound cell into the largest possible cells.
fn unused_sizes(binding: &CellBinding) -> Vec<u32> {
    if binding.is_unused() {
        return vec![binding.size];
    }
    let mut sizes = Vec::new();
    let mut whole = 0;
    for (part, used) in binding.parts.iter().zip(&binding.used) {
        let mut left = part.mask & !used;
        for size in [BLOCK_SIZE, 4, 2, 1] {
            for mask in aligned_blocks(left, size).collect::<Vec<u32>>() {
                left &= !mask;
                if size == BLOCK_SIZE {
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
            sizes.push(blocks * BLOCK_SIZE);
        }
    }
    sizes
}
