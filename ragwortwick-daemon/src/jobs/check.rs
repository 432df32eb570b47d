//! Checks of a submitted job against the table and the listed workers.

use std::collections::BTreeSet;

use ragwortwick_border::{HostList, JobSubmit, Shape, Table};
use ragwortwick_core::{CustomerName, JobId, ZoneName};

use super::JobError;
use crate::zone::fits_listed;

/// Longest job id; it is part of a store key.
const MAX_ID_CHARS: usize = 128;

/// Largest payload: a record must stay below the megabyte that the store takes, also when escaped.
const MAX_PAYLOAD_BYTES: usize = 256 << 10;

/// Most tasks in one cell; a task holds at least one accelerator.
const MAX_TASKS_PER_CELL: u32 = 64;

/// Most cells of one gang; the largest gang has 1024 tasks.
const MAX_CELLS: u32 = 1_024;

/// Largest cell, which is a whole rack.
const MAX_CELL_ACCELERATORS: u32 = 64;

/// `check_id` refuses an id that can't be part of a key.
pub(super) fn check_id(job_id: &JobId) -> Result<(), JobError> {
    let text = job_id.as_str();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.is_empty() || text.len() > MAX_ID_CHARS || !text.chars().all(is_plain) {
        let expected = "expected 1 to 128 letters, digits, dots, dashes or underscores";
        return Err(JobError::invalid("job_id", expected));
    }
    Ok(())
}

/// `check_job` refuses a job that the table or its own shape rules out.
pub(super) fn check_job(job: &JobSubmit, table: &Table) -> Result<(), JobError> {
    let is_customer = table
        .customers
        .iter()
        .any(|row| row.customer == job.customer);
    if !is_customer {
        let text = format!("expected a customer of the table, not {}", job.customer);
        return Err(JobError::invalid("customer", text));
    }
    let is_class = table
        .classes
        .iter()
        .any(|row| row.customer == job.customer && row.class == job.class);
    if !is_class {
        let text = format!("expected a class of {}, not {}", job.customer, job.class);
        return Err(JobError::invalid("class", text));
    }
    check_shape(&job.shape)?;
    if job.tasks_per_cell == 0 || job.tasks_per_cell > MAX_TASKS_PER_CELL {
        let text = format!("expected 1 to {MAX_TASKS_PER_CELL}");
        return Err(JobError::invalid("tasks_per_cell", text));
    }
    if job.deadline_ms.is_some_and(|deadline| deadline.0 == 0) {
        let text = "expected a time in the future, in milliseconds from now";
        return Err(JobError::invalid("deadline_ms", text));
    }
    if job.payload.len() > MAX_PAYLOAD_BYTES {
        let text = format!("expected at most {MAX_PAYLOAD_BYTES} bytes");
        return Err(JobError::invalid("payload", text));
    }
    Ok(())
}

fn check_shape(shape: &Shape) -> Result<(), JobError> {
    if shape.cells == 0 || shape.cells > MAX_CELLS {
        let text = format!("expected 1 to {MAX_CELLS}");
        return Err(JobError::invalid("shape.cells", text));
    }
    let accelerators = shape.cell_accelerators;
    if !accelerators.is_power_of_two() || accelerators > MAX_CELL_ACCELERATORS {
        let text = format!("expected a power of two up to {MAX_CELL_ACCELERATORS}");
        return Err(JobError::invalid("shape.cell_accelerators", text));
    }
    Ok(())
}

/// `choose_zone` gives the job's zone: the one it names, or the one that serves it best.
///
/// A zone where the customer holds a guarantee goes first, since only there the job can call for
/// accelerators that others borrowed; among equals this host's own zone, whose owner is nearest.
pub(super) fn choose_zone(
    job: &JobSubmit,
    table: &Table,
    hosts: &HostList,
    own_zone: &ZoneName,
) -> Result<ZoneName, JobError> {
    let zones = known_zones(table, hosts, own_zone);
    let fits = |zone: &ZoneName| fits_listed(hosts, zone, &job.shape);
    let no_fit = "fits on no zone's workers, even when all of them are empty";
    if let Some(zone) = &job.zone {
        if !zones.contains(zone) {
            let text = format!("expected a known availability zone, not {zone}");
            return Err(JobError::invalid("zone", text));
        }
        return if fits(zone) {
            Ok(zone.clone())
        } else {
            Err(JobError::invalid("shape", no_fit))
        };
    }
    zones
        .into_iter()
        .filter(fits)
        .max_by_key(|zone| {
            let has_guarantee = holds_guarantee(table, &job.customer, zone);
            (has_guarantee, zone == own_zone)
        })
        .ok_or_else(|| JobError::invalid("shape", no_fit))
}

fn holds_guarantee(table: &Table, customer: &CustomerName, zone: &ZoneName) -> bool {
    table
        .guarantees
        .iter()
        .any(|row| &row.customer == customer && &row.zone == zone)
}

fn known_zones(table: &Table, hosts: &HostList, own_zone: &ZoneName) -> BTreeSet<ZoneName> {
    let listed = hosts.hosts.iter().map(|host| host.zone.clone());
    let promised = table.guarantees.iter().map(|row| row.zone.clone());
    let own = std::iter::once(own_zone.clone());
    listed.chain(promised).chain(own).collect()
}
