//! Whether a router may send requests to a server's process now.
//!
//! Several things can speak against it: the server is registered as draining, its
//! data centre is evacuated, it said in an answer that it leaves or wants no requests
//! for a time, a limit that it named allows none, it is cold, or it was ejected for
//! failures. [`Availability`] is the answer for all of them.
//!
//! What a server says in answers to this router binds this router, whatever the
//! list of servers shows: the list may be older or out of reach. [`Notices`] keeps
//! it for the process that said it, until another process has its id. That a server
//! leaves, as heard from another router, only makes it a last resort, so that
//! a false report can't take a server out of service.

mod notices;

use std::fmt;
use std::time::Duration;

use crate::evacuation::Intake;
use crate::route::server::HealthState;
use crate::server_limit::Allowance;

pub use notices::{Heard, MAX_PAUSE, News, Notices};

/// What speaks against sending requests to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It is registered as draining.
    Draining,
    /// Its data centre is evacuated.
    Evacuated,
    /// It said that it leaves.
    Leaving,
    /// It said that it wants no requests from this router for a time.
    Paused,
    /// The limit that it named allows no request now.
    Limited,
    /// It is cold, or was a short time ago, and gets no request now.
    Cold,
    /// Its data centre was evacuated and gets only a part of the requests.
    Returning,
    /// It was ejected for failures.
    Ejected,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::Draining,
        Self::Evacuated,
        Self::Leaving,
        Self::Paused,
        Self::Limited,
        Self::Cold,
        Self::Returning,
        Self::Ejected,
    ];

    /// The reason as a label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Paused => "paused",
            Self::Limited => "limited",
            Self::Cold => "cold",
            Self::Returning => "returning",
            Self::Ejected => "ejected",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Whether a server's process gets requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    Open,
    /// It does if no other server is open.
    LastResort(Reason),
    /// It does not.
    Closed {
        /// What speaks against it.
        reason: Reason,
        /// Time until it may again, if that is known.
        wait: Option<Duration>,
    },
}

impl Availability {
    /// What speaks against sending requests, if anything does.
    pub fn reason(self) -> Option<Reason> {
        match self {
            Self::Open => None,
            Self::LastResort(reason) | Self::Closed { reason, .. } => Some(reason),
        }
    }
}

/// What a router knows of a server beside its notices.
#[derive(Debug, Clone, Copy)]
pub struct Signals {
    /// Whether it is registered as accepting requests.
    pub ready: bool,
    /// What its data centre gets.
    pub intake: Intake,
    /// The request's draw from 0 to 1 for a data centre that gets only a part.
    pub draw: f64,
    /// What its limit allows.
    pub limit: Allowance,
    /// What it gets while it is cold.
    pub cold: Allowance,
    /// Its health.
    pub health: HealthState,
}
