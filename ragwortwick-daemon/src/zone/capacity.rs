//! Whether a shape could ever fit the listed workers of a zone, were they all empty.

use std::collections::BTreeMap;

use ragwortwick_border::{HostKind, HostList, Shape};
use ragwortwick_core::{RackName, ZoneName};

/// `fits_listed` counts the cells that the listed workers of a zone hold when empty.
///
/// A zone without listed workers is unknown rather than empty: its jobs wait.
pub(crate) fn fits_listed(hosts: &HostList, zone: &ZoneName, shape: &Shape) -> bool {
    let cell = shape.cell_accelerators.max(1);
    let mut is_known = false;
    let mut cells = 0_u32;
    let mut free_by_rack: BTreeMap<&RackName, u32> = BTreeMap::new();
    for host in &hosts.hosts {
        if host.kind != HostKind::Worker || &host.zone != zone {
            continue;
        }
        is_known = true;
        cells = cells.saturating_add(host.accelerators / cell);
        if let Some(rack) = &host.rack {
            *free_by_rack.entry(rack).or_default() += host.accelerators;
        }
    }
    // A cell that no worker holds alone is made of whole workers of one rack.
    if cells == 0 {
        cells = free_by_rack.values().map(|free| free / cell).sum();
    }
    !is_known || cells >= shape.cells
}
