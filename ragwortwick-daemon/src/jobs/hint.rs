//! Hints to the owner of a job's zone, so that it need not wait for the store's watch.

use ragwortwick_border::{HostKind, JobCall, JobRecord, PeerCall, PeerReply};
use ragwortwick_core::{DurationMs, HostName, JobId, Revision, ZoneName};

use super::JobsHandle;

/// Longest wait for an answer to a hint.
const HINT_TIMEOUT_MS: DurationMs = DurationMs(1_000);

impl JobsHandle {
    /// `hint_new` tells the owner of a new record; a lost hint costs only time.
    ///
    /// The revision is given if this host wrote the record.
    pub(super) fn hint_new(&self, record: JobRecord, written: Option<Revision>) {
        if self.owns(&record.zone) {
            self.zone.new_job(record, written);
            return;
        }
        for host in self.hosts_of(&record.zone) {
            let peers = self.peers.clone();
            let call = PeerCall::NewJob(record.clone());
            tokio::spawn(async move {
                drop(peers.call(&host, call, HINT_TIMEOUT_MS).await);
            });
        }
    }

    /// `ask_owner` asks the owner of a zone about a job, or to cancel it.
    pub(super) async fn ask_owner(
        &self,
        zone: &ZoneName,
        job_id: &JobId,
        is_cancel: bool,
    ) -> Option<String> {
        if self.owns(zone) {
            if is_cancel {
                self.zone.cancel_job(job_id);
            }
            return self.zone.why(job_id).await;
        }
        for host in self.hosts_of(zone) {
            let call = PeerCall::Job(JobCall {
                job_id: job_id.clone(),
                is_cancel,
            });
            let reply = self.peers.call(&host, call, HINT_TIMEOUT_MS).await;
            if let Ok(PeerReply::JobWhy(answer)) = reply
                && answer.is_known
            {
                return Some(answer.why);
            }
        }
        None
    }

    fn owns(&self, zone: &ZoneName) -> bool {
        zone == self.zone.zone() && self.zone.owned_epoch().is_some()
    }

    /// The reachable peers of a zone; of this host's own zone only the owner, which it knows.
    fn hosts_of(&self, zone: &ZoneName) -> Vec<HostName> {
        if zone == self.zone.zone()
            && let Some(owner) = self.zone.owner()
        {
            return vec![owner];
        }
        let reachable = self.peers.reachable();
        let hosts = self.hosts.borrow();
        hosts
            .hosts
            .iter()
            .filter(|host| host.kind == HostKind::Entry && &host.zone == zone)
            .filter(|host| reachable.contains(&host.name))
            .map(|host| host.name.clone())
            .collect()
    }
}
