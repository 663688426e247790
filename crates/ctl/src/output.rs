//! Plain-text and JSON output. Colors and cursor control are never used, so terminals and pipes
//! receive identical bytes.

use std::io::{self, Write};

use serde_json::Value;

use crate::error::CtlError;

/// Writes text to standard output as is and flushes it.
///
/// Fails with [`CtlError::Output`], for example when the reader of a pipe has gone away.
pub fn text(text: &str) -> Result<(), CtlError> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()?;
    Ok(())
}

/// Writes a line to standard error; write errors are ignored.
pub fn error_line(line: &str) {
    // If standard error is closed, the exit code still reports the failure.
    let _ = writeln!(io::stderr(), "{line}");
}

/// Writes a value to standard output as indented JSON with a final newline.
pub fn json(value: &Value) -> Result<(), CtlError> {
    text(&format!("{value:#}\n"))
}

/// Writes a table with left-aligned columns, each as wide as its longest cell.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> Result<(), CtlError> {
    let mut widths: Vec<_> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading_row = headings.iter().map(|heading| (*heading).to_owned()).collect();
    let mut lines = String::new();
    for row in std::iter::once(&heading_row).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        lines.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        lines.push('\n');
    }
    text(&lines)
}
