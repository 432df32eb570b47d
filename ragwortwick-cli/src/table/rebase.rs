//! `ragwortwick table rebase`: carry a file's edits over to the table in force.

use std::path::Path;

use ragwortwick_border::AcceptedTable;
use serde_json::json;

use super::{empty_table, file, history, in_force, review};
use crate::entry::EntryHosts;
use crate::sheet::{Draft, from_table, rebase};
use crate::shown::Shown;
use crate::{CliError, ExitClass};

/// Most tables searched for the one that the file was exported from.
const SEARCHED: u32 = 200;

pub(super) async fn run(hosts: &EntryHosts, path: &Path) -> Result<Shown, CliError> {
    let draft = file::draft(path)?;
    let current = in_force(hosts).await?;
    let base = base(hosts, draft.based_on_number).await?;
    let mine = with_rows_of(draft, &base);
    let merged = rebase(
        &from_table(&base),
        &from_table(&mine),
        &from_table(&current),
    )
    .map_err(|conflicts| both_changed(&conflicts, &current))?;
    file::replace(path, &merged)?;
    let path = path.display().to_string();
    let text = format!(
        "{path} holds your edits on top of table {} now; next: ragwortwick table review {path}\n",
        current.number
    );
    Shown::new(
        text,
        &json!({"file": path, "based_on_number": current.number}),
    )
}

async fn base(hosts: &EntryHosts, number: u64) -> Result<AcceptedTable, CliError> {
    if number == 0 {
        return Ok(empty_table());
    }
    let tables = history::fetch(hosts, SEARCHED).await?;
    let found = tables.into_iter().find(|table| table.number == number);
    found.ok_or_else(|| {
        CliError::new(
            ExitClass::NotFound,
            format!(
                "table {number}, which the file was exported from, is not among the last {SEARCHED}"
            ),
            "export again to a new file and repeat your own changes there",
        )
    })
}

/// The file's rows written as an export would write them, so that `60000.0` is no edit of `60000`.
fn with_rows_of(draft: Draft, base: &AcceptedTable) -> AcceptedTable {
    AcceptedTable {
        table: draft.table,
        ..base.clone()
    }
}

fn both_changed(conflicts: &[String], current: &AcceptedTable) -> CliError {
    let problem = format!(
        "you and someone else changed the same cells; table {} by {} ({}) is in force:{}",
        current.number,
        current.accepted_by,
        current.reason,
        review::indented(conflicts)
    );
    let way_out = "agree with them; export to a new file and repeat there what is still wanted";
    CliError::new(ExitClass::Conflict, problem, way_out).with_details(json!(conflicts))
}
