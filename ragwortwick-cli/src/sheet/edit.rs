//! Changes to single cells and rows of the file, for scripts and for places without a spreadsheet.

use std::collections::BTreeMap;

use super::Part;
use super::column::Column;
use super::raw::{RawRow, RawSheet};

/// `Edit` is one change, named by paths such as `classes/padana/pass-plan/weight`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Edit {
    /// Add a row; its other cells are set by `Set`.
    Add {
        /// `PART/KEY`.
        row: String,
    },
    /// Give a cell a value.
    Set {
        /// `PART/KEY/COLUMN=VALUE`.
        cell: String,
    },
    /// Remove a row.
    Remove {
        /// `PART/KEY`.
        row: String,
    },
}

/// `apply` makes one change.
///
/// # Errors
///
/// Says in one sentence why the change has no place in the file.
pub(crate) fn apply(sheet: &mut RawSheet, edit: &Edit) -> Result<(), String> {
    match edit {
        Edit::Add { row } => add(sheet, row),
        Edit::Set { cell } => set(sheet, cell),
        Edit::Remove { row } => remove(sheet, row),
    }
}

fn add(sheet: &mut RawSheet, path: &str) -> Result<(), String> {
    let (part, key) = part_and_key(path)?;
    if find(sheet, part, key).is_ok() {
        return Err(format!("{path} stands in the file already"));
    }
    let columns = Column::keys(part);
    let texts: Vec<&str> = key.split('/').collect();
    if columns.is_empty() || texts.len() != columns.len() {
        return Err(format!("{path} is no row: expected {}", pattern(part)));
    }
    let cells = columns.iter().copied().zip(texts);
    let cells: BTreeMap<Column, String> = cells.map(|(c, text)| (c, text.to_owned())).collect();
    let line = sheet.rows.iter().map(|row| row.line).max().unwrap_or(1) + 1;
    sheet.rows.push(RawRow { line, part, cells });
    Ok(())
}

fn set(sheet: &mut RawSheet, text: &str) -> Result<(), String> {
    let Some((path, value)) = text.split_once('=') else {
        return Err(format!(
            "{text} has no value: expected PART/KEY/COLUMN=VALUE"
        ));
    };
    let Some((row, name)) = path.rsplit_once('/') else {
        return Err(format!("{path} names no column: expected PART/KEY/COLUMN"));
    };
    let (part, key) = part_and_key(row)?;
    let column = Column::values(part)
        .iter()
        .copied()
        .find(|column| column.name() == name)
        .ok_or_else(|| {
            let known: Vec<&str> = Column::values(part).iter().map(|c| c.name()).collect();
            format!(
                "{name} is no column of {}: expected {}",
                part.name(),
                known.join(", ")
            )
        })?;
    let index = find(sheet, part, key)?;
    sheet.rows[index]
        .cells
        .insert(column, value.trim().to_owned());
    Ok(())
}

fn remove(sheet: &mut RawSheet, path: &str) -> Result<(), String> {
    let (part, key) = part_and_key(path)?;
    let index = find(sheet, part, key)?;
    sheet.rows.remove(index);
    Ok(())
}

fn part_and_key(path: &str) -> Result<(Part, &str), String> {
    let (name, key) = path.split_once('/').unwrap_or((path, ""));
    let part = Part::from_name(name)
        .ok_or_else(|| format!("{name} is no part: expected one of {}", Part::names()))?;
    Ok((part, key))
}

fn find(sheet: &RawSheet, part: Part, key: &str) -> Result<usize, String> {
    sheet
        .rows
        .iter()
        .position(|row| row.part == part && row.key() == key)
        .ok_or_else(|| {
            format!(
                "{}/{key} is not in the file: expected {}",
                part.name(),
                pattern(part)
            )
        })
}

fn pattern(part: Part) -> String {
    let keys = Column::keys(part).iter().map(|column| column.name());
    let words: Vec<&str> = std::iter::once(part.name()).chain(keys).collect();
    words.join("/")
}
