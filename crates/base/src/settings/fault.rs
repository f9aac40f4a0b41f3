//! Faults found in a settings file.

use std::fmt;
use std::sync::Arc;

/// Keys whose values are secret and never printed.
const SECRET_KEYS: [&str; 2] = ["key", "secret"];

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file's path.
    pub file: Arc<str>,
    /// The section; empty if the fault concerns the whole file.
    pub section: Arc<str>,
    /// The key; empty if the fault concerns the whole section.
    pub key: Arc<str>,
    /// The value in the file.
    pub value: Option<Arc<str>>,
    /// What is wrong.
    pub reason: String,
    /// Description of what would be accepted.
    pub accepted: String,
}

impl Fault {
    /// Returns a fault that concerns the whole file.
    pub(crate) fn of_file(file: &str, reason: String, accepted: &str) -> Self {
        Self {
            file: file.into(),
            section: "".into(),
            key: "".into(),
            value: None,
            reason,
            accepted: accepted.to_owned(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            f.write_str(&self.key)?;
            match &self.value {
                Some(_) if SECRET_KEYS.contains(&&*self.key) => f.write_str(" = (hidden)")?,
                Some(value) => write!(f, " = {value:?}")?,
                None => {}
            }
            f.write_str(": ")?;
        }
        write!(f, "{}; accepted: {}", self.reason, self.accepted)
    }
}

/// All faults of a settings file; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let end = if index + 1 < self.0.len() { "\n" } else { "" };
            write!(f, "{fault}{end}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
