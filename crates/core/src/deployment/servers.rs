//! The list of backend servers, kept through outages of the store.
//!
//! Registrations that expire during an outage of the store are renewed soon
//! after it. A server that is missing right after an outage therefore stays
//! listed for a grace period.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Time between two reads of the list, with a failed one in between, from which
/// on the store counts as having been unreachable, so that registrations may
/// have expired. Without a failed read, the answer only took long to arrive.
const OUTAGE_AFTER: Duration = Duration::from_millis(1500);
/// Time after an outage within which expired registrations are renewed.
const GRACE_PERIOD: Duration = Duration::from_millis(2200);

/// A registered backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its identity, which it keeps when it restarts.
    pub id: Name,
    /// The service that it offers.
    pub service: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Name,
    /// The version of its software; empty if it did not register that. What two
    /// versions write doesn't fit together.
    pub software: Name,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// When it started, in Unix milliseconds; 0 if it did not register that.
    pub started_ms: u64,
    /// Most requests that it runs at once.
    pub slots: u32,
    /// What its registration says of its being cold.
    pub cold: ColdNotice,
}

/// What a registration says of whether the server is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdNotice {
    /// How long it stays cold; `None` if that is not stated.
    pub left: Option<Duration>,
    /// Version of the registration, which tells apart statements of the same time.
    pub row: u64,
}

impl Server {
    /// Whether another registration says the same, but for how long the server stays cold,
    /// which changes all the time.
    pub fn has_same_entry(&self, other: &Self) -> bool {
        let entry = |s: &Self| (s.address, s.ready, s.started_ms, s.slots);
        let names = [
            (&self.id, &other.id),
            (&self.service, &other.service),
            (&self.centre, &other.centre),
            (&self.software, &other.software),
        ];
        entry(self) == entry(other) && names.iter().all(|(own, other)| own == other)
    }
}

/// The list of backend servers as this router knows it.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: SortedVec<Name, Server>,
    /// Servers missing since an outage, which count as listed until the end of
    /// the grace period.
    missing: SortedVec<Name, Server>,
    version: u64,
    last_read: Option<Instant>,
    /// Whether a read failed since the last one that succeeded.
    read_failed: bool,
    /// When the last outage of the store ended.
    outage_end: Option<Instant>,
}

impl ServerList {
    /// Whether a list has been read since the start of the process.
    pub fn is_known(&self) -> bool {
        self.last_read.is_some()
    }

    /// Records a read that failed.
    pub fn record_failed_read(&mut self) {
        self.read_failed = true;
    }

    /// Replaces the list by a newly read one, unless that is older.
    ///
    /// Returns whether the list was replaced.
    pub fn update(&mut self, servers: Vec<Server>, version: u64, now: Instant) -> bool {
        if version < self.version {
            return false;
        }
        let long_ago = self.last_read.is_some_and(|at| now > at + OUTAGE_AFTER);
        if std::mem::take(&mut self.read_failed) && long_ago {
            self.outage_end = Some(now);
        }
        self.last_read = Some(now);
        self.version = version;
        let current = servers.into_iter().map(|s| (s.id.clone(), s));
        let current: SortedVec<Name, Server> = current.collect();
        let mut missing = SortedVec::new();
        if self.in_grace_period(now) {
            let previous = self.servers.iter().chain(self.missing.iter());
            for (id, server) in previous.filter(|(id, _)| !current.contains(&***id)) {
                missing.insert(id.clone(), server.clone());
            }
        }
        self.servers = current;
        self.missing = missing;
        true
    }

    fn in_grace_period(&self, now: Instant) -> bool {
        self.outage_end.is_some_and(|at| now < at + GRACE_PERIOD)
    }

    /// Servers of a service, whether or not they accept new requests.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Server> {
        let missing = self
            .missing
            .iter()
            .filter(move |_| self.in_grace_period(now));
        let servers = self.servers.iter().chain(missing);
        let servers = servers.map(|(_, server)| server);
        servers.filter(move |s| *s.service == *service)
    }

    /// Servers of a service that are registered as accepting new requests.
    pub fn ready_servers<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Server> {
        self.of_service(service, now).filter(|s| s.ready)
    }

    /// All servers, those included that are missing since an outage.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        let servers = self.servers.iter().chain(self.missing.iter());
        servers.map(|(_, server)| server)
    }
}
