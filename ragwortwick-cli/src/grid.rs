//! Aligned tables for reading.

use std::fmt::Write;

/// Blanks between two columns.
const GAP: usize = 2;

/// `Grid` collects rows and writes them with aligned columns.
#[derive(Debug)]
pub(crate) struct Grid {
    title: &'static str,
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Grid {
    /// `new` starts a table with a title line and column names.
    pub(crate) fn new(title: &'static str, header: &[&'static str]) -> Self {
        Self {
            title,
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    /// `row` adds a row; cells beyond the header are dropped.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// `write` appends the table and an empty line.
    pub(crate) fn write(&self, out: &mut String) {
        let widths = self.widths();
        let header: Vec<String> = self.header.iter().map(ToString::to_string).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{}", self.title);
        for row in std::iter::once(&header).chain(&self.rows) {
            let _ = writeln!(out, "  {}", line(row, &widths));
        }
        out.push('\n');
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.header.iter().map(|name| name.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in row.iter().zip(widths) {
        let _ = write!(text, "{cell:<width$}{:GAP$}", "");
    }
    text.trim_end().to_owned()
}
