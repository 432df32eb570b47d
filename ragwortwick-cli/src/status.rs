//! `ragwortwick status`: what the fleet knows, as aligned tables.

use std::fmt::Write;

use ragwortwick_border::{FleetStatus, HostStatus, ZoneStatus};

use crate::grid::Grid;

/// `show` writes the fleet's status; with `all`, healthy workers and runners are listed too.
pub(crate) fn show(fleet: &FleetStatus, all: bool) -> String {
    let mut out = String::new();
    hosts(fleet).write(&mut out);
    for host in &fleet.unreachable {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "  {host} did not answer\n");
    }
    zones(fleet).write(&mut out);
    guarantees(fleet).write(&mut out);
    workers(fleet, all).write(&mut out);
    runners(fleet, all).write(&mut out);
    out
}

fn owned(fleet: &FleetStatus) -> impl Iterator<Item = (&HostStatus, &ZoneStatus)> {
    fleet
        .hosts
        .iter()
        .filter_map(|host| host.owned_zone.as_ref().map(|zone| (host, zone)))
}

fn hosts(fleet: &FleetStatus) -> Grid {
    let columns = [
        "host", "zone", "state", "table", "store", "running", "queued", "peers", "version",
    ];
    let mut grid = Grid::new("entry hosts", &columns);
    for host in &fleet.hosts {
        grid.row([
            host.host.to_string(),
            host.zone.to_string(),
            word(host.is_stopping, "stopping", "serving"),
            host.table_number.to_string(),
            word(host.store_is_reachable, "reachable", "away"),
            host.requests_in_flight.to_string(),
            host.requests_queued.to_string(),
            host.peers.len().to_string(),
            host.version.clone(),
        ]);
    }
    grid
}

fn zones(fleet: &FleetStatus) -> Grid {
    let columns = [
        "zone",
        "owner",
        "epoch",
        "running",
        "waiting",
        "free",
        "fragmentation",
        "workers",
    ];
    let mut grid = Grid::new("zones", &columns);
    for (host, zone) in owned(fleet) {
        let owner = zone.owner.as_ref().unwrap_or(&host.host);
        grid.row([
            zone.zone.to_string(),
            owner.to_string(),
            zone.epoch.to_string(),
            zone.jobs_running.to_string(),
            zone.jobs_waiting.to_string(),
            zone.free_accelerators.to_string(),
            format!("{:.2}", zone.fragmentation),
            zone.workers.len().to_string(),
        ]);
    }
    grid
}

fn guarantees(fleet: &FleetStatus) -> Grid {
    let columns = ["zone", "customer", "cells", "accelerators", "used", "short"];
    let mut grid = Grid::new("guarantees", &columns);
    for (_, zone) in owned(fleet) {
        for row in &zone.guarantees {
            grid.row([
                row.zone.to_string(),
                row.customer.to_string(),
                row.shape.cells.to_string(),
                row.shape.cell_accelerators.to_string(),
                row.cells_used.to_string(),
                row.cells_short.to_string(),
            ]);
        }
    }
    grid
}

fn workers(fleet: &FleetStatus, all: bool) -> Grid {
    let title = if all {
        "workers"
    } else {
        "workers that need a look"
    };
    let columns = ["zone", "worker", "rack", "state", "free", "of", "reason"];
    let mut grid = Grid::new(title, &columns);
    for (_, zone) in owned(fleet) {
        for worker in zone.workers.iter().filter(|w| all || w.state != "live") {
            grid.row([
                zone.zone.to_string(),
                worker.worker.to_string(),
                worker.rack.to_string(),
                worker.state.clone(),
                worker.free.to_string(),
                worker.accelerators.to_string(),
                worker.reason.clone(),
            ]);
        }
    }
    grid
}

fn runners(fleet: &FleetStatus, all: bool) -> Grid {
    let title = if all {
        "runners"
    } else {
        "runners that need a look"
    };
    let columns = ["seen by", "runner", "zone", "state", "busy", "slots"];
    let mut grid = Grid::new(title, &columns);
    for host in &fleet.hosts {
        for runner in host.runners.iter().filter(|r| all || r.state != "live") {
            grid.row([
                host.host.to_string(),
                runner.runner.to_string(),
                runner.zone.to_string(),
                runner.state.clone(),
                runner.busy.to_string(),
                runner.slots.to_string(),
            ]);
        }
    }
    grid
}

fn word(holds: bool, yes: &str, no: &str) -> String {
    if holds { yes } else { no }.to_owned()
}
