//! Errors of the operators' commands.

use std::fmt;

use poplar_base::settings::Faults;
use poplar_base::{http, platform};
use poplar_core::config::InvalidClass;

use crate::config_diff::Change;

/// Error of an operator's command.
#[derive(Debug)]
pub enum Error {
    /// A call to the platform failed.
    Platform(platform::Error),
    /// A call to a router's admin address failed.
    Admin(String),
    /// A file has faults.
    Faults(Faults),
    /// The configuration in the table is invalid.
    InvalidConfig(InvalidClass),
    /// Another operator changed the configuration first; contains the changes.
    Conflict(Vec<Change>),
    /// A write may still take effect, and its outcome could not be read back.
    OutcomeUnknown(String),
    /// The generation was written, but the routers can't be listed.
    RoutersUnlisted(u64, platform::Error),
    /// The current state of the fleet does not allow the command.
    Refused(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => write!(f, "{error}"),
            Self::Admin(reason) | Self::Refused(reason) => f.write_str(reason),
            Self::Faults(faults) => write!(f, "{faults}"),
            Self::InvalidConfig(invalid) => write!(f, "configuration in the table: {invalid}"),
            Self::Conflict(changes) => {
                f.write_str("conflict: another operator changed the configuration first")?;
                changes.iter().try_for_each(|c| write!(f, "\n  {c}"))
            }
            Self::RoutersUnlisted(generation, reason) => {
                write!(
                    f,
                    "generation {generation} is accepted, but the routers can't be listed: {reason}"
                )
            }
            Self::OutcomeUnknown(reason) => {
                write!(f, "outcome unknown: {reason}; run the command again")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Admin(error.to_string())
    }
}

impl From<Faults> for Error {
    fn from(faults: Faults) -> Self {
        Self::Faults(faults)
    }
}

impl From<InvalidClass> for Error {
    fn from(invalid: InvalidClass) -> Self {
        Self::InvalidConfig(invalid)
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;
