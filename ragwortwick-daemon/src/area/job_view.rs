//! One job as this host knows it: its record, its phase and its cancel, each as of its own revision.

use std::sync::Arc;

use ragwortwick_adapter::KeyValue;
use ragwortwick_area::{JobPhase, JobRecord, RunResult};
use ragwortwick_core::{JobId, Revision, TimeMs, log_event};
use serde::{Deserialize, Serialize};

use super::handover::{CompletionValue, ResultValue};

/// `CancelValue` is the stored value of a cancel.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct CancelValue {
    /// Unix time at which the host stored it; older hosts leave it out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) requested_unix_ms: Option<TimeMs>,
    /// Lease of a tombstone, which a read of the key does not show; none for the cancel of a job that exists.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) tombstone_lease: Option<u64>,
}

/// `KnownCancel` is a cancel that this host has read or stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownCancel {
    pub(super) revision: Revision,
    requested_unix_ms: Option<TimeMs>,
}

/// `JobView` is one job in the replica.
#[derive(Clone, Debug, Default)]
pub(super) struct JobView {
    pub(super) record: Option<Arc<JobRecord>>,
    pub(super) record_revision: Revision,
    /// Memory that the job takes, once its record is known.
    pub(super) memory_bytes: usize,
    pub(super) phase: JobPhase,
    pub(super) phase_revision: Revision,
    pub(super) cancel: Option<KnownCancel>,
    pub(super) handed_over_completions: Vec<CompletionValue>,
    pub(super) handed_over_results: Vec<ResultValue>,
}

impl JobView {
    /// The phase reported to clients.
    pub(super) fn reported_phase(&self) -> JobPhase {
        if self.is_cancelled() && !self.phase.is_final() {
            JobPhase::Cancelled
        } else {
            self.phase
        }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancel.is_some()
    }

    /// Stores the record of a write; returns it if a coordinator on this host may not have received it.
    pub(super) fn apply_record(&mut self, item: &KeyValue) -> Option<Arc<JobRecord>> {
        if item.revision < self.record_revision {
            return None;
        }
        if let Some(record) = &self.record
            && item.revision == self.record_revision
        {
            // This host stored or read the job before the watch reported it.
            return Some(Arc::clone(record));
        }
        let record = Arc::new(parse_json::<JobRecord>(item)?);
        self.memory_bytes = record.memory_bytes() + item.value.len();
        self.record = Some(Arc::clone(&record));
        self.record_revision = item.revision;
        Some(record)
    }

    /// Records a cancel unless a newer one is known.
    pub(super) fn apply_cancel(&mut self, revision: Revision, value: CancelValue) {
        if self.cancel.is_none_or(|known| known.revision <= revision) {
            self.cancel = Some(KnownCancel {
                revision,
                requested_unix_ms: value.requested_unix_ms,
            });
        }
    }

    /// The cancel as the coordinator learns of it, if there is one.
    pub(super) fn cancel_change(&self, job_id: &JobId) -> Option<CancelChange> {
        self.cancel.map(|cancel| CancelChange {
            job_id: job_id.clone(),
            requested_unix_ms: cancel.requested_unix_ms,
            has_job: self.record.is_some(),
        })
    }

    /// Drops what is not newer than the revision; returns whether anything is left.
    pub(super) fn keep_newer_than(&mut self, revision: Revision) -> bool {
        let old = std::mem::take(self);
        if old.record_revision > revision {
            self.record = old.record;
            self.record_revision = old.record_revision;
            self.memory_bytes = old.memory_bytes;
        }
        self.cancel = old.cancel.filter(|cancel| cancel.revision > revision);
        self.record.is_some() || self.is_cancelled()
    }

    /// Drops a cancel that was removed at the given revision, unless the job was created beside it.
    pub(super) fn expire_cancel(&mut self, removed_at: Revision) {
        let is_created_beside = self.record.is_some() && self.record_revision < removed_at;
        if !is_created_beside {
            self.cancel = self.cancel.filter(|cancel| cancel.revision > removed_at);
        }
    }

    /// Results of the job's runs that earlier coordinators handed over.
    pub(super) fn handed_over_results(&self, job_id: &JobId) -> Vec<RunResult> {
        let completions = self.handed_over_completions.iter();
        let completions = completions.map(|value| value.to_result(job_id));
        let others = self.handed_over_results.iter();
        completions
            .chain(others.map(|value| value.to_result(job_id)))
            .collect()
    }
}

/// `CancelChange` is a cancel as the coordinator learns of it.
#[derive(Clone, Debug)]
pub(super) struct CancelChange {
    pub(super) job_id: JobId,
    /// Unix time at which a host stored the cancel, on its clock; none if it was stored without.
    pub(super) requested_unix_ms: Option<TimeMs>,
    /// Whether the job has been read; if not, it was cancelled before it was created.
    pub(super) has_job: bool,
}

/// Parses a value; one that can't be parsed is logged.
pub(super) fn parse_json<T: for<'de> serde::Deserialize<'de>>(item: &KeyValue) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log_event!(
                Error,
                "record_unreadable",
                key = item.key,
                revision = item.revision,
                cause = error
            );
            None
        }
    }
}
