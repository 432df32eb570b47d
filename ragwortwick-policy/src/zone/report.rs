//! Status of the zone for operators and explanations of jobs for clients.

use std::collections::BTreeMap;

use ragwortwick_border::{GuaranteeStatus, WorkerStatus, ZoneStatus};
use ragwortwick_core::{CustomerName, HostName, JobId, TimeMs};

use super::ZonePlacer;
use super::gang::GangState;
use super::ledger::WorkerEntry;

impl ZonePlacer {
    pub(super) fn report(&self, owner: Option<HostName>) -> ZoneStatus {
        let idle = self.ledger.idle_pool();
        let free: u32 = idle.free.iter().map(|mask| mask.count_ones()).sum();
        let largest = self.largest_guaranteed();
        let usable = idle.cell_count(largest) * largest;
        let fragmentation = if free == 0 {
            0.0
        } else {
            f64::from(free - usable) / f64::from(free)
        };
        let running = self
            .gangs
            .values()
            .filter(|gang| gang.state == GangState::Running)
            .count();
        let waiting = self.jobs.values().filter(|job| job.is_waiting()).count();
        ZoneStatus {
            zone: self.zone.clone(),
            owner,
            epoch: self.epoch,
            jobs_waiting: count(waiting),
            jobs_running: count(running),
            free_accelerators: free,
            fragmentation,
            guarantees: self.guarantees(),
            workers: self.workers(),
        }
    }

    fn guarantees(&self) -> Vec<GuaranteeStatus> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let mut by_kind: BTreeMap<(&CustomerName, u32), BindingCount> = BTreeMap::new();
        for binding in &self.bindings.list {
            let counted = by_kind
                .entry((&binding.customer, binding.size))
                .or_default();
            counted.short += u32::from(binding.is_unbound());
            counted.used += u32::from(!binding.is_unused());
        }
        let mut rows = Vec::new();
        for row in &table.table.guarantees {
            if row.zone != self.zone {
                continue;
            }
            // Rows of one customer and size share their bindings; each takes what is left of the counts.
            let key = (&row.customer, row.shape.cell_accelerators);
            let left = by_kind.entry(key).or_default();
            let cells_short = left.short.min(row.shape.cells);
            let cells_used = left.used.min(row.shape.cells - cells_short);
            left.short -= cells_short;
            left.used -= cells_used;
            rows.push(GuaranteeStatus {
                customer: row.customer.clone(),
                zone: row.zone.clone(),
                shape: row.shape.clone(),
                cells_used,
                cells_short,
            });
        }
        rows
    }

    fn workers(&self) -> Vec<WorkerStatus> {
        let status = |entry: &WorkerEntry| WorkerStatus {
            worker: entry.name.clone(),
            rack: self
                .ledger
                .rack_name(entry.rack)
                .cloned()
                .unwrap_or_else(|| "".into()),
            state: entry.state().to_owned(),
            accelerators: entry.accelerators,
            free: (entry.capacity_mask() & !entry.allocated_mask()).count_ones(),
            reason: entry.failure_text(),
        };
        self.ledger.workers.iter().map(status).collect()
    }

    pub(super) fn explain(&self, now: TimeMs, job_id: &JobId) -> Option<String> {
        let Some(job) = self.jobs.get(job_id) else {
            let phase = self.ended_jobs.get(job_id)?;
            return Some(format!("it ended: {phase}"));
        };
        if job.is_done {
            return Some(job.explanation.clone());
        }
        let Some(gang) = job.active.as_ref().and_then(|id| self.gangs.get(id)) else {
            return Some(self.explain_waiting(now, job));
        };
        let places: Vec<String> = gang
            .spec
            .members
            .iter()
            .map(|member| member.worker.to_string())
            .collect();
        let share = if gang.is_borrowed {
            "beyond its customer's guarantee"
        } else {
            "within its customer's guarantee"
        };
        let state = ragwortwick_core::ChartSymbol::name(gang.state);
        Some(format!("{state} {share} on {}", places.join(", ")))
    }

    fn explain_waiting(&self, now: TimeMs, job: &super::queue::Job) -> String {
        let shape = &job.record.spec.shape;
        let waited_s = now.since(job.found_at).0 / 1000;
        let free = self.ledger.idle_pool().cell_count(shape.cell_accelerators);
        let mut text = format!(
            "waiting for {waited_s} s for {} cells of {} accelerators; {free} such cells are idle \
             and its customer's guarantee is in use or too small",
            shape.cells, shape.cell_accelerators
        );
        if free >= shape.cells && self.reserved_share() > 0.0 {
            // Explains to operators why a job waits although enough accelerators are idle.
            text.push_str(
                "; the table's weight of fragmentation keeps a share of the zone idle from work \
                 beyond guarantees",
            );
        }
        if !job.explanation.is_empty() {
            text.push_str("; ");
            text.push_str(&job.explanation);
        }
        text
    }
}

#[derive(Default)]
struct BindingCount {
    used: u32,
    short: u32,
}

impl WorkerEntry {
    fn failure_text(&self) -> String {
        if self.is_lost() {
            return format!("{} orders in a row without answer", self.unanswered_orders);
        }
        if self.failed_jobs.is_empty() {
            return String::new();
        }
        let jobs: Vec<&str> = self.failed_jobs.iter().map(JobId::as_str).collect();
        format!("jobs failed on it: {}", jobs.join(", "))
    }
}

fn count(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
