//! The operator's file: created once, read whole, replaced whole.

use std::fs;
use std::io::Write;
use std::path::Path;

use crate::sheet::{Draft, Mistake, RawSheet, to_draft};
use crate::shown::to_json;
use crate::{CliError, ExitClass};

/// `create` writes a new file and never an existing one, which may hold somebody's edits.
pub(super) fn create(path: &Path, rows: &RawSheet) -> Result<(), CliError> {
    let text = text(path, rows)?;
    let mut file = fs::File::create_new(path).map_err(|error| {
        CliError::new(
            ExitClass::Failed,
            format!("{} can't be created: {error}", path.display()),
            "name a file that does not exist yet, in a directory that you may write to",
        )
    })?;
    file.write_all(text.as_bytes())
        .map_err(|error| unwritable(path, &error))
}

/// `replace` writes the rows over the file.
///
/// The text goes to a second file first: a full disk in the middle must not eat the edits.
pub(super) fn replace(path: &Path, rows: &RawSheet) -> Result<(), CliError> {
    let mut second = path.as_os_str().to_owned();
    second.push(".new");
    let text = text(path, rows)?;
    fs::write(&second, text)
        .and_then(|()| fs::rename(&second, path))
        .map_err(|error| unwritable(path, &error))
}

/// `read` gives the file's rows.
pub(super) fn read(path: &Path) -> Result<RawSheet, CliError> {
    let bytes = fs::read(path).map_err(|error| {
        CliError::new(
            ExitClass::Failed,
            format!("{} can't be read: {error}", path.display()),
            "ragwortwick table export FILE writes a file to start from",
        )
    })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        CliError::new(
            ExitClass::Mistakes,
            format!("{} is not text in UTF-8: {error}", path.display()),
            "save it in the spreadsheet as CSV in UTF-8, not as a workbook",
        )
    })?;
    RawSheet::parse(&text).map_err(|mistakes| mistaken(path, &mistakes))
}

/// `draft` reads the file as a table.
pub(super) fn draft(path: &Path) -> Result<Draft, CliError> {
    to_draft(&read(path)?).map_err(|mistakes| mistaken(path, &mistakes))
}

/// `mistaken` lists the mistakes of a file.
pub(super) fn mistaken(path: &Path, mistakes: &[Mistake]) -> CliError {
    let lines: Vec<String> = mistakes.iter().map(|m| format!("\n  {m}")).collect();
    let count = if mistakes.len() == 1 {
        "1 mistake".to_owned()
    } else {
        format!("{} mistakes", mistakes.len())
    };
    let problem = format!("{} has {count}:{}", path.display(), lines.concat());
    let details = to_json(&mistakes).unwrap_or_default();
    CliError::new(
        ExitClass::Mistakes,
        problem,
        "correct the cells named above (row 1 is the header) and review the file again",
    )
    .with_details(details)
}

fn text(path: &Path, rows: &RawSheet) -> Result<String, CliError> {
    rows.write().map_err(|error| unwritable(path, &error))
}

fn unwritable(path: &Path, error: &dyn std::error::Error) -> CliError {
    CliError::new(
        ExitClass::Failed,
        format!("{} can't be written: {error}", path.display()),
        "check the directory's rights and space, or name another file",
    )
}
