//! Output of a command: a text for people and JSON for programs.

use serde::Serialize;
use serde_json::Value;

const COLUMN_SEPARATOR: &str = "  ";

/// Output of a command.
#[derive(Debug, Clone)]
pub struct Output {
    /// Text for people; ends with a line break.
    pub text: String,
    /// JSON for programs.
    pub json: Value,
    /// Reason for a failure exit code although there is output.
    pub failure: Option<String>,
}

impl Output {
    /// Returns an output with `value` as JSON and with `text`.
    pub fn new(value: &impl Serialize, text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(value).expect("reports serialise to JSON"),
            failure: None,
        }
    }

    /// Sets the reason for a failure exit code, if there is one.
    pub fn with_failure(mut self, reason: Option<String>) -> Self {
        self.failure = reason;
        self
    }
}

/// A text table with aligned columns.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the column headers `headers`.
    pub fn new<'a>(headers: impl IntoIterator<Item = &'a str>) -> Self {
        let headers = headers.into_iter().map(str::to_owned).collect();
        Self {
            rows: vec![headers],
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the table as lines with aligned columns.
    pub fn text(&self) -> String {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.rows[0].len()).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_SEPARATOR).trim_end());
            text.push('\n');
        }
        text
    }
}
