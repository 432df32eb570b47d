//! The claim of this host on its zone, as a state machine over `charts/ownership.json`.

use ragwortwick_core::{ChartSymbol, DurationMs, Epoch, Error, StateChart, TimeMs, common};

const CHART: &str = include_str!("../../charts/ownership.json");

/// `OwnershipState` is the state of the claim.
#[common(key)]
pub enum OwnershipState {
    /// Another host owns the zone, or nobody is known to.
    Standby,
    /// This host tries to become the owner.
    Claiming,
    /// This host holds the zone's lease.
    Owning,
    /// The store is away; this host goes on under its epoch.
    Holding,
    /// This host gave the zone up for good.
    Stopped,
}

/// `OwnershipEvent` is something that happened to the claim.
#[common(key)]
pub enum OwnershipEvent {
    /// The store names another owner.
    OwnerSeen,
    /// The store names no owner.
    OwnerAbsent,
    /// The zone's key is written under this host's lease.
    Claimed,
    /// Another host was faster, or the store is away.
    ClaimFailed,
    /// The lease was renewed.
    Renewed,
    /// The store said that the lease has lapsed.
    LeaseLost,
    /// The store did not answer a renewal.
    StoreAway,
    /// A worker showed a higher epoch.
    Fenced,
    /// A planned stop began.
    Stop,
}

/// `OwnershipGuard` is a condition on a transition.
#[common(key)]
pub enum OwnershipGuard {
    /// The time that the lease is sure to last has passed.
    LeaseHasLapsed,
}

/// `OwnershipAction` is what the host does on a transition.
#[common(key)]
pub enum OwnershipAction {
    /// Take a lease, an epoch and the zone's key.
    Claim,
    /// Begin to place under the new epoch.
    Gain,
    /// Go on until the renewed lease ends.
    Extend,
    /// Go on for a while without the store.
    Hold,
    /// Stop placing and drop what was known.
    Lose,
    /// Give the lease back, so that nobody waits for its end.
    Revoke,
}

impl ChartSymbol for OwnershipState {
    const ALL: &'static [(&'static str, Self)] = &[
        ("standby", Self::Standby),
        ("claiming", Self::Claiming),
        ("owning", Self::Owning),
        ("holding", Self::Holding),
        ("stopped", Self::Stopped),
    ];
}

impl ChartSymbol for OwnershipEvent {
    const ALL: &'static [(&'static str, Self)] = &[
        ("owner_seen", Self::OwnerSeen),
        ("owner_absent", Self::OwnerAbsent),
        ("claimed", Self::Claimed),
        ("claim_failed", Self::ClaimFailed),
        ("renewed", Self::Renewed),
        ("lease_lost", Self::LeaseLost),
        ("store_away", Self::StoreAway),
        ("fenced", Self::Fenced),
        ("stop", Self::Stop),
    ];
}

impl ChartSymbol for OwnershipGuard {
    const ALL: &'static [(&'static str, Self)] = &[("lease_has_lapsed", Self::LeaseHasLapsed)];
}

impl ChartSymbol for OwnershipAction {
    const ALL: &'static [(&'static str, Self)] = &[
        ("claim", Self::Claim),
        ("gain", Self::Gain),
        ("extend", Self::Extend),
        ("hold", Self::Hold),
        ("lose", Self::Lose),
        ("revoke", Self::Revoke),
    ];
}

/// `Claim` is a lease on the zone with the epoch taken under it.
#[common]
#[derive(Copy)]
pub struct Claim {
    /// The store's lease.
    pub lease_id: u64,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// `Ownership` follows the claim and knows until when this host may act.
#[derive(Debug)]
pub struct Ownership {
    chart: StateChart<OwnershipState, OwnershipEvent, OwnershipGuard, OwnershipAction>,
    state: OwnershipState,
    ttl_ms: DurationMs,
    act_until: TimeMs,
}

impl Ownership {
    /// `open` reads the chart and starts in standby.
    ///
    /// # Errors
    ///
    /// Fails if the chart is malformed.
    pub fn open(ttl_ms: DurationMs) -> Result<Self, Error> {
        let chart = StateChart::parse(CHART)?;
        Ok(Self {
            state: chart.initial(),
            chart,
            ttl_ms,
            act_until: TimeMs(0),
        })
    }

    /// `state` gives the present state.
    #[must_use]
    pub fn state(&self) -> OwnershipState {
        self.state
    }

    /// `act_until` tells until when this host may send orders.
    #[must_use]
    pub fn act_until(&self) -> TimeMs {
        self.act_until
    }

    /// `on_event` takes in one event; `asked_at` is when the store was asked, if it was.
    ///
    /// The lease is counted from the moment before the question left: the store counts from a
    /// later one, so that a slow answer can only make this host stop too early.
    pub fn on_event(
        &mut self,
        now: TimeMs,
        asked_at: TimeMs,
        event: OwnershipEvent,
    ) -> Vec<OwnershipAction> {
        let has_lapsed = now >= self.act_until;
        let step = self
            .chart
            .transition(self.state, event, |guard| match guard {
                OwnershipGuard::LeaseHasLapsed => has_lapsed,
            });
        let Some(step) = step else {
            return Vec::new();
        };
        self.state = step.next;
        let actions = step.actions.to_vec();
        for action in &actions {
            self.set_act_until(now, asked_at, *action);
        }
        actions
    }

    fn set_act_until(&mut self, now: TimeMs, asked_at: TimeMs, action: OwnershipAction) {
        match action {
            OwnershipAction::Gain | OwnershipAction::Extend => {
                self.act_until = asked_at + safe_ms(self.ttl_ms);
            }
            // A process that was frozen wakes with its permission run out, and gets a new one only
            // after it asked the store and got no answer. It lasts past the next question.
            OwnershipAction::Hold => self.act_until = now + safe_ms(self.ttl_ms),
            OwnershipAction::Lose => self.act_until = TimeMs(0),
            OwnershipAction::Claim | OwnershipAction::Revoke => {}
        }
    }
}

/// Part of the lease that is left unused: an order that leaves at the last moment arrives in it,
/// and clocks of two machines run apart by less.
fn safe_ms(ttl_ms: DurationMs) -> DurationMs {
    DurationMs(ttl_ms.0 - ttl_ms.0 / 6)
}

/// `renew_interval_ms` gives the longest time between renewals: two may fail before the lease ends.
#[must_use]
pub fn renew_interval_ms(ttl_ms: DurationMs) -> DurationMs {
    DurationMs(ttl_ms.0 / 3)
}
