//! Ownership of a zone: the claim's state machine and the permission to act.

use ragwortwick_core::{DurationMs, Epoch, TimeMs};
use ragwortwick_daemon::{Ownership, OwnershipAction, OwnershipEvent, OwnershipState, Tenure};

const TTL_MS: DurationMs = DurationMs(6_000);

fn owning(at: TimeMs) -> Ownership {
    let mut machine = Ownership::open(TTL_MS).expect("the chart is valid");
    assert_eq!(machine.state(), OwnershipState::Standby);
    machine.on_event(at, at, OwnershipEvent::OwnerAbsent);
    let actions = machine.on_event(at, at, OwnershipEvent::Claimed);
    assert_eq!(actions, [OwnershipAction::Gain]);
    machine
}

#[test]
fn verify_permission_ends_before_the_lease_does() {
    let machine = owning(TimeMs(1_000));
    assert!(machine.act_until() < TimeMs(1_000) + TTL_MS);
    assert!(machine.act_until() > TimeMs(1_000) + DurationMs(TTL_MS.0 / 2));
}

// A renewal whose answer was slow must not count from its arrival: the store counted from an
// earlier moment, and may have given the zone to another host meanwhile.
#[test]
fn verify_slow_renewal_counts_from_when_it_was_asked() {
    let mut machine = owning(TimeMs(0));
    machine.on_event(TimeMs(4_000), TimeMs(2_500), OwnershipEvent::Renewed);
    assert!(machine.act_until() <= TimeMs(2_500) + TTL_MS);
}

// A host frozen past its lease wakes in the state that it slept in. Its permission has run out by
// the clock alone, whichever thread looks first, and comes back only after the store was asked.
#[test]
fn verify_frozen_owner_may_not_act_when_it_wakes() {
    let machine = owning(TimeMs(0));
    let tenure = Tenure::default();
    tenure.set(Epoch(3), machine.act_until());
    assert!(tenure.may_act(TimeMs(1_000), Epoch(3)));
    let woken_at = TimeMs(20_000);
    assert_eq!(machine.state(), OwnershipState::Owning);
    assert!(!tenure.may_act(woken_at, Epoch(3)));
    assert_eq!(tenure.owned_epoch(woken_at), None);
}

#[test]
fn verify_permission_is_for_one_epoch() {
    let tenure = Tenure::default();
    assert!(!tenure.may_act(TimeMs(0), Epoch(0)));
    tenure.set(Epoch(3), TimeMs(100));
    assert!(!tenure.may_act(TimeMs(0), Epoch(2)));
    tenure.set(Epoch(4), TimeMs(100));
    assert!(!tenure.may_act(TimeMs(0), Epoch(3)));
    tenure.clear();
    assert!(!tenure.may_act(TimeMs(0), Epoch(4)));
}

// While the store is away the owner goes on; a store that answers "lapsed" ends it at once.
#[test]
fn verify_owner_holds_while_the_store_is_away_and_yields_to_its_answer() {
    let mut machine = owning(TimeMs(0));
    let away = OwnershipEvent::StoreAway;
    assert!(
        machine
            .on_event(TimeMs(2_000), TimeMs(2_000), away)
            .is_empty()
    );
    assert_eq!(machine.state(), OwnershipState::Owning);
    let actions = machine.on_event(TimeMs(7_000), TimeMs(6_500), away);
    assert_eq!(actions, [OwnershipAction::Hold]);
    assert_eq!(machine.state(), OwnershipState::Holding);
    assert!(machine.act_until() > TimeMs(7_000));
    let lost = OwnershipEvent::LeaseLost;
    let actions = machine.on_event(TimeMs(9_000), TimeMs(9_000), lost);
    assert_eq!(actions, [OwnershipAction::Lose, OwnershipAction::Revoke]);
    assert_eq!(machine.state(), OwnershipState::Standby);
    assert_eq!(machine.act_until(), TimeMs(0));
}

#[test]
fn verify_fenced_owner_stops_and_gives_its_lease_back() {
    let mut machine = owning(TimeMs(0));
    let actions = machine.on_event(TimeMs(1), TimeMs(1), OwnershipEvent::Fenced);
    assert_eq!(actions, [OwnershipAction::Lose, OwnershipAction::Revoke]);
    assert_eq!(machine.state(), OwnershipState::Standby);
}

#[test]
fn verify_planned_stop_is_final() {
    let mut machine = owning(TimeMs(0));
    machine.on_event(TimeMs(1), TimeMs(1), OwnershipEvent::Stop);
    assert_eq!(machine.state(), OwnershipState::Stopped);
    for event in [OwnershipEvent::OwnerAbsent, OwnershipEvent::Renewed] {
        assert!(machine.on_event(TimeMs(2), TimeMs(2), event).is_empty());
    }
}
