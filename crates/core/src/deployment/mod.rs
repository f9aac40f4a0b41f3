//! The operator's configuration of a deployment: routes, services, workspaces.
//!
//! A request's host and path select its route. The route names the services
//! that may run the request and says whether it may be repeated.

mod servers;

use std::time::Duration;

use crate::cold::ColdLimit;
use crate::id::Name;
use crate::sorted::SortedVec;

pub use servers::{ColdNotice, Server, ServerList};

/// Kind of a route's requests; it decides whether they may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another engine can continue after the last event received.
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

/// A route: which requests it covers and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// Host name of its requests, in lower case.
    pub host: Name,
    /// Prefix of their paths; ends with a slash.
    pub path_prefix: Name,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Target for the time to an answer.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services and the weights by which requests are split among them.
    pub services: Vec<(Name, u32)>,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no access key.
    pub allow_anonymous: bool,
    /// Regions to which its requests are confined; empty if they are not.
    pub home_regions: Vec<Name>,
}

impl Route {
    /// Whether its requests may go to a service.
    pub fn allows(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|(name, weight)| **name == *service && *weight > 0)
    }

    /// Picks a service by weight; `random` is drawn from 0 to 1.
    pub fn pick_service(&self, random: f64) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = random * f64::from(total);
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

/// Properties that all engines of a service share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Most requests that an engine runs at once.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    pub kv_capacity: u64,
    /// Most output tokens in one event of a stream.
    pub stride: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Properties of its model engines; `None` for plain services.
    pub engine: Option<Engine>,
    /// Most connections that one backend server accepts from all routers.
    pub max_connections: u32,
    /// What its servers take while they are cold; `None` if they never are.
    pub cold: Option<ColdLimit>,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Priority that overrides that of the routes.
    pub priority: Option<u8>,
    /// Prepaid tokens that it may consume; `None` for no limit.
    pub prepaid: Option<u64>,
    /// Regions to which its requests are confined; empty if they are not.
    pub home_regions: Vec<Name>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_head: usize,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Longest time to receive a head or a body.
    pub receive_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
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
    /// Names of the workspaces by access key.
    pub keys: SortedVec<Name, Name>,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Deployment {
    /// Sorts the routes into the order that [`Self::route`] relies on.
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

    /// The workspace that an access key belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(&**self.keys.get(key)?)
    }
}
