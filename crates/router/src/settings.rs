//! The router's settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use poplar_base::log;
use poplar_base::settings::{Faults, File};
use poplar_core::id::Name;
use poplar_core::route::Policy;

/// Longest duration that can be set; a longer one is likely a wrong unit.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

/// The policies by their names in the file.
const POLICIES: [(&str, Policy); 4] = [
    ("predicted", Policy::Predicted),
    ("round-robin", Policy::RoundRobin),
    ("least-in-flight", Policy::LeastInFlight),
    ("random-of-two", Policy::RandomOfTwo),
];

/// Everything a router reads from its settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The router's name, kept across restarts of its host.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// The address where callers connect.
    pub listen: SocketAddr,
    /// The address where operators and the load balancer connect.
    pub admin: SocketAddr,
    /// The address where other routers connect.
    pub peer: SocketAddr,
    /// The address that other routers are given, if it is not `peer`.
    pub advertise: Option<SocketAddr>,
    /// Log level and destination.
    pub log: log::Settings,
    /// Access to the platform.
    pub platform: Platform,
    /// Limits on callers' requests; section `door`.
    pub api: Api,
    /// Grants from budgets, and time-outs of bills.
    pub budget: Budget,
    /// Monitoring of backend servers and routing to them.
    pub backends: Backends,
    /// Failure detection of other routers.
    pub peers: Peers,
    /// Graceful shutdown.
    pub stop: Stop,
}

/// Access to the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// Time-out of one call.
    pub timeout: Duration,
    /// Interval between reads of the configuration.
    pub poll_interval: Duration,
}

/// Limits on callers' requests.
#[derive(Debug, Clone)]
pub struct Api {
    /// Largest body in bytes; key `body`.
    pub max_body: u64,
    /// Largest output that a caller may ask for, in tokens; key `cap`.
    pub max_output: u64,
    /// Time within which a caller must send a body; key `patience`.
    pub body_timeout: Duration,
    /// Most requests open at a time; key `open`.
    pub max_open: u64,
}

/// Grants from budgets, and time-outs of bills.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Time for which a grant should cover the expected spending; key `horizon`.
    pub grant_horizon: Duration,
    /// Smallest grant drawn, in tokens; key `least`.
    pub min_draw: u64,
    /// Most tokens of one budget that a killed router may leave stranded; key
    /// `exposure`.
    pub max_exposure: u64,
    /// Time that the end of an answer waits for its bill to become durable before
    /// peers are asked to keep copies; key `bill`.
    pub bill_timeout: Duration,
    /// Further wait if no peer can keep a copy either; key `alone`.
    pub unbilled_timeout: Duration,
}

/// Monitoring of backend servers and routing to them.
#[derive(Debug, Clone)]
pub struct Backends {
    /// Interval between reads of the host list; key `hosts`.
    pub hosts_interval: Duration,
    /// Interval between reads of each backend server's load; key `load`.
    pub load_interval: Duration,
    /// How a backend server is chosen; policies other than `predicted` are for
    /// experiments.
    pub policy: Policy,
}

/// Failure detection of other routers.
#[derive(Debug, Clone)]
pub struct Peers {
    /// Silence after which a member of the group is sealed; key `seal`.
    pub seal_after: Duration,
}

/// Graceful shutdown.
#[derive(Debug, Clone)]
pub struct Stop {
    /// Time for which new requests are still accepted, until the load balancer has
    /// noticed the shutdown.
    pub linger: Duration,
    /// Longest wait for requests in flight; key `drain`.
    pub drain_timeout: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// All faults of the file at once.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Faults> {
        let mut file = File::open(path)?;
        let mut s = file.section("router");
        let name = s.text("name");
        let centre = s.text("centre");
        let listen = s.address("listen");
        let admin = s.address("admin");
        let peer = s.address("peer");
        let advertise = s.address_opt("advertise");
        drop(s);
        let settings = Self {
            name,
            centre,
            listen,
            admin,
            peer,
            advertise,
            log: log_settings(&mut file),
            platform: platform(&mut file),
            api: api(&mut file),
            budget: budget(&mut file),
            backends: backends(&mut file),
            peers: peers(&mut file),
            stop: stop(&mut file),
        };
        file.finish()?;
        Ok(settings)
    }

    /// The address that other routers are given.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }
}

fn log_settings(file: &mut File) -> log::Settings {
    file.section_opt("log")
        .map_or_else(log::Settings::default, log::Settings::read)
}

fn platform(file: &mut File) -> Platform {
    let mut s = file.section("platform");
    Platform {
        address: s.address("address"),
        timeout: s.duration_or("timeout", ms(10)..=MAX_DURATION, Duration::from_secs(1)),
        poll_interval: s.duration_or("poll", ms(100)..=MAX_DURATION, Duration::from_secs(1)),
    }
}

fn api(file: &mut File) -> Api {
    let mut s = file.section_or_empty("door");
    Api {
        max_body: s.number_or("body", 1024..=1 << 28, 1 << 20),
        max_output: s.number_or("cap", 1..=1 << 20, 8192),
        body_timeout: s.duration_or("patience", ms(100)..=MAX_DURATION, Duration::from_secs(10)),
        max_open: s.number_or("open", 1..=1_000_000, 10_000),
    }
}

fn budget(file: &mut File) -> Budget {
    let mut s = file.section_or_empty("budget");
    Budget {
        grant_horizon: s.duration_or("horizon", ms(1000)..=MAX_DURATION, Duration::from_secs(480)),
        min_draw: s.number_or("least", 1..=1 << 32, 4096),
        max_exposure: s.number_or("exposure", 1..=1 << 40, 1 << 18),
        bill_timeout: s.duration_or("bill", ms(1)..=MAX_DURATION, ms(400)),
        unbilled_timeout: s.duration_or("alone", ms(1)..=MAX_DURATION, Duration::from_secs(2)),
    }
}

fn backends(file: &mut File) -> Backends {
    let mut s = file.section_or_empty("backends");
    Backends {
        hosts_interval: s.duration_or("hosts", ms(50)..=ms(1500), ms(500)),
        load_interval: s.duration_or("load", ms(20)..=Duration::from_secs(10), ms(500)),
        policy: s.choice_or("policy", &POLICIES, Policy::Predicted),
    }
}

fn peers(file: &mut File) -> Peers {
    let mut s = file.section_or_empty("peers");
    Peers {
        seal_after: s.duration_or("seal", ms(5000)..=MAX_DURATION, Duration::from_secs(600)),
    }
}

fn stop(file: &mut File) -> Stop {
    let mut s = file.section_or_empty("stop");
    Stop {
        linger: s.duration_or("linger", ms(0)..=MAX_DURATION, Duration::from_secs(2)),
        drain_timeout: s.duration_or("drain", ms(1)..=MAX_DURATION, Duration::from_secs(180)),
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
