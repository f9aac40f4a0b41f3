//! A small deployment: routers, servers, the store, and clients behind a load balancer.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Seen};
use crate::json::{Json, number, object, text};
use crate::router::{self, Router};
use crate::server::{Plan, STRIDE, Server};
use crate::store::Store;

/// How long the routers may take to be ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest silence that a client bears.
const PATIENCE: Duration = Duration::from_secs(10);

/// What happened, line by line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let began = Instant::now();
        Ok(Self { file, began })
    }

    /// Seconds since the begin.
    pub fn time(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Writes a line that also goes to the terminal.
    pub fn say(&self, line: &str) {
        println!("{:8.3} {line}", self.time(Instant::now()));
        self.note(line);
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let time = self.time(Instant::now());
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{time:8.3} {line}");
    }
}

/// What a tenant may consume, and the keys that it has.
pub struct Tenant {
    pub name: &'static str,
    pub keys: Vec<&'static str>,
    pub prepaid: u64,
}

/// A configuration with a route of streams, one of each kind of plain request, and these
/// routes of safe requests more.
pub fn configuration(version: u64, tenants: &[Tenant], more: &[&str]) -> Json {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout: u32| {
        object(vec![
            ("name", text(name)),
            ("host", text("site.example")),
            ("path_prefix", text(&format!("/{name}/"))),
            ("kind", text(kind)),
            ("timeout_ms", number(timeout)),
            ("target_latency_ms", number(500)),
            ("priority", number(1)),
            ("service", text(service)),
            ("max_attempts", number(attempts)),
            ("resumable", Json::Bool(false)),
        ])
    };
    let mut routes = vec![
        route("plan", "streaming", "engines", 1, 8000),
        route("push", "unsafe", "gateway", 1, 1500),
        route("status", "safe", "gateway", 2, 1500),
    ];
    routes.extend(more.iter().map(|name| {
        let service = if *name == "idle" { "spare" } else { "gateway" };
        route(name, "safe", service, 2, 1500)
    }));
    let engine = object(vec![
        ("slots", number(64)),
        ("kv_capacity", number(446_388)),
        ("stride", number(STRIDE as f64)),
    ]);
    let services = vec![
        object(vec![
            ("name", text("engines")),
            ("max_conns", number(370)),
            ("engine", engine),
        ]),
        object(vec![("name", text("gateway")), ("max_conns", number(110))]),
        object(vec![("name", text("spare")), ("max_conns", number(110))]),
    ];
    let tenants = tenants.iter().map(|tenant| {
        let keys = tenant.keys.iter().map(|key| text(key)).collect();
        object(vec![
            ("name", text(tenant.name)),
            ("api_keys", Json::List(keys)),
            ("prepaid", number(tenant.prepaid as f64)),
        ])
    });
    let limits = object(vec![
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(4_194_304)),
        ("header_timeout_ms", number(3000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    object(vec![
        ("version", number(version as f64)),
        ("routes", Json::List(routes)),
        ("services", Json::List(services)),
        ("limits", limits),
        ("tenants", Json::List(tenants.collect())),
    ])
}

/// The deployment.
pub struct Site {
    pub store: Arc<Store>,
    pub servers: Vec<Arc<Server>>,
    pub routers: Vec<Router>,
    pub record: Record,
    balancer: Balancer,
    folder: PathBuf,
}

/// Knows which routers get connections: as the platform does, it asks each once a second,
/// and takes it out after two misses.
#[derive(Clone)]
pub struct Balancer(Arc<Vec<(std::net::SocketAddr, std::net::SocketAddr, AtomicBool)>>);

impl Balancer {
    fn open(routers: &[Router]) -> Self {
        let entry = |r: &Router| (r.callers(), r.ready(), AtomicBool::new(false));
        let balancer = Self(Arc::new(routers.iter().map(entry).collect()));
        for place in 0..routers.len() {
            let balancer = balancer.clone();
            thread::spawn(move || {
                let (_, ready, is_in) = &balancer.0[place];
                let mut misses = 0;
                loop {
                    let path = "/api/readiness";
                    let seen = http::ask(*ready, "GET", path, &[], b"", Duration::from_secs(1));
                    misses = if seen.status == 200 { 0 } else { misses + 1 };
                    if misses == 0 || misses >= 2 {
                        is_in.store(misses == 0, Ordering::Release);
                    }
                    thread::sleep(Duration::from_millis(1000).saturating_sub(seen.took));
                }
            });
        }
        balancer
    }

    /// Whether this many routers get connections.
    fn are_in(&self, count: usize) -> bool {
        let is_in = self
            .0
            .iter()
            .filter(|(.., is_in)| is_in.load(Ordering::Acquire));
        is_in.count() == count
    }

    /// The router that gets connection number `n`; any if none is in.
    fn pick(&self, n: u64) -> std::net::SocketAddr {
        let is_in = |entry: &&(_, _, AtomicBool)| entry.2.load(Ordering::Acquire);
        let mut open: Vec<_> = self.0.iter().filter(is_in).collect();
        if open.is_empty() {
            open = self.0.iter().collect();
        }
        open[n as usize % open.len()].0
    }
}

impl Site {
    /// Starts the store, the servers and this many routers with a configuration, and waits
    /// until all are ready. As many as `spares` more are not started yet. Each machine has
    /// this much memory.
    pub fn open(
        plans: Vec<Plan>,
        (routers, spares): (usize, usize),
        memory_mb: u64,
        configuration: &Json,
        record: Record,
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store = Store::open().ok()?;
        store.put("op", "config", configuration);
        let servers: Vec<_> = plans
            .into_iter()
            .filter_map(|p| Server::open(p).ok())
            .collect();
        for server in &servers {
            server.beat(&store);
        }
        let mut processes = Vec::new();
        let addresses = router::addresses((routers + spares) as u8)?;
        for (number, ip) in addresses.into_iter().enumerate() {
            let mut router = Router::new(ip, number + 1, store.address, memory_mb, &folder)?;
            if number < routers {
                router.start().ok()?;
            }
            processes.push(router);
        }
        let balancer = Balancer::open(&processes);
        let began = Instant::now();
        while !balancer.are_in(routers) {
            if began.elapsed() > START_LIMIT {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.say(&format!("{routers} routers are ready"));
        Some(Self {
            store,
            servers,
            routers: processes,
            record,
            balancer,
            folder,
        })
    }

    /// Writes down what reached the servers.
    pub fn note_arrivals(&self) {
        for server in &self.servers {
            for arrival in server.arrivals() {
                self.record.note(&format!(
                    "{} {} at {:.3}, from {}: {}",
                    server.plan.id,
                    if arrival.ran { "ran" } else { "turned away" },
                    self.record.time(arrival.at),
                    arrival.machine,
                    arrival.id
                ));
            }
        }
    }

    /// Waits until this many routers get connections.
    pub fn wait_ready(&self, count: usize) -> bool {
        let until = Instant::now() + START_LIMIT;
        while !self.balancer.are_in(count) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Sends streams for a tenant's key, `per_s` a second, until the result is told to
    /// stop.
    pub fn send_streams(&self, key: &'static str, per_s: u64, size: (u64, u64)) -> Traffic {
        let traffic = Traffic::default();
        let (shared, balancer, record) =
            (traffic.clone(), self.balancer.clone(), self.record.clone());
        thread::spawn(move || {
            while !shared.is_ended.load(Ordering::Acquire) {
                let n = shared.sent.fetch_add(1, Ordering::AcqRel);
                let (one, record, at) = (shared.clone(), record.clone(), balancer.pick(n));
                thread::spawn(move || {
                    let id = format!("stream-{n}");
                    let sent = Instant::now();
                    let seen = ask_stream(at, &id, key, size);
                    let events = count_events(&seen.body);
                    record.note(&format!(
                        "{id} sent {:.3} to {} prompt {} events {events}: {}",
                        record.time(sent),
                        at.ip(),
                        size.0,
                        seen.text()
                    ));
                    one.seen
                        .lock()
                        .expect("no panic")
                        .push((sent, seen, events));
                });
                thread::sleep(Duration::from_micros(1_000_000 / per_s));
            }
        });
        traffic
    }

    /// Sends plain requests for a tenant's key, `per_s` a second.
    pub fn send_plain(&self, path: &'static str, key: &'static str, per_s: u64) -> Traffic {
        let traffic = Traffic::default();
        let (shared, balancer, record) =
            (traffic.clone(), self.balancer.clone(), self.record.clone());
        thread::spawn(move || {
            let began = Instant::now();
            while !shared.is_ended.load(Ordering::Acquire) {
                let n = shared.sent.fetch_add(1, Ordering::AcqRel);
                let (one, record, at) = (shared.clone(), record.clone(), balancer.pick(n));
                thread::spawn(move || {
                    let id = format!("plain-{n}");
                    let sent = Instant::now();
                    let seen = ask_plain(at, &format!("{path}{n}"), &id, key);
                    let (time, ip) = (record.time(sent), at.ip());
                    record.note(&format!("{id} sent {time:.3} to {ip}: {}", seen.text()));
                    one.seen.lock().expect("no panic").push((sent, seen, 0));
                });
                let next = Duration::from_micros(1_000_000 * (n + 1) / per_s);
                thread::sleep(next.saturating_sub(began.elapsed()));
            }
        });
        traffic
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.routers.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// Requests that clients sent, and what they saw.
#[derive(Clone, Default)]
pub struct Traffic {
    is_ended: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    pub seen: Arc<Mutex<Vec<(Instant, Seen, u64)>>>,
}

impl Traffic {
    /// Sends no more, and waits for what is open.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Release);
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let seen = self.seen.lock().expect("no panic").len() as u64;
            if seen >= self.sent.load(Ordering::Acquire) {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// How many were sent from `from` on and how many of these were answered completely
    /// with a status.
    pub fn count(&self, from: Instant, status: u16) -> (usize, usize) {
        let seen = self.seen.lock().expect("no panic");
        let sent = seen.iter().filter(|(at, ..)| *at >= from);
        let all = sent.clone().count();
        let with = sent.filter(|(_, s, _)| s.status == status && s.is_whole);
        (all, with.count())
    }
}

pub fn ask_stream(
    at: std::net::SocketAddr,
    id: &str,
    key: &str,
    (prompt, output): (u64, u64),
) -> Seen {
    let headers = [
        ("x-poplarreel-attempt-id", id.to_owned()),
        ("x-poplarreel-deadline-ms", "8000".to_owned()),
        ("x-poplarreel-model", "m".to_owned()),
        ("x-poplarreel-token-counts", format!("{prompt},{output}")),
        (
            "x-poplarreel-prompt-prefix",
            format!("{:x}:{prompt}", fingerprint(id)),
        ),
        ("api-key", key.to_owned()),
    ];
    http::ask(at, "POST", "/plan/compose", &headers, b"a scene", PATIENCE)
}

/// Sends a plain request.
pub fn ask_plain(at: std::net::SocketAddr, path: &str, id: &str, key: &str) -> Seen {
    let headers = [
        ("x-poplarreel-attempt-id", id.to_owned()),
        ("x-poplarreel-deadline-ms", "1500".to_owned()),
        ("api-key", key.to_owned()),
    ];
    http::ask(at, "GET", path, &headers, b"", PATIENCE)
}

fn fingerprint(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Complete events in a stream.
pub fn count_events(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    whole
        .split("\n\n")
        .filter(|e| e.starts_with("id: "))
        .count() as u64
}

/// Many requests over kept connections, one at a time on each, of which only the answers
/// are counted.
pub struct Load {
    counts: Arc<(AtomicU64, AtomicU64)>,
    is_ended: Arc<AtomicBool>,
}

impl Load {
    /// Sends requests over this many connections.
    pub fn open(at: std::net::SocketAddr, path: &str, key: &str, connections: usize) -> Self {
        let load = Self {
            counts: Arc::default(),
            is_ended: Arc::default(),
        };
        for connection in 0..connections {
            let (counts, is_ended) = (load.counts.clone(), load.is_ended.clone());
            let text = format!(
                "GET {path} HTTP/1.1\r\nhost: site.example\r\napi-key: {key}\r\n\
                 x-poplarreel-attempt-id: load-{connection}-"
            );
            let small = thread::Builder::new().stack_size(64 << 10);
            let _ = small.spawn(move || {
                while !is_ended.load(Ordering::Acquire) {
                    if send_on(at, &text, &counts, &is_ended).is_err() {
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            });
        }
        load
    }

    /// How many were answered, and how many of these with 503.
    pub fn answered(&self) -> (u64, u64) {
        let (all, refused) = &*self.counts;
        (all.load(Ordering::Acquire), refused.load(Ordering::Acquire))
    }

    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Release);
    }
}

/// Sends requests on one connection until it is closed.
fn send_on(
    at: std::net::SocketAddr,
    text: &str,
    (all, refused): &(AtomicU64, AtomicU64),
    is_ended: &AtomicBool,
) -> std::io::Result<()> {
    use std::io::Read;
    let mut stream = std::net::TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut bytes = [0; 4096];
    while !is_ended.load(Ordering::Acquire) {
        let n = all.fetch_add(1, Ordering::AcqRel);
        stream.write_all(format!("{text}{n}\r\n\r\n").as_bytes())?;
        // The answer is short and comes in one piece.
        let length = stream.read(&mut bytes)?;
        if length == 0 {
            return Ok(());
        }
        let answer = &bytes[..length];
        if answer.starts_with(b"HTTP/1.1 503") {
            refused.fetch_add(1, Ordering::AcqRel);
        }
        if answer.windows(17).any(|w| w == b"connection: close") {
            return Ok(());
        }
    }
    Ok(())
}
