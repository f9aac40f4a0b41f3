//! Settings of the router.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use poplar_base::log;
use poplar_base::settings::{Faults, File};
use poplar_core::id::Name;
use poplar_core::route::Policy;

/// Largest settable duration; longer ones are slips of the unit.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);

/// Words for the policies.
const POLICIES: [(&str, Policy); 4] = [
    ("predicted", Policy::Predicted),
    ("round-robin", Policy::RoundRobin),
    ("least-in-flight", Policy::LeastInFlight),
    ("random-of-two", Policy::RandomOfTwo),
];

/// Everything a router learns from its settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The router's name, kept across restarts of its host.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators and the balancer connect.
    pub admin: SocketAddr,
    /// Where other routers connect.
    pub peer: SocketAddr,
    /// Where other routers are told to connect, if not at `peer`.
    pub advertise: Option<SocketAddr>,
    /// How it logs.
    pub log: log::Settings,
    /// The platform.
    pub platform: Platform,
    /// Limits and waits of the callers' door.
    pub api: Api,
    /// How budgets are drawn.
    pub budget: Budget,
    /// How backend servers are watched.
    pub backends: Backends,
    /// How the other routers are watched.
    pub peers: Peers,
    /// How a planned stop goes.
    pub stop: Stop,
}

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// How long a call may take.
    pub timeout: Duration,
    /// How often the configuration is read.
    pub poll_interval: Duration,
}

/// Limits of the callers' door.
#[derive(Debug, Clone)]
pub struct Api {
    /// Largest body in bytes.
    pub max_body: u64,
    /// Largest cap on output that a caller may ask for, in tokens.
    pub max_output: u64,
    /// How long a caller may take to send a body.
    pub body_timeout: Duration,
    /// Requests that may be under way at once.
    pub max_open: u64,
}

/// How budgets are drawn.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Spending that a grant should cover.
    pub grant_horizon: Duration,
    /// Smallest draw in tokens.
    pub min_draw: u64,
    /// Bound on what a killed router may leave stranded, in tokens a budget.
    pub max_exposure: u64,
    /// How long an answer's end waits for its bill before peers take copies.
    pub bill_timeout: Duration,
    /// How long it waits where no peer can take one either.
    pub unbilled_timeout: Duration,
}

/// How backend servers are watched.
#[derive(Debug, Clone)]
pub struct Backends {
    /// How often the host list is read.
    pub hosts_interval: Duration,
    /// How often each backend server's load is read.
    pub load_interval: Duration,
    /// How a backend server is chosen; all but `predicted` are for experiments.
    pub policy: Policy,
}

/// How the other routers are watched.
#[derive(Debug, Clone)]
pub struct Peers {
    /// Silence after which a member of the group is sealed.
    pub seal_after: Duration,
}

/// How a planned stop goes.
#[derive(Debug, Clone)]
pub struct Stop {
    /// How long new requests are still taken while the balancer learns of it.
    pub linger: Duration,
    /// How long requests in flight are waited for.
    pub drain_timeout: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Every fault of the file at once.
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

    /// Where other routers connect.
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
        timeout: s.duration_or("timeout", ms(10)..=LONGEST, Duration::from_secs(1)),
        poll_interval: s.duration_or("poll", ms(100)..=LONGEST, Duration::from_secs(1)),
    }
}

fn api(file: &mut File) -> Api {
    let mut s = file.section_or_empty("door");
    Api {
        max_body: s.number_or("body", 1024..=1 << 28, 1 << 20),
        max_output: s.number_or("cap", 1..=1 << 20, 8192),
        body_timeout: s.duration_or("patience", ms(100)..=LONGEST, Duration::from_secs(10)),
        max_open: s.number_or("open", 1..=1_000_000, 10_000),
    }
}

fn budget(file: &mut File) -> Budget {
    let mut s = file.section_or_empty("budget");
    Budget {
        grant_horizon: s.duration_or("horizon", ms(1000)..=LONGEST, Duration::from_secs(480)),
        min_draw: s.number_or("least", 1..=1 << 32, 4096),
        max_exposure: s.number_or("exposure", 1..=1 << 40, 1 << 18),
        bill_timeout: s.duration_or("bill", ms(1)..=LONGEST, ms(400)),
        unbilled_timeout: s.duration_or("alone", ms(1)..=LONGEST, Duration::from_secs(2)),
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
        seal_after: s.duration_or("seal", ms(5000)..=LONGEST, Duration::from_secs(600)),
    }
}

fn stop(file: &mut File) -> Stop {
    let mut s = file.section_or_empty("stop");
    Stop {
        linger: s.duration_or("linger", ms(0)..=LONGEST, Duration::from_secs(2)),
        drain_timeout: s.duration_or("drain", ms(1)..=LONGEST, Duration::from_secs(180)),
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
