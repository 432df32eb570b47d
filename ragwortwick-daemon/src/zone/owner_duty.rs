//! Takes, keeps and gives up the zone through the store's leases.

use ragwortwick_border::{ZoneEpoch, ZoneOwner};
use ragwortwick_core::{DurationMs, Epoch, HostName, Revision, TimeMs, ZoneName, log_event};
use ragwortwick_platform::{Backoff, StoreClient, StoreError, StoreWrite, WriteOutcome};
use tokio::sync::watch;

use super::ownership::renew_interval_ms;
use super::zone_event::{ZoneDutyEvent, deliver};
use super::{Claim, Ownership, OwnershipAction, OwnershipEvent, OwnershipState, Tenure};
use crate::nonce::NonceGenerator;
use crate::{Clock, EventLoopSender, Lifecycle, keys};

/// Longest time between two looks at the zone's key by a host that does not own it.
///
/// With a lease of 6 s it moves a zone within 8 s of a kill, which leaves 2 s for the inventory.
const POLL_MS: DurationMs = DurationMs(1_200);

/// `OwnerDuty` follows the zone's lease.
#[derive(Debug)]
pub(crate) struct OwnerDuty {
    /// This host.
    pub(crate) host: HostName,
    /// Its zone.
    pub(crate) zone: ZoneName,
    /// Time to live of the lease.
    pub(crate) ttl_ms: DurationMs,
    /// The store.
    pub(crate) store: StoreClient,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Nonces of this process.
    pub(crate) nonces: NonceGenerator,
    /// The permission to act.
    pub(crate) tenure: Tenure,
    /// The zone duty.
    pub(crate) ring: EventLoopSender<ZoneDutyEvent>,
    /// The epoch owned, for the feeds.
    pub(crate) owned: watch::Sender<Option<Epoch>>,
    /// The owner that the store names.
    pub(crate) owner: watch::Sender<Option<HostName>>,
    /// The highest epoch that a worker showed.
    pub(crate) fenced: watch::Receiver<Epoch>,
    /// State of the process.
    pub(crate) lifecycle: watch::Receiver<Lifecycle>,
    /// The claim of this host.
    pub(crate) machine: Ownership,
    /// Lease and epoch, while claimed.
    pub(crate) claim: Option<Claim>,
    /// Jitter of polls and renewals.
    pub(crate) jitter: Backoff,
}

/// `Wake` is what ended a wait.
enum Wake {
    /// It is time for the next look at the store.
    Due,
    /// A worker showed a higher epoch.
    Fenced,
    /// A planned stop began.
    Stop,
}

impl OwnerDuty {
    /// `run` follows the lease until a planned stop has given it up.
    pub(crate) async fn run(mut self) {
        while self.machine.state() != OwnershipState::Stopped {
            let interval_ms = match self.machine.state() {
                OwnershipState::Owning | OwnershipState::Holding => renew_interval_ms(self.ttl_ms),
                _ => POLL_MS,
            };
            match self.wait(interval_ms).await {
                Wake::Due => self.look().await,
                Wake::Fenced => self.on_fenced().await,
                Wake::Stop => {
                    self.on_event(self.clock.now(), OwnershipEvent::Stop).await;
                }
            }
        }
    }

    async fn wait(&mut self, interval_ms: DurationMs) -> Wake {
        let wait_ms = self.jitter.spread(interval_ms);
        tokio::select! {
            () = tokio::time::sleep(wait_ms.into()) => Wake::Due,
            Ok(()) = self.fenced.changed() => Wake::Fenced,
            Ok(_) = self.lifecycle.wait_for(|state| *state == Lifecycle::Stopping) => Wake::Stop,
        }
    }

    async fn look(&mut self) {
        let asked_at = self.clock.now();
        let event = match self.claim {
            Some(claim) => self.renew(claim).await,
            None => match self.read_owner().await {
                Ok(Some(_)) => OwnershipEvent::OwnerSeen,
                Ok(None) => OwnershipEvent::OwnerAbsent,
                Err(_) => return,
            },
        };
        self.on_event(asked_at, event).await;
    }

    async fn on_fenced(&mut self) {
        let shown = *self.fenced.borrow_and_update();
        if self.claim.is_some_and(|claim| claim.epoch < shown) {
            self.on_event(self.clock.now(), OwnershipEvent::Fenced)
                .await;
        }
    }

    async fn on_event(&mut self, asked_at: TimeMs, event: OwnershipEvent) {
        let mut next = Some((asked_at, event));
        while let Some((asked_at, event)) = next.take() {
            let state = self.machine.state();
            let actions = self.machine.on_event(self.clock.now(), asked_at, event);
            if self.machine.state() != state {
                self.log_state(event);
            }
            for action in actions {
                if let Some(followup) = self.act(action).await {
                    next = Some(followup);
                }
            }
        }
    }

    async fn act(&mut self, action: OwnershipAction) -> Option<(TimeMs, OwnershipEvent)> {
        match action {
            OwnershipAction::Claim => {
                let asked_at = self.clock.now();
                let event = match self.take_zone().await {
                    Ok(true) => OwnershipEvent::Claimed,
                    Ok(false) | Err(_) => OwnershipEvent::ClaimFailed,
                };
                return Some((asked_at, event));
            }
            OwnershipAction::Gain => self.gain().await,
            OwnershipAction::Extend => self.extend(),
            OwnershipAction::Hold => self.hold(),
            OwnershipAction::Lose => self.lose().await,
            OwnershipAction::Revoke => self.revoke().await,
        }
        None
    }

    async fn gain(&mut self) {
        self.extend();
        if let Some(claim) = self.claim {
            self.owner.send_replace(Some(self.host.clone()));
            // The duty is told first: what the feeds find for an owner would be dropped before.
            deliver(&self.ring, ZoneDutyEvent::Gained(claim.epoch)).await;
            self.owned.send_replace(Some(claim.epoch));
        }
    }

    fn extend(&self) {
        if let Some(claim) = self.claim {
            self.tenure.set(claim.epoch, self.machine.act_until());
        }
    }

    fn hold(&self) {
        if let Some(claim) = self.claim {
            self.tenure.hold(claim.epoch, self.machine.act_until());
        }
    }

    async fn lose(&mut self) {
        self.tenure.clear();
        self.owned.send_replace(None);
        deliver(&self.ring, ZoneDutyEvent::Lost).await;
    }

    async fn revoke(&mut self) {
        if let Some(claim) = self.claim.take() {
            // If the answer is lost, the lease lapses by itself.
            drop(self.store.revoke_lease(claim.lease_id).await);
        }
    }

    async fn renew(&self, claim: Claim) -> OwnershipEvent {
        match self.store.renew_lease(claim.lease_id).await {
            Ok(reply) if reply.is_alive => OwnershipEvent::Renewed,
            Ok(_) => OwnershipEvent::LeaseLost,
            Err(_) => OwnershipEvent::StoreAway,
        }
    }

    async fn read_owner(&self) -> Result<Option<HostName>, StoreError> {
        let entry = self.store.get(&keys::zone_owner(&self.zone)).await?;
        let owner = entry
            .and_then(|entry| serde_json::from_str::<ZoneOwner>(&entry.value).ok())
            .map(|owner| owner.host);
        self.owner.send_if_modified(|known| {
            let has_changed = *known != owner;
            known.clone_from(&owner);
            has_changed
        });
        Ok(owner)
    }

    /// Takes a lease, then an epoch above every other, then the zone's key under the lease.
    async fn take_zone(&mut self) -> Result<bool, StoreError> {
        let lease = self.store.grant_lease(self.ttl_ms).await?;
        let lease_id = lease.lease_id;
        // Known before the key is written, so that a failed claim is given back.
        self.claim = Some(Claim {
            lease_id,
            epoch: Epoch(0),
        });
        let Some(epoch) = self.take_epoch().await? else {
            return Ok(false);
        };
        self.claim = Some(Claim { lease_id, epoch });
        let owner = ZoneOwner {
            host: self.host.clone(),
            epoch,
            nonce: self.nonces.next(),
        };
        let write = StoreWrite {
            key: keys::zone_owner(&self.zone),
            expected_revision: Revision(0),
            value: serde_json::to_string(&owner).ok(),
            lease_id: Some(lease_id),
        };
        let outcome = self.store.write(&write).await?;
        Ok(matches!(outcome, WriteOutcome::Written(_)))
    }

    /// An epoch is never given twice: each is written by a conditional write before its use. A
    /// worker's highest epoch counts too, since a store that was restored may have forgotten some.
    async fn take_epoch(&self) -> Result<Option<Epoch>, StoreError> {
        let key = keys::zone_epoch(&self.zone);
        let entry = self.store.get(&key).await?;
        let expected_revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        let last = entry
            .and_then(|entry| serde_json::from_str::<ZoneEpoch>(&entry.value).ok())
            .map_or(Epoch(0), |given| given.epoch);
        let epoch = Epoch(last.max(*self.fenced.borrow()).0 + 1);
        let given = ZoneEpoch {
            epoch,
            nonce: self.nonces.next(),
        };
        let write = StoreWrite {
            key,
            expected_revision,
            value: serde_json::to_string(&given).ok(),
            lease_id: None,
        };
        let outcome = self.store.write(&write).await?;
        Ok(matches!(outcome, WriteOutcome::Written(_)).then_some(epoch))
    }

    fn log_state(&self, event: OwnershipEvent) {
        log_event!(
            Info,
            "zone_ownership",
            zone = self.zone,
            state = ragwortwick_core::ChartSymbol::name(self.machine.state()),
            cause = ragwortwick_core::ChartSymbol::name(event),
            epoch = self.claim.map_or(Epoch(0), |claim| claim.epoch)
        );
    }
}
