//! Carries an operator's edits over to the table that someone else accepted meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use super::Part;
use super::column::Column;
use super::raw::{RawRow, RawSheet};

type Cells = BTreeMap<Column, String>;

/// `RowKey` identifies a row across versions of the table.
type RowKey = (Part, String);

/// `rebase` puts the edits that lead from `base` to `mine` on top of `theirs`.
///
/// # Errors
///
/// Names every row that both sides changed in different ways; nothing is guessed.
pub(crate) fn rebase(
    base: &RawSheet,
    mine: &RawSheet,
    theirs: &RawSheet,
) -> Result<RawSheet, Vec<String>> {
    let (base, mine, theirs) = (by_key(base), by_key(mine), by_key(theirs));
    let keys: BTreeSet<&RowKey> = base
        .keys()
        .chain(mine.keys())
        .chain(theirs.keys())
        .collect();
    let mut rows = Vec::new();
    let mut conflicts = Vec::new();
    for key in keys {
        let sides = Sides {
            base: base.get(key),
            mine: mine.get(key),
            theirs: theirs.get(key),
        };
        match sides.merge(key.0) {
            Ok(Some(cells)) => rows.push(RawRow {
                line: 0,
                part: key.0,
                cells,
            }),
            Ok(None) => {}
            Err(problem) => conflicts.push(format!("{}/{}: {problem}", key.0.name(), key.1)),
        }
    }
    if conflicts.is_empty() {
        Ok(RawSheet { rows })
    } else {
        Err(conflicts)
    }
}

fn by_key(sheet: &RawSheet) -> BTreeMap<RowKey, Cells> {
    let rows = sheet.rows.iter();
    rows.map(|row| ((row.part, row.key()), row.cells.clone()))
        .collect()
}

/// `Sides` holds one row in the three versions, where it stands in them.
struct Sides<'a> {
    base: Option<&'a Cells>,
    mine: Option<&'a Cells>,
    theirs: Option<&'a Cells>,
}

impl Sides<'_> {
    fn merge(&self, part: Part) -> Result<Option<Cells>, String> {
        // The number of the exported table always becomes that of the one in force.
        if part == Part::Table || self.mine == self.base || self.mine == self.theirs {
            return Ok(self.theirs.cloned());
        }
        if self.theirs == self.base {
            return Ok(self.mine.cloned());
        }
        match (self.base, self.mine, self.theirs) {
            (Some(base), Some(mine), Some(theirs)) => merge_cells(base, mine, theirs).map(Some),
            (_, Some(_), None) => Err("you changed it, they removed it".to_owned()),
            (_, None, Some(_)) => Err("you removed it, they changed it".to_owned()),
            _ => Err("both added it with different cells".to_owned()),
        }
    }
}

fn merge_cells(base: &Cells, mine: &Cells, theirs: &Cells) -> Result<Cells, String> {
    let mut merged = theirs.clone();
    let mut problems = Vec::new();
    for (column, value) in mine {
        let before = base.get(column);
        let other = theirs.get(column);
        if before == Some(value) || other == Some(value) {
            continue;
        }
        if other == before {
            merged.insert(*column, value.clone());
        } else {
            let other = other.map_or("nothing", String::as_str);
            problems.push(format!(
                "{}: you set {value}, they set {other}",
                column.name()
            ));
        }
    }
    if problems.is_empty() {
        Ok(merged)
    } else {
        Err(problems.join(", "))
    }
}
