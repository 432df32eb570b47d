//! Keeps running gangs alive while the store is away and the zone's owner is gone.
//!
//! Without an owner nobody renews the leases of running members, and without the store nobody can
//! become the owner: an outage would end every gang of a zone whose owner dies in it. A caretaker
//! only renews. It starts, stops and moves nothing, and it uses the epoch that the workers show, so
//! that the next owner's epoch fences it like any other.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortwick_border::{
    GangOnWorker, GangPhase, GangSpec, HostEntry, HostKind, HostList, RenewCommand, WorkerCommand,
    WorkerOrder, WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{DurationMs, Epoch, GangId, HostName, WorkerName, ZoneName, log_event};
use ragwortwick_platform::{Backoff, WorkerClient, WorkerClientOptions};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::ZoneHandle;
use crate::PeerClient;

/// Longest time between two rounds; the leases of members last many rounds.
const ROUND_MS: DurationMs = DurationMs(5_000);

/// Tries to learn a worker's epoch in one round: it may rise once under our feet.
const EPOCH_TRIES: u32 = 3;

/// `Caretaker` watches for an outage that leaves its zone without an owner.
#[derive(Debug)]
pub(crate) struct Caretaker {
    /// This host.
    pub(crate) host: HostName,
    /// The zone duty's handle.
    pub(crate) zone: ZoneHandle,
    /// Time to live of an owner's lease; a shorter outage is none of ours.
    pub(crate) owner_lease_ms: DurationMs,
    /// Lease given to running members.
    pub(crate) task_lease_ms: DurationMs,
    /// Calls to other entry hosts.
    pub(crate) peers: PeerClient,
    /// The platform's list of hosts.
    pub(crate) hosts: watch::Receiver<Arc<HostList>>,
    /// Whether the store answered the last call.
    pub(crate) store_is_reachable: watch::Receiver<bool>,
    /// Jitter of the rounds.
    pub(crate) jitter: Backoff,
}

/// `Held` are the running members that one worker reported, and the epoch that it showed.
struct Held {
    worker: HostEntry,
    epoch: Epoch,
    gangs: Vec<GangOnWorker>,
}

impl Caretaker {
    /// `spawn` starts watching.
    pub(crate) fn spawn(self) -> JoinHandle<()> {
        tokio::spawn(self.run())
    }

    async fn run(mut self) {
        let client = WorkerClient::open(&WorkerClientOptions::default());
        let mut away_since = None;
        loop {
            tokio::time::sleep(self.jitter.spread(ROUND_MS).into()).await;
            if *self.store_is_reachable.borrow() {
                away_since = None;
                continue;
            }
            let since: Instant = *away_since.get_or_insert_with(Instant::now);
            let is_long = since.elapsed() >= Duration::from(self.owner_lease_ms);
            if is_long && self.is_needed() {
                self.round(&client).await;
            }
        }
    }

    /// The owner goes on by itself while it lives, and of its zone's other hosts one is enough.
    fn is_needed(&self) -> bool {
        if self.zone.owned_epoch().is_some() {
            return false;
        }
        let heard = self.peers.follow();
        let heard = heard.borrow();
        let mut of_zone = heard
            .values()
            .filter(|hello| &hello.zone == self.zone.zone());
        // A host that was replaced under the owner's name answers too, but owns nothing.
        if of_zone.any(|hello| hello.owned_epoch > Epoch(0)) {
            return false;
        }
        let mut hosts_of_zone = heard
            .values()
            .filter(|hello| &hello.zone == self.zone.zone());
        !hosts_of_zone.any(|hello| hello.host < self.host)
    }

    async fn round(&self, client: &WorkerClient) {
        let workers = workers_of(&self.hosts.borrow(), self.zone.zone());
        let mut questions = JoinSet::new();
        for worker in workers {
            questions.spawn(ask(client.clone(), worker));
        }
        let held: Vec<Held> = questions.join_all().await.into_iter().flatten().collect();
        let whole = whole_gangs(&held);
        log_event!(
            Warn,
            "caretaker_round",
            zone = self.zone.zone(),
            workers = held.len(),
            gangs = whole.len()
        );
        let mut renewals = JoinSet::new();
        for held in held {
            let gang_ids: Vec<GangId> = held
                .gangs
                .iter()
                .map(|gang| gang.spec.gang_id.clone())
                .filter(|gang_id| whole.contains(gang_id))
                .collect();
            if !gang_ids.is_empty() {
                let renew = RenewCommand {
                    gang_ids,
                    lease_ms: self.task_lease_ms,
                };
                renewals.spawn(renew_on(client.clone(), held, renew));
            }
        }
        renewals.join_all().await;
    }
}

fn workers_of(hosts: &HostList, zone: &ZoneName) -> Vec<HostEntry> {
    hosts
        .hosts
        .iter()
        .filter(|host| host.kind == HostKind::Worker && &host.zone == zone)
        .cloned()
        .collect()
}

/// Asks a worker what runs there under the epoch that it has seen last, without raising it.
async fn ask(client: WorkerClient, worker: HostEntry) -> Option<Held> {
    let mut epoch = Epoch(0);
    for _ in 0..EPOCH_TRIES {
        let reply = send(&client, &worker, epoch, WorkerCommand::Inventory).await?;
        if reply.outcome != WorkerOutcome::StaleEpoch {
            let gangs = reply.gangs.into_iter().filter(is_running).collect();
            return Some(Held {
                worker,
                epoch,
                gangs,
            });
        }
        epoch = reply.highest_epoch;
    }
    None
}

async fn renew_on(client: WorkerClient, held: Held, renew: RenewCommand) {
    // A worker that does not answer keeps its lease's rest; the next round asks again.
    drop(
        send(
            &client,
            &held.worker,
            held.epoch,
            WorkerCommand::Renew(renew),
        )
        .await,
    );
}

async fn send(
    client: &WorkerClient,
    worker: &HostEntry,
    epoch: Epoch,
    command: WorkerCommand,
) -> Option<WorkerReply> {
    let name = WorkerName::new(&worker.name);
    let order = WorkerOrder { epoch, command };
    client.order(&worker.address, &name, &order).await.ok()
}

fn is_running(gang: &GangOnWorker) -> bool {
    matches!(gang.phase, GangPhase::Running | GangPhase::Checkpointing)
}

/// The gangs of which every member was seen running. One that has lost a member is left to lapse:
/// renewing the others would keep a part of it running.
fn whole_gangs(held: &[Held]) -> BTreeSet<GangId> {
    let mut seen: BTreeMap<&GangId, (&GangSpec, usize)> = BTreeMap::new();
    for gang in held.iter().flat_map(|held| &held.gangs) {
        let entry = seen.entry(&gang.spec.gang_id).or_insert((&gang.spec, 0));
        entry.1 += 1;
    }
    seen.into_iter()
        .filter(|(_, (spec, members))| spec.members.len() == *members)
        .map(|(gang_id, _)| gang_id.clone())
        .collect()
}
