//! Output to standard output. There is no colour or cursor movement, so a pipe gets the same.

use std::io::{self, Write};

use serde_json::Value;

use crate::error::CtlError;

/// Writes text.
pub fn text(text: &str) -> Result<(), CtlError> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()?;
    Ok(())
}

/// Writes a line to standard error.
pub fn error_line(line: &str) {
    // Nothing is left to do if standard error is closed; the exit code still tells.
    let _ = writeln!(io::stderr(), "{line}");
}

/// Writes a value as indented JSON.
pub fn json(value: &Value) -> Result<(), CtlError> {
    text(&format!("{value:#}\n"))
}

/// Writes rows in columns under headings.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> Result<(), CtlError> {
    let mut widths: Vec<_> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings = headings.iter().map(|heading| (*heading).to_owned()).collect();
    let mut lines = String::new();
    for row in std::iter::once(&headings).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        lines.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        lines.push('\n');
    }
    text(&lines)
}
