//! Errors of the test harness itself, as opposed to failures of the programs under test.

use std::fmt;

/// An error of the test harness, as a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(pub String);

/// Result of a step of a test.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// An error in `what`, caused by `why`.
    pub fn new(what: impl fmt::Display, why: impl fmt::Display) -> Self {
        Self(format!("{what}: {why}"))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl From<&str> for Error {
    fn from(why: &str) -> Self {
        Self(why.to_owned())
    }
}

impl From<String> for Error {
    fn from(why: String) -> Self {
        Self(why)
    }
}
