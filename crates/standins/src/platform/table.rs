//! The transactional table, independent of HTTP.

use poplar_base::platform::wire::{CheckWire, CommitWire, RowWire, WriteWire};
use serde_json::Value;

/// Rows sorted by key. A row has the version of the commit that last wrote it.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<RowWire>,
    sequence: u64,
}

/// A check of a transaction failed.
#[derive(Debug, Clone)]
pub struct Conflict {
    /// The current rows of all checks, in the order of the checks.
    pub rows: Vec<RowWire>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    /// The row with `key`; its version is 0 if it does not exist.
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

    /// Rows whose key starts with `prefix`, sorted by key.
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

    /// Applies all writes, or none if a check fails. Returns the commit version.
    ///
    /// # Errors
    /// Returns [`Conflict`] with the checked rows if a check fails.
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
