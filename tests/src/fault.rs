//! What went wrong in the test itself.

use std::fmt;

/// A fault of the test's own work, in words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault(pub String);

/// What a step of a test comes to.
pub type Result<T> = std::result::Result<T, Fault>;

impl Fault {
    /// A fault while doing `what`.
    pub fn of(what: impl fmt::Display, why: impl fmt::Display) -> Self {
        Self(format!("{what}: {why}"))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

impl From<&str> for Fault {
    fn from(why: &str) -> Self {
        Self(why.to_owned())
    }
}

impl From<String> for Fault {
    fn from(why: String) -> Self {
        Self(why)
    }
}
