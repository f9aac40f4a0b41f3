//! The transactional table, without its wire.

use poplar_base::platform::wire::{CheckWire, CommitWire, RowWire};
use poplar_core::sorted::SortedVec;
use serde_json::Value;

/// A stored value with the version of its last write.
#[derive(Debug, Clone, PartialEq)]
struct Cell {
    version: u64,
    value: Value,
}

/// Rows in order of their keys, with one sequence of commits.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: SortedVec<String, Cell>,
    sequence: u64,
}

/// A check did not hold: every checked row as it is now.
#[derive(Debug, Clone)]
pub struct Conflict {
    /// The rows, in order of the checks.
    pub rows: Vec<RowWire>,
}

impl Table {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The row at `key`, version 0 where there is none.
    pub fn row(&self, key: &str) -> RowWire {
        let (version, value) = match self.rows.get(key) {
            Some(cell) => (cell.version, cell.value.clone()),
            None => (0, Value::Null),
        };
        RowWire {
            key: key.to_owned(),
            version,
            value,
        }
    }

    /// Rows whose key starts with `prefix`, in order.
    pub fn scan(&self, prefix: &str) -> Vec<RowWire> {
        let rows = self.rows.iter();
        let found = rows.filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, cell)| RowWire {
                key: key.clone(),
                version: cell.version,
                value: cell.value.clone(),
            })
            .collect()
    }

    fn holds(&self, check: &CheckWire) -> bool {
        let version = self.rows.get(check.key.as_str()).map_or(0, |c| c.version);
        version == check.version
    }

    /// Writes everything, or nothing where a check does not hold.
    ///
    /// # Errors
    /// [`Conflict`] with the checked rows.
    pub fn commit(&mut self, commit: CommitWire) -> Result<u64, Conflict> {
        if !commit.checks.iter().all(|c| self.holds(c)) {
            let rows = commit.checks.iter().map(|c| self.row(&c.key));
            return Err(Conflict {
                rows: rows.collect(),
            });
        }
        self.sequence += 1;
        let version = self.sequence;
        for write in commit.writes {
            match write.value {
                Some(value) => {
                    self.rows.insert(write.key, Cell { version, value });
                }
                None => {
                    self.rows.remove(write.key.as_str());
                }
            }
        }
        Ok(version)
    }
}
