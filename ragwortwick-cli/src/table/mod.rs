//! Commands about the operators' table.

mod accept;
mod file;
mod history;
mod rebase;
mod review;
mod show;

use std::path::Path;

use ragwortwick_border::{AcceptedTable, PolicyWeights, Table};
use serde_json::json;

use crate::arguments::TableCommand;
use crate::entry::EntryHosts;
use crate::sheet::{self, Edit, from_table};
use crate::shown::Shown;
use crate::{CliError, ExitClass};

/// `run` carries out one command about the table.
pub(crate) async fn run(
    hosts: &EntryHosts,
    command: TableCommand,
    is_quiet: bool,
) -> Result<Shown, CliError> {
    match command {
        TableCommand::Show => {
            let accepted = in_force(hosts).await?;
            Shown::new(show::show(&accepted), &accepted)
        }
        TableCommand::Export { file } => export(hosts, &file).await,
        TableCommand::Edit { file, edits } => edit(hosts, &file, &edits).await,
        TableCommand::Review { file } => review::run(hosts, &file).await,
        TableCommand::Accept { file, signature } => {
            accept::file(hosts, &file, signature, is_quiet).await
        }
        TableCommand::Rebase { file } => rebase::run(hosts, &file).await,
        TableCommand::History { limit } => history::run(hosts, limit).await,
        TableCommand::RevertTo { number, signature } => {
            accept::revert(hosts, number, signature, is_quiet).await
        }
    }
}

/// `in_force` gets the table in force from the first host that answers.
async fn in_force(hosts: &EntryHosts) -> Result<AcceptedTable, CliError> {
    hosts.get("/v1/table").await
}

/// The table that a first edit starts from, before any was accepted.
fn empty_table() -> AcceptedTable {
    AcceptedTable {
        number: 0,
        nonce: String::new(),
        accepted_by: String::new(),
        accepted_at_ms: ragwortwick_core::TimeMs(0),
        reason: String::new(),
        table: Table {
            customers: Vec::new(),
            guarantees: Vec::new(),
            classes: Vec::new(),
            weights: PolicyWeights {
                completion: 1.0,
                fragmentation: 1.0,
            },
        },
    }
}

async fn export(hosts: &EntryHosts, path: &Path) -> Result<Shown, CliError> {
    let accepted = match in_force(hosts).await {
        Err(error) if error.class == ExitClass::NotFound => empty_table(),
        other => other?,
    };
    file::create(path, &from_table(&accepted))?;
    let path = path.display().to_string();
    let text = format!(
        "{path} holds table {}; open it in a spreadsheet, save it as CSV, then: \
         ragwortwick table review {path}\n",
        accepted.number
    );
    Shown::new(text, &json!({"file": path, "number": accepted.number}))
}

async fn edit(hosts: &EntryHosts, path: &Path, edits: &[Edit]) -> Result<Shown, CliError> {
    if !path.exists() {
        let exported = export(hosts, path).await?;
        if edits.is_empty() {
            return Ok(exported);
        }
    }
    let mut rows = file::read(path)?;
    for edit in edits {
        sheet::apply(&mut rows, edit).map_err(CliError::usage)?;
    }
    if !edits.is_empty() {
        file::replace(path, &rows)?;
    }
    let draft = file::draft(path)?;
    let path = path.display().to_string();
    let text = format!(
        "{path}: {} changes made, every row can be read; next: ragwortwick table review {path}\n",
        edits.len()
    );
    let json = json!({
        "file": path,
        "based_on_number": draft.based_on_number,
        "changes": edits.len(),
    });
    Shown::new(text, &json)
}
