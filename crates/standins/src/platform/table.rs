//! The transactional table, without its wire.

use poplar_base::platform::wire::{CheckWire, CommitWire, RowWire, WriteWire};
use serde_json::Value;

/// Rows in order of their keys, with one sequence of commits.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<RowWire>,
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

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    /// The row at `key`, version 0 where there is none.
    pub fn row(&self, key: &str) -> RowWire {
        match self.find(key) {
            Ok(at) => self.rows[at].clone(),
            Err(_) => RowWire {
                key: key.to_owned(),
                version: 0,
                value: Value::Null,
            },
        }
    }

    /// Rows whose key starts with `prefix`, in order.
    pub fn scan(&self, prefix: &str) -> Vec<RowWire> {
        let from = self.rows.partition_point(|row| row.key.as_str() < prefix);
        let rows = self.rows[from..].iter();
        let found = rows.take_while(|row| row.key.starts_with(prefix));
        found.cloned().collect()
    }

    fn holds(&self, check: &CheckWire) -> bool {
        let version = match self.find(&check.key) {
            Ok(at) => self.rows[at].version,
            Err(_) => 0,
        };
        version == check.version
    }

    /// Writes everything, or nothing where a check does not hold.
    ///
    /// # Errors
    /// [`Conflict`] with the checked rows.
    pub fn commit(&mut self, commit: CommitWire) -> Result<u64, Conflict> {
        if !commit.checks.iter().all(|check| self.holds(check)) {
            let rows = commit.checks.iter().map(|check| self.row(&check.key));
            return Err(Conflict {
                rows: rows.collect(),
            });
        }
        self.sequence += 1;
        for write in commit.writes {
            self.write(write);
        }
        Ok(self.sequence)
    }

    fn write(&mut self, write: WriteWire) {
        let WriteWire { key, value } = write;
        let version = self.sequence;
        match (self.find(&key), value) {
            (Ok(at), None) => {
                self.rows.remove(at);
            }
            (Err(_), None) => {}
            (Ok(at), Some(value)) => {
                self.rows[at].version = version;
                self.rows[at].value = value;
            }
            (Err(at), Some(value)) => {
                let row = RowWire {
                    key,
                    version,
                    value,
                };
                self.rows.insert(at, row);
            }
        }
    }
}
