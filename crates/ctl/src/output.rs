//! What a command shows: a text for people and JSON for programs.

use serde::Serialize;
use serde_json::Value;

/// Gap between the columns of a table.
const GAP: &str = "  ";

/// What a command shows.
#[derive(Debug, Clone)]
pub struct Output {
    /// For people; ends with a line break.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// Why the command counts as failed although it has something to show.
    pub failure: Option<String>,
}

impl Output {
    /// Shows `value` as JSON and `text` to people.
    pub fn new(value: &impl Serialize, text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(value).expect("reports are plain data"),
            failure: None,
        }
    }

    /// Counts as failed where `why` says so.
    pub fn with_failure(mut self, why: Option<String>) -> Self {
        self.failure = why;
        self
    }
}

/// A text table with aligned columns.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with the columns `heads`.
    pub fn new<'a>(heads: impl IntoIterator<Item = &'a str>) -> Self {
        let heads = heads.into_iter().map(str::to_owned).collect();
        Self { rows: vec![heads] }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The table as lines.
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
            text.push_str(cells.join(GAP).trim_end());
            text.push('\n');
        }
        text
    }
}
