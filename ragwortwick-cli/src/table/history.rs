//! `ragwortwick table history`: who accepted what, when and why.

use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use ragwortwick_border::AcceptedTable;
use ragwortwick_core::TimeMs;
use ragwortwick_policy::table_changes;

use super::review::indented;
use crate::CliError;
use crate::entry::EntryHosts;
use crate::shown::Shown;

pub(super) async fn run(hosts: &EntryHosts, limit: u32) -> Result<Shown, CliError> {
    // One more than shown, so that the oldest one shown can be compared with what it replaced.
    let mut tables = fetch(hosts, limit.saturating_add(1)).await?;
    let text = show(&tables, limit as usize);
    tables.truncate(limit as usize);
    Shown::new(text, &tables)
}

/// `fetch` gets the newest accepted tables.
pub(super) async fn fetch(hosts: &EntryHosts, limit: u32) -> Result<Vec<AcceptedTable>, CliError> {
    hosts.get(&format!("/v1/table/history?limit={limit}")).await
}

fn show(tables: &[AcceptedTable], limit: usize) -> String {
    if tables.is_empty() {
        return "no table was accepted yet\n".to_owned();
    }
    let mut out = String::new();
    for (index, accepted) in tables.iter().take(limit).enumerate() {
        let replaced = tables.get(index + 1);
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "table {}, {}, by {}: {}{}\n",
            accepted.number,
            when(accepted.accepted_at_ms),
            accepted.accepted_by,
            accepted.reason,
            changes(accepted, replaced)
        );
    }
    out
}

fn changes(accepted: &AcceptedTable, replaced: Option<&AcceptedTable>) -> String {
    match replaced {
        Some(replaced) => indented(&table_changes(&replaced.table, &accepted.table)),
        None if accepted.number == 1 => "\n  the first table".to_owned(),
        None => "\n  what it replaced is not listed here".to_owned(),
    }
}

/// `when` writes Unix time as a date and time of day in UTC.
pub(super) fn when(at: TimeMs) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at.0);
    humantime::format_rfc3339_seconds(at).to_string()
}
