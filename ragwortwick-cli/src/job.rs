//! `ragwortwick job`: accepted jobs, why they wait, and cancelling them.

use std::fmt::Write;

use http::Method;
use ragwortwick_border::{JobList, JobStatus};
use ragwortwick_core::JobId;

use crate::arguments::JobCommand;
use crate::entry::{EntryHosts, decode};
use crate::grid::Grid;
use crate::shown::Shown;
use crate::{CliError, ExitClass};

/// `run` carries out one command about jobs.
pub(crate) async fn run(hosts: &EntryHosts, command: JobCommand) -> Result<Shown, CliError> {
    match command {
        JobCommand::List { after, limit } => list(hosts, after.as_ref(), limit).await,
        JobCommand::Show(job_id) => {
            let job = fetch(hosts, Method::GET, &job_id).await?;
            Shown::new(show(&job), &job)
        }
        JobCommand::Why(job_id) => {
            let job = fetch(hosts, Method::GET, &job_id).await?;
            Shown::new(format!("{job_id}: {}\n", job.why), &job)
        }
        JobCommand::Cancel(job_id) => {
            let job = fetch(hosts, Method::DELETE, &job_id).await?;
            let text = format!(
                "{job_id}: the wish to cancel is recorded; it is {} now\n",
                job.record.phase
            );
            Shown::new(text, &job)
        }
    }
}

async fn list(hosts: &EntryHosts, after: Option<&JobId>, limit: u32) -> Result<Shown, CliError> {
    let after = after.map_or_else(String::new, |id| format!("after={id}&"));
    let jobs: JobList = hosts.get(&format!("/v1/jobs?{after}limit={limit}")).await?;
    let columns = [
        "job",
        "customer",
        "class",
        "zone",
        "phase",
        "attempt",
        "cells",
        "accelerators",
        "why",
    ];
    let mut grid = Grid::new("jobs", &columns);
    for job in &jobs.jobs {
        let record = &job.record;
        grid.row([
            record.job_id.to_string(),
            record.spec.customer.to_string(),
            record.spec.class.to_string(),
            record.zone.to_string(),
            record.phase.to_string(),
            record.attempt.to_string(),
            record.spec.shape.cells.to_string(),
            record.spec.shape.cell_accelerators.to_string(),
            job.why.clone(),
        ]);
    }
    let mut text = String::new();
    grid.write(&mut text);
    if let Some(last) = jobs
        .jobs
        .last()
        .filter(|_| jobs.jobs.len() == limit as usize)
    {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "more: ragwortwick job list --after {}",
            last.record.job_id
        );
    }
    Shown::new(text, &jobs)
}

async fn fetch(hosts: &EntryHosts, method: Method, job_id: &JobId) -> Result<JobStatus, CliError> {
    let reply = hosts
        .exchange(method, &format!("/v1/jobs/{job_id}"), None)
        .await?;
    decode(&reply).map_err(|error| match error.class {
        ExitClass::NotFound => CliError::new(
            ExitClass::NotFound,
            format!("no job has the id {job_id}"),
            "ragwortwick job list shows the ids",
        ),
        _ => error,
    })
}

fn show(job: &JobStatus) -> String {
    let record = &job.record;
    let spec = &record.spec;
    let mut grid = Grid::new("job", &["field", "value"]);
    let mut field = |name: &str, value: String| grid.row([name.to_owned(), value]);
    field("job", record.job_id.to_string());
    field("customer", spec.customer.to_string());
    field("class", spec.class.to_string());
    field("zone", record.zone.to_string());
    field("phase", record.phase.to_string());
    field("why", job.why.clone());
    field("reason", record.reason.clone());
    field("attempt", record.attempt.to_string());
    field("accepted_at_ms", record.accepted_at_ms.to_string());
    field("cancel_requested", record.cancel_requested.to_string());
    field("cells", spec.shape.cells.to_string());
    field(
        "cell_accelerators",
        spec.shape.cell_accelerators.to_string(),
    );
    field("tasks_per_cell", spec.tasks_per_cell.to_string());
    field(
        "run_time_estimate_ms",
        spec.run_time_estimate_ms.to_string(),
    );
    field("repeatable", spec.repeatable.to_string());
    let mut text = String::new();
    grid.write(&mut text);
    text
}
