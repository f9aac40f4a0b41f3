//! The list of backend servers, followed through outages of the store.
//!
//! Entries that lapse while the store is away come back soon after its return,
//! so that a missing entry is kept for a moment then.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Silence of the store after which its entries may have lapsed meanwhile.
const AWAY: Duration = Duration::from_millis(1500);
/// How long lapsed entries may take to come back after the store's return.
const RETURN: Duration = Duration::from_millis(2200);

/// A backend server as it registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its identity; it may start again under it.
    pub id: Name,
    /// The service that it offers.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Name,
    /// Whether it takes new requests.
    pub ready: bool,
    /// When it started, in Unix milliseconds; 0 where it does not say.
    pub started_ms: u64,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// The list as this router knows it.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: SortedVec<Name, Server>,
    version: u64,
    heard: Option<Instant>,
    returned: Option<Instant>,
}

impl ServerList {
    /// Whether a list was read since the start.
    pub fn is_known(&self) -> bool {
        self.heard.is_some()
    }

    /// Takes a newly read list over; an older one than the last is passed over.
    ///
    /// Returns whether it was taken.
    pub fn update(&mut self, servers: Vec<Server>, version: u64, now: Instant) -> bool {
        if version < self.version {
            return false;
        }
        let away = self.heard.is_some_and(|at| now > at + AWAY);
        if away {
            self.returned = Some(now);
        }
        self.heard = Some(now);
        self.version = version;
        let fresh = servers.into_iter().map(|s| (s.id.clone(), s));
        let mut fresh: SortedVec<Name, Server> = fresh.collect();
        if self.returned.is_some_and(|at| now < at + RETURN) {
            for (id, server) in self.servers.iter() {
                if !fresh.contains(&**id) {
                    fresh.insert(id.clone(), server.clone());
                }
            }
        }
        self.servers = fresh;
        true
    }

    /// Servers of a service that take new requests.
    pub fn ready_servers<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        let servers = self.servers.iter().map(|(_, server)| server);
        servers.filter(move |s| *s.service == *service && s.ready)
    }

    /// Every server.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().map(|(_, server)| server)
    }
}
