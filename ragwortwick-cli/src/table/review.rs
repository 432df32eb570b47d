//! `ragwortwick table review`: what accepting a table would change and do.

use std::fmt::Write;
use std::path::Path;

use http::Method;
use ragwortwick_border::{Table, TableReview};
use serde_json::json;

use super::file;
use crate::entry::{EntryHosts, decode, encode};
use crate::sheet::{Draft, Mistake};
use crate::shown::Shown;
use crate::{CliError, ExitClass};

pub(super) async fn run(hosts: &EntryHosts, path: &Path) -> Result<Shown, CliError> {
    let draft = file::draft(path)?;
    let review = fetch(hosts, &draft.table).await?;
    check(path, &draft, &review)?;
    let json = json!({
        "file": path.display().to_string(),
        "based_on_number": draft.based_on_number,
        "review": review,
    });
    Shown::new(show(&review), &json)
}

/// `fetch` asks an entry host for the review.
pub(super) async fn fetch(hosts: &EntryHosts, table: &Table) -> Result<TableReview, CliError> {
    let body = encode(table)?;
    let reply = hosts
        .exchange(Method::POST, "/v1/table/review", Some(body))
        .await?;
    decode(&reply)
}

/// `check` fails if the file has mistakes or was exported from another table than is in force.
pub(super) fn check(path: &Path, draft: &Draft, review: &TableReview) -> Result<(), CliError> {
    if !review.problems.is_empty() {
        let mistakes: Vec<Mistake> = review.problems.iter().map(|p| draft.mistake(p)).collect();
        return Err(file::mistaken(path, &mistakes));
    }
    if review.current_number == draft.based_on_number {
        return Ok(());
    }
    let problem = format!(
        "someone else accepted first: {} was exported from table {}, and table {} is in force now; \
         accepting it would undo their rows. Between table {} and this file:{}",
        path.display(),
        draft.based_on_number,
        review.current_number,
        review.current_number,
        indented(&review.changes)
    );
    Err(CliError::new(ExitClass::Conflict, problem, way_out()).with_details(json!(review)))
}

/// `way_out` tells what to do after a lost race.
pub(super) fn way_out() -> &'static str {
    "ragwortwick table rebase FILE carries your own edits over to it; review the file again then; \
     ragwortwick table history shows who accepted what"
}

/// `show` writes a review without mistakes.
pub(super) fn show(review: &TableReview) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write!(
        out,
        "changes against table {}:{}\n\neffects:{}\n",
        review.current_number,
        indented(&review.changes),
        indented(&review.effects)
    );
    out
}

/// `indented` lists lines below a heading.
pub(super) fn indented(lines: &[String]) -> String {
    if lines.is_empty() {
        return "\n  none".to_owned();
    }
    let lines: Vec<String> = lines.iter().map(|line| format!("\n  {line}")).collect();
    lines.concat()
}
