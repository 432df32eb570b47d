//! Waits and looks behind the faults, for tests that watch a fleet from outside.

use std::time::Duration;

use ragwortwick_border::{JobPhase, JobRecord, StoreGet, TableAcceptReply};
use ragwortwick_core::GangId;

use super::{Fleet, FleetError, FleetOptions, sample_accept};
use crate::{LogEntry, LogEvent, now};

/// Outer limit of a wait; only a hung or failed test reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// Pause between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// `wait_until` waits for a condition that only other processes can bring about.
///
/// # Panics
///
/// Panics if the condition does not hold within the outer limit.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_LIMIT, wait).await;
    assert!(waited.is_ok(), "not within {WAIT_LIMIT:?}: {what}");
}

impl Fleet {
    /// `open_with_table` starts a fleet and waits until the sample table is in force everywhere.
    ///
    /// # Errors
    ///
    /// Fails if a port or process can't be had.
    ///
    /// # Panics
    ///
    /// Panics if the table does not come into force within the outer limit.
    pub async fn open_with_table(options: FleetOptions) -> Result<Self, FleetError> {
        let fleet = Self::open(options).await?;
        let accept = sample_accept(fleet.zones());
        wait_until("the table is accepted", async || {
            let reply = fleet.caller.accept_table(fleet.address(0), &accept).await;
            matches!(reply, Ok(TableAcceptReply::Accepted(_)))
        })
        .await;
        for daemon in &fleet.daemons {
            wait_until("the table is in force", async || {
                let table = fleet.caller.table(daemon.address()).await;
                table.is_ok_and(|table| table.number == 1)
            })
            .await;
        }
        Ok(fleet)
    }

    /// `record` reads a job's record behind the faults of the store.
    #[must_use]
    pub fn record(&self, job: &str) -> Option<JobRecord> {
        let key = format!("jobs/{job}");
        let reply = self
            .store
            .with_state(|state| state.get(now(), &StoreGet { key }));
        serde_json::from_str(&reply.entry?.value).ok()
    }

    /// `wait_for_phase` waits until a job's record shows the phase.
    ///
    /// # Panics
    ///
    /// Panics if it does not within the outer limit.
    pub async fn wait_for_phase(&self, job: &str, phase: JobPhase) {
        let wait = async {
            while self.record(job).is_none_or(|record| record.phase != phase) {
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_LIMIT, wait).await;
        assert!(
            waited.is_ok(),
            "job {job} is not {phase} but {:?}; on workers: {:?}",
            self.record(job),
            self.workers.log().entries()
        );
    }

    /// `gang_events` are the events of all attempts of a job on all workers, in order.
    #[must_use]
    pub fn gang_events(&self, job: &str, event: LogEvent) -> Vec<LogEntry> {
        let is_of_job = |entry: &LogEntry| {
            GangId::new(&entry.id)
                .job_and_attempt()
                .is_some_and(|(of, _)| of.as_str() == job)
        };
        self.workers
            .log()
            .entries()
            .into_iter()
            .filter(|entry| entry.event == event && is_of_job(entry))
            .collect()
    }
}
