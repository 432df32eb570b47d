//! The accelerators that a table's guarantees can be packed into.

use std::collections::BTreeMap;

use ragwortwick_border::{HostKind, HostList, HostState};
use ragwortwick_core::{RackName, ZoneName};
use ragwortwick_policy::{RackCapacity, ZoneCapacity};

/// `listed_capacity` takes the live workers from the platform's list.
///
/// A worker that is leaving is no place for a promise.
pub(super) fn listed_capacity(hosts: &HostList) -> ZoneCapacity {
    let mut zones: BTreeMap<ZoneName, BTreeMap<Option<&RackName>, RackCapacity>> = BTreeMap::new();
    let workers = hosts
        .hosts
        .iter()
        .filter(|host| host.kind == HostKind::Worker && host.state == HostState::Live);
    for worker in workers {
        let racks = zones.entry(worker.zone.clone()).or_default();
        let rack = racks.entry(worker.rack.as_ref()).or_default();
        rack.worker_accelerators.push(worker.accelerators);
    }
    ZoneCapacity {
        zones: zones
            .into_iter()
            .map(|(zone, racks)| (zone, racks.into_values().collect()))
            .collect(),
    }
}
