//! How an operator's command fails.

use std::fmt;

use poplar_base::settings::Faults;
use poplar_base::{http, platform};
use poplar_core::config::InvalidClass;

use crate::config_diff::Change;

/// How an operator's command fails.
#[derive(Debug)]
pub enum Error {
    /// The platform failed.
    Platform(platform::Error),
    /// A router's admin page could not be read.
    Admin(String),
    /// A file is faulty.
    Faults(Faults),
    /// The configuration in the table can't be read.
    InvalidConfig(InvalidClass),
    /// Another operator was first; what changed meanwhile.
    Conflict(Vec<Change>),
    /// A write may yet take effect, and could not be read back.
    OutcomeUnknown(String),
    /// The generation was accepted, but the routers can't be listed.
    RoutersUnlisted(u64, platform::Error),
    /// The command can't be carried out as things are.
    Refused(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => write!(f, "{error}"),
            Self::Admin(why) | Self::Refused(why) => f.write_str(why),
            Self::Faults(faults) => write!(f, "{faults}"),
            Self::InvalidConfig(invalid) => write!(f, "configuration in the table: {invalid}"),
            Self::Conflict(changes) => {
                f.write_str("conflict: another operator changed the configuration first")?;
                changes.iter().try_for_each(|c| write!(f, "\n  {c}"))
            }
            Self::RoutersUnlisted(generation, why) => {
                write!(
                    f,
                    "generation {generation} is accepted, routers unseen: {why}"
                )
            }
            Self::OutcomeUnknown(why) => write!(f, "outcome unknown: {why}; run the command again"),
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

/// What a command returns.
pub type Result<T> = std::result::Result<T, Error>;
