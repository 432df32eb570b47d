//! Completed runs of the test workers, and the starts of their tasks since.

use std::collections::BTreeMap;

use super::workers::StartedRun;

/// `RepeatedRun` is a start of a task of which a run had completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatedRun {
    /// The start.
    pub start: StartedRun,
    /// Number of the run that had completed.
    pub completed_run: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) task: String,
    pub(super) run: u64,
    /// Number of starts, on any worker, before the run completed.
    pub(super) starts_before: usize,
}

/// `Completions` holds the runs that have completed.
#[derive(Debug, Default)]
pub(super) struct Completions {
    /// Those whose end is not acknowledged, by worker and sequence number of the end.
    unacknowledged: BTreeMap<String, BTreeMap<u64, Completion>>,
    acknowledged: Vec<Completion>,
}

impl Completions {
    pub(super) fn record(&mut self, worker: &str, sequence: u64, completion: Completion) {
        let of_worker = self.unacknowledged.entry(worker.to_owned()).or_default();
        of_worker.insert(sequence, completion);
    }

    /// Records that a worker's run ends are acknowledged up to a sequence number.
    pub(super) fn acknowledge(&mut self, worker: &str, sequence: u64) {
        if let Some(of_worker) = self.unacknowledged.get_mut(worker) {
            let later = of_worker.split_off(&(sequence + 1));
            let acknowledged = std::mem::replace(of_worker, later);
            self.acknowledged.extend(acknowledged.into_values());
        }
    }

    /// Forgets a worker's ends that are not acknowledged: their tasks may run again, because the lease has lapsed or
    /// the worker has lost them.
    pub(super) fn forget_unacknowledged(&mut self, worker: &str) {
        self.unacknowledged.remove(worker);
    }

    pub(super) fn repeated_runs(&self, starts: &[StartedRun]) -> Vec<RepeatedRun> {
        let mut by_task: BTreeMap<&str, Vec<(usize, &StartedRun)>> = BTreeMap::new();
        for (number, start) in starts.iter().enumerate() {
            by_task
                .entry(&start.task)
                .or_default()
                .push((number, start));
        }
        let repeated = self.acknowledged.iter().flat_map(|completion| {
            let starts = by_task.get(completion.task.as_str()).into_iter().flatten();
            let later = starts.filter(|(number, _)| *number >= completion.starts_before);
            later.map(|(_, start)| RepeatedRun {
                start: (*start).clone(),
                completed_run: completion.run,
            })
        });
        repeated.collect()
    }
}
