//! A small deployment: the store, servers, routers and clients, at loopback addresses
//! that belong to this process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::{Engine, Runs};
use crate::fleet::{FRONT_PORT, Fleet, Router};
use crate::http::{self, Answer};
use crate::record::Record;
use crate::store::Store;
use crate::way::Way;

const STORE_PORT: u16 = 8223;
const ENGINE_PORT: u16 = 8120;
/// Host name of all routes.
pub const HOST: &str = "ficu95.example";
/// Parts of a prompt; the tokens are those of each request.
const PREFIX: &str = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";

/// A request as a client sends it.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    /// Prompt and most output tokens of a stream.
    pub tokens: Option<(u64, u64)>,
    pub deadline_ms: u64,
    /// Whether no part of its prompt is shared with other requests.
    pub is_own: bool,
}

/// The deployment. Its processes end when it is dropped.
#[derive(Debug)]
pub struct Site {
    pub record: Record,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub fleet: Arc<Fleet>,
    pub runs: Runs,
    net: (u8, u8),
    attempts: AtomicU64,
}

impl Site {
    /// Prepares a deployment with this configuration and number of routers.
    pub fn open(record: &Record, folder: &Path, routers: u8, config: &str) -> io::Result<Self> {
        let site = Self::open_with(record, folder, routers, config, false);
        site.map(|(site, _)| site)
    }

    /// As [`Self::open`]. If `apart`, the first router gets no datagrams of the others,
    /// nor they its own. Its connections to the store can be cut.
    pub fn open_with(
        record: &Record,
        folder: &Path,
        routers: u8,
        config: &str,
        apart: bool,
    ) -> io::Result<(Self, Arc<Way>)> {
        let net = free_net(routers)?;
        let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
        let store_at = SocketAddr::new(ip(250).into(), STORE_PORT);
        let store = Store::open(store_at)?;
        store.write("op", "config", Some(config));
        let program = std::env::current_dir()?.join("target/release/poplar-router");
        let addresses: Vec<Ipv4Addr> = (1..=routers).map(ip).collect();
        let near = SocketAddr::new(ip(249).into(), STORE_PORT);
        let way = Way::open(near, store_at)?;
        let first = (near, if apart { "7350,7351" } else { "7340,7355" });
        let others = (store_at, "7340,7355");
        let fleet = Arc::new(Fleet::new(&addresses, first, others, &program, folder)?);
        let site = Self {
            record: record.clone(),
            store,
            engines: Vec::new(),
            fleet,
            runs: Arc::new(Mutex::new(Vec::new())),
            net,
            attempts: AtomicU64::new(0),
        };
        Ok((site, way))
    }

    /// Adds a server of a service.
    pub fn add_engine(&mut self, service: &str, streams: bool) -> io::Result<Arc<Engine>> {
        self.add_engine_of("v1", service, streams)
    }

    /// Adds a server of a service with this version of its software.
    pub fn add_engine_of(
        &mut self,
        version: &str,
        service: &str,
        streams: bool,
    ) -> io::Result<Arc<Engine>> {
        let n = self.engines.len() as u8;
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, 100 + n);
        let zones = ["depot-north", "depot-south", "civic-hall", "harbour-hall"];
        let engine = Engine::open(
            &format!("i-{service}-{n}"),
            service,
            SocketAddr::new(ip.into(), ENGINE_PORT),
            zones[usize::from(n) % zones.len()],
            version,
            streams,
            &self.store,
            &self.runs,
            &self.record,
        )?;
        self.engines.push(engine.clone());
        Ok(engine)
    }

    /// Sends a request to a router, and records it with its answer.
    pub fn ask_at(&self, router: &Router, query: Query<'_>) -> (String, Answer) {
        self.ask_until(router, query, u64::MAX, None)
    }

    /// As [`Self::ask_at`], but the connection breaks when so many events have come. The
    /// request takes up the stream that began with an attempt, after an event.
    pub fn ask_until(
        &self,
        router: &Router,
        query: Query<'_>,
        events: u64,
        taken_up: Option<(&str, u64)>,
    ) -> (String, Answer) {
        let number = self.attempts.fetch_add(1, Ordering::AcqRel) + 1;
        let attempt = format!("{number:016x}");
        let deadline = query.deadline_ms.to_string();
        let tokens = query
            .tokens
            .map(|(prompt, output)| format!("{prompt},{output}"));
        let own = format!(
            "{number:08x}:{}",
            query.tokens.map_or(0, |(prompt, _)| prompt)
        );
        let mut headers = vec![
            ("Host", HOST),
            ("X-Poplarreel-Attempt-Id", &*attempt),
            ("X-Poplarreel-Deadline-Ms", &*deadline),
            ("Api-Key", query.key),
        ];
        if let Some(tokens) = &tokens {
            headers.push(("X-Poplarreel-Model", "m"));
            headers.push(("X-Poplarreel-Token-Counts", tokens));
            headers.push((
                "X-Poplarreel-Prompt-Prefix",
                if query.is_own { &own } else { PREFIX },
            ));
        }
        let after = taken_up.map(|(_, event)| event.to_string());
        if let (Some((first, _)), Some(after)) = (taken_up, &after) {
            headers.push(("Resumes", first));
            headers.push(("Last-Event-Id", after));
        }
        self.record.add(format!(
            "sent {attempt} {} {} key {} to {}",
            query.method, query.path, query.key, router.ip
        ));
        let body: &[u8] = if query.method == "GET" {
            b""
        } else {
            b"a prompt"
        };
        let answer = http::ask_until(
            router.front(),
            query.method,
            query.path,
            &headers,
            body,
            Duration::from_millis(query.deadline_ms),
            events,
        );
        self.record.add(format!(
            "answered {attempt} {} whole {} events {}",
            answer.status,
            answer.whole,
            answer.events()
        ));
        (attempt, answer)
    }
}

/// Two middle bytes of loopback addresses at which the ports are free.
fn free_net(routers: u8) -> io::Result<(u8, u8)> {
    let process = std::process::id();
    for tries in 0..50u32 {
        let second = 60 + ((process + tries * 7) % 150) as u8;
        let third = (1 + (process / 150 + tries * 13) % 250) as u8;
        let is_free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, second, third, last), port)).is_ok()
        };
        let free = (1..=routers).all(|last| {
            [FRONT_PORT, 8220, 7340, 9464]
                .iter()
                .all(|p| is_free(last, *p))
        });
        if free && is_free(250, STORE_PORT) && is_free(100, ENGINE_PORT) {
            return Ok((second, third));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
