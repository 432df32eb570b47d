//! Rows of the file as text: reading what spreadsheets write, and writing it back.

use std::collections::BTreeMap;

use csv::{ReaderBuilder, StringRecord, Trim, WriterBuilder};

use super::column::Column;
use super::{Mistake, Part};

/// Mark at the start of files that some spreadsheets write.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// `RawRow` is one row with its cells as text; empty cells are absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RawRow {
    /// Row of the file, the header being row 1.
    pub(crate) line: u64,
    /// The part that it belongs to.
    pub(crate) part: Part,
    /// Cells that are not empty.
    pub(crate) cells: BTreeMap<Column, String>,
}

impl RawRow {
    /// `key` joins the cells that identify the row, as `edit` names it.
    pub(crate) fn key(&self) -> String {
        let cell = |column| self.cells.get(column).map_or("", String::as_str);
        let keys: Vec<&str> = Column::keys(self.part).iter().map(cell).collect();
        keys.join("/")
    }
}

/// `RawSheet` is the whole file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RawSheet {
    /// Rows in the order of the file.
    pub(crate) rows: Vec<RawRow>,
}

impl RawSheet {
    /// `parse` reads the file's text; commas, semicolons and tabs separate equally well.
    ///
    /// # Errors
    ///
    /// Gives every mistake in the header, in the names of parts and in cells that a part lacks.
    pub(crate) fn parse(text: &str) -> Result<Self, Vec<Mistake>> {
        let text = text.trim_start_matches(BYTE_ORDER_MARK);
        let mut reader = ReaderBuilder::new()
            .delimiter(delimiter(text))
            .has_headers(false)
            .flexible(true)
            .trim(Trim::All)
            .from_reader(text.as_bytes());
        let mut records = reader.records();
        let header = match records.next() {
            Some(Ok(record)) => header(&record)?,
            Some(Err(error)) => return Err(vec![unreadable(&error)]),
            None => return Err(vec![Mistake::new(0, "", "the file is empty")]),
        };
        let mut mistakes = Vec::new();
        let mut rows = Vec::new();
        for record in records {
            match record {
                Ok(record) => rows.extend(row(&header, &record, &mut mistakes)),
                Err(error) => mistakes.push(unreadable(&error)),
            }
        }
        if mistakes.is_empty() {
            Ok(Self { rows })
        } else {
            Err(mistakes)
        }
    }

    /// `write` gives the file's text with commas, the parts in their order.
    pub(crate) fn write(&self) -> Result<String, csv::Error> {
        let mut writer = WriterBuilder::new().from_writer(Vec::new());
        writer.write_record(Column::ALL.map(Column::name))?;
        for part in Part::ALL {
            for row in self.rows.iter().filter(|row| row.part == part) {
                writer.write_record(Column::ALL.map(|column| match column {
                    Column::Part => part.name(),
                    other => row.cells.get(&other).map_or("", String::as_str),
                }))?;
            }
        }
        let bytes = writer
            .into_inner()
            .map_err(csv::IntoInnerError::into_error)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

/// The separator that stands most often in the header.
fn delimiter(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or_default();
    let count = |separator: &u8| header.bytes().filter(|byte| byte == separator).count();
    // The last of equals wins, so the comma stands last.
    [b'\t', b';', b',']
        .into_iter()
        .max_by_key(count)
        .unwrap_or(b',')
}

fn unreadable(error: &csv::Error) -> Mistake {
    let line = error.position().map_or(0, csv::Position::line);
    Mistake::new(line, "", format!("the row can't be read: {error}"))
}

fn header(record: &StringRecord) -> Result<Vec<Column>, Vec<Mistake>> {
    let mut mistakes = Vec::new();
    let mut columns = Vec::new();
    for name in record {
        match Column::from_name(&name.to_lowercase()) {
            Some(column) if columns.contains(&column) => {
                mistakes.push(Mistake::at(1, column, "this column stands twice"));
            }
            Some(column) => columns.push(column),
            None => mistakes.push(Mistake::new(1, name, "unknown column")),
        }
    }
    let missing = Column::ALL
        .into_iter()
        .filter(|column| !columns.contains(column));
    mistakes.extend(missing.map(|column| Mistake::at(1, column, "this column is missing")));
    if mistakes.is_empty() {
        Ok(columns)
    } else {
        Err(mistakes)
    }
}

fn row(header: &[Column], record: &StringRecord, mistakes: &mut Vec<Mistake>) -> Option<RawRow> {
    let line = record.position().map_or(0, csv::Position::line);
    if record.iter().all(str::is_empty) {
        return None;
    }
    if record
        .iter()
        .skip(header.len())
        .any(|cell| !cell.is_empty())
    {
        mistakes.push(Mistake::new(
            line,
            "",
            "the row has more cells than the header",
        ));
        return None;
    }
    let mut cells: BTreeMap<Column, String> = header
        .iter()
        .copied()
        .zip(record)
        .filter(|(_, cell)| !cell.is_empty())
        .map(|(column, cell)| (column, cell.to_owned()))
        .collect();
    let name = cells.remove(&Column::Part).unwrap_or_default();
    let Some(part) = Part::from_name(&name.to_lowercase()) else {
        let text = format!("expected one of {}, found {name:?}", Part::names());
        mistakes.push(Mistake::at(line, Column::Part, text));
        return None;
    };
    for (column, cell) in cells.iter().filter(|(column, _)| !column.is_of(part)) {
        let text = format!(
            "expected no value in a row of {}, found {cell:?}",
            part.name()
        );
        mistakes.push(Mistake::at(line, *column, text));
    }
    Some(RawRow { line, part, cells })
}
