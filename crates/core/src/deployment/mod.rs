//! The operator's configuration of a deployment: routes, services, workspaces.
//!
//! A route is found by host and path. It names the services that may run its
//! requests and what may be repeated.

mod servers;

use std::time::Duration;

use crate::id::Name;
use crate::sorted::SortedVec;

pub use servers::{Server, ServerList};

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// Its answer is a stream of numbered events.
    Stream {
        /// Whether another engine may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route and how its requests are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// Host of its requests, in lower case.
    pub host: Name,
    /// Start of their paths; ends with a slash.
    pub path_prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is due.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and the weights of their shares.
    pub services: Vec<(Name, u32)>,
    /// Backend servers that one request may run on.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub allow_anonymous: bool,
}

impl Route {
    /// The service at `dice`, drawn from 0 to 1.
    pub fn pick_service(&self, dice: f64) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = dice * f64::from(total);
        for (name, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 && *weight > 0 {
                return Some(name);
            }
        }
        let weighted = |(_, weight): &&(Name, u32)| *weight > 0;
        self.services.iter().rfind(weighted).map(|(name, _)| name)
    }
}

/// What engines of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of memory.
    pub kv_capacity: u64,
    /// Output tokens in one event of a stream, at most.
    pub stride: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// What its model engines have in common; `None` for plain services.
    pub engine: Option<Engine>,
    /// Connections that one backend server takes from all routers.
    pub max_connections: u32,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Rank that goes before the routes'.
    pub priority: Option<u8>,
    /// Tokens that it may consume; `None` where nothing limits it.
    pub prepaid: Option<u64>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head in bytes.
    pub max_head: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Longest time for a head or a body.
    pub receive_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

/// A configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Its version.
    pub version: u64,
    /// Routes in order of their hosts, the longest prefix first.
    pub routes: Vec<Route>,
    /// Services by their names.
    pub services: SortedVec<Name, Service>,
    /// Workspaces by their names.
    pub workspaces: SortedVec<Name, Workspace>,
    /// Workspaces' names by access key.
    pub keys: SortedVec<Name, Name>,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Deployment {
    /// Puts the routes in the order in which they are searched.
    pub fn sort(&mut self) {
        let order = |a: &Route, b: &Route| {
            let longer = b.path_prefix.len().cmp(&a.path_prefix.len());
            a.host.cmp(&b.host).then(longer)
        };
        self.routes.sort_by(order);
    }

    /// The route of a request: the longest prefix of its path at its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|r| *r.host < *host);
        let routes = self.routes[first..].iter();
        let mut routes = routes.take_while(|r| *r.host == *host);
        routes.find(|r| path.starts_with(&*r.path_prefix))
    }

    /// The workspace that `key` opens.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(&**self.keys.get(key)?)
    }
}
