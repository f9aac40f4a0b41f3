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
        let net = free_net(routers)?;
        let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
        let store_at = SocketAddr::new(ip(250).into(), STORE_PORT);
        let store = Store::open(store_at)?;
        store.write("op", "config", Some(config));
        let program = std::env::current_dir()?.join("target/release/poplar-router");
        let addresses: Vec<Ipv4Addr> = (1..=routers).map(ip).collect();
        let fleet = Arc::new(Fleet::new(&addresses, store_at, &program, folder)?);
        Ok(Self {
            record: record.clone(),
            store,
            engines: Vec::new(),
            fleet,
            runs: Arc::new(Mutex::new(Vec::new())),
            net,
            attempts: AtomicU64::new(0),
        })
    }

    /// Adds a server of a service.
    pub fn add_engine(&mut self, service: &str, streams: bool) -> io::Result<Arc<Engine>> {
        let n = self.engines.len() as u8;
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, 100 + n);
        let zones = ["depot-north", "depot-south", "civic-hall", "harbour-hall"];
        let engine = Engine::open(
            &format!("i-{service}-{n}"),
            service,
            SocketAddr::new(ip.into(), ENGINE_PORT),
            zones[usize::from(n) % zones.len()],
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
        let number = self.attempts.fetch_add(1, Ordering::AcqRel) + 1;
        let attempt = format!("{number:016x}");
        let deadline = query.deadline_ms.to_string();
        let tokens = query.tokens.map(|(prompt, output)| format!("{prompt},{output}"));
        let mut headers = vec![
            ("Host", HOST),
            ("X-Poplarreel-Attempt-Id", &*attempt),
            ("X-Poplarreel-Deadline-Ms", &*deadline),
            ("Api-Key", query.key),
        ];
        if let Some(tokens) = &tokens {
            headers.push(("X-Poplarreel-Model", "m"));
            headers.push(("X-Poplarreel-Token-Counts", tokens));
            headers.push(("X-Poplarreel-Prompt-Prefix", PREFIX));
        }
        self.record.add(format!(
            "sent {attempt} {} {} key {} to {}",
            query.method, query.path, query.key, router.ip
        ));
        let body: &[u8] = if query.method == "GET" { b"" } else { b"a prompt" };
        let answer = http::ask(
            router.front(),
            query.method,
            query.path,
            &headers,
            body,
            Duration::from_millis(query.deadline_ms),
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
            [FRONT_PORT, 8220, 7340, 9464].iter().all(|p| is_free(last, *p))
        });
        if free && is_free(250, STORE_PORT) && is_free(100, ENGINE_PORT) {
            return Ok((second, third));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
