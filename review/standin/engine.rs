//! A stand-in for a backend server: it registers in the store and serves requests
//! that name its id.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::record::Record;
use crate::store::Store;

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(20);
/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(10);
/// Output tokens in one event.
pub const STRIDE: u64 = 5;

/// End of the target of a request that crashes the servers that run it.
pub const CRASHING: &str = "?pole=13";
/// Time after a crash until the server is back.
const RESTART_TIME: Duration = Duration::from_secs(3);

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// A request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub service: String,
    pub server: String,
    pub tenant: String,
    pub at: Instant,
}

/// All requests that ran, at any server.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server.
#[derive(Debug)]
pub struct Engine {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    born: AtomicU64,
    is_down: AtomicBool,
    /// Open connections, which a crash ends.
    open: http::Open,
    streams: bool,
    draining: AtomicBool,
    event_ms: AtomicU64,
    max_events: AtomicU64,
    silent_until: Mutex<Option<Instant>>,
    sequence: AtomicU64,
    runs: Runs,
    record: Record,
}

impl Engine {
    /// Starts a server that registers with the store.
    pub fn open(
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: &str,
        version: &str,
        streams: bool,
        store: &Arc<Store>,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            version: version.to_owned(),
            born: AtomicU64::new(unix_ms()),
            is_down: AtomicBool::new(false),
            open: http::Open::default(),
            streams,
            draining: AtomicBool::new(false),
            event_ms: AtomicU64::new(EVENT_TIME.as_millis() as u64),
            max_events: AtomicU64::new(u64::MAX),
            silent_until: Mutex::new(None),
            sequence: AtomicU64::new(0),
            runs: runs.clone(),
            record: record.clone(),
        });
        let serving = engine.clone();
        let again = store.clone();
        std::thread::spawn(move || serving.serve(listener, &again));
        engine.register(store);
        let (beating, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if !beating.is_down.load(Ordering::Acquire) {
                    beating.register(&store);
                }
            }
        });
        Ok(engine)
    }

    /// Accepts connections, and starts anew under the same id after each crash.
    fn serve(self: Arc<Self>, mut listener: TcpListener, store: &Arc<Store>) {
        loop {
            let serving = self.clone();
            let handle = move |head: &Head, body: Vec<u8>, to: &mut TcpStream| {
                serving.handle(head, &body, to)
            };
            let crashed = || self.is_down.load(Ordering::Acquire);
            http::serve_until(listener, handle, crashed, &self.open);
            std::thread::sleep(RESTART_TIME);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(50)),
                }
            };
            self.born.store(unix_ms(), Ordering::Release);
            self.sequence.store(0, Ordering::Release);
            self.is_down.store(false, Ordering::Release);
            self.record.add(format!("{} is back", self.id));
            self.register(store);
        }
    }

    fn register(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let state = if self.draining.load(Ordering::Acquire) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"born\":{},\
             \"sequence\":{sequence}}}",
            self.service,
            self.address,
            self.zone,
            self.version,
            self.born.load(Ordering::Acquire)
        );
        store.write("servers", &self.id, Some(&entry));
    }

    fn handle(&self, head: &Head, _body: &[u8], to: &mut TcpStream) -> io::Result<bool> {
        self.wait_if_silent();
        if head.method() == "GET" && head.target() == "/health" {
            let id = [("X-Poplarreel-Instance-Id", &*self.id)];
            http::respond(to, 200, &id, b"")?;
            return Ok(true);
        }
        let Some(attempt) = head.get("x-poplarreel-attempt-id") else {
            let headers = [("X-Poplarreel-Not-Executed", "1")];
            http::respond(to, 400, &headers, b"")?;
            return Ok(true);
        };
        if head
            .get("x-poplarreel-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let headers = [
                ("X-Poplarreel-Not-Executed", "1"),
                ("X-Poplarreel-Attempt-Id", attempt),
            ];
            http::respond(to, 421, &headers, b"")?;
            return Ok(true);
        }
        let run = Run {
            attempt: attempt.to_owned(),
            path: head.target().to_owned(),
            service: self.service.clone(),
            server: self.id.clone(),
            tenant: head.get("x-poplarreel-tenant").unwrap_or("").to_owned(),
            at: Instant::now(),
        };
        self.record.add(format!(
            "run {} {} at {} of {} for tenant {}",
            run.attempt, run.path, run.server, run.service, run.tenant
        ));
        self.runs
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(run);
        if head.target().ends_with(CRASHING) {
            self.record.add(format!("{} crashes at {attempt}", self.id));
            self.is_down.store(true, Ordering::Release);
            return Ok(false);
        }
        let seal = format!("seal.{}.{attempt}", self.id);
        let headers = [
            ("X-Poplarreel-Attempt-Id", attempt),
            ("X-Poplarreel-Response-Seal", &*seal),
        ];
        if !self.streams {
            std::thread::sleep(PLAIN_WORK);
            http::respond(to, 200, &headers, format!("plain {attempt}").as_bytes())?;
            return Ok(true);
        }
        let counts = head.get("x-poplarreel-token-counts").unwrap_or("0,0");
        let output = counts.split(',').nth(1).and_then(|n| n.trim().parse().ok());
        let most = self.max_events.load(Ordering::Acquire);
        let events = (output.unwrap_or(0u64) / STRIDE).min(most);
        let mut out = String::from("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("Content-Type: text/event-stream\r\n\r\n");
        to.write_all(out.as_bytes())?;
        let last = head.get("last-event-id").and_then(|n| n.parse().ok());
        for number in last.unwrap_or(0u64) + 1..=events {
            std::thread::sleep(self.event_time());
            self.wait_if_silent();
            let event = format!("id: {number}\ndata: {} {attempt}\n\n", self.version);
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        to.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    fn event_time(&self) -> Duration {
        Duration::from_millis(self.event_ms.load(Ordering::Acquire))
    }

    /// Sets the most events of a stream. Its request may allow more.
    pub fn set_max_events(&self, events: u64) {
        self.max_events.store(events, Ordering::Release);
    }

    /// Sets the time between two events of a stream.
    pub fn set_event_time(&self, time: Duration) {
        let millis = time.as_millis() as u64;
        self.event_ms.store(millis, Ordering::Release);
    }

    /// Lets the server fall silent for some time. It goes on with its work after that.
    pub fn fall_silent(&self, time: Duration) {
        let mut until = self.silent_until.lock().unwrap_or_else(|e| e.into_inner());
        *until = Some(Instant::now() + time);
        self.record
            .add(format!("{} is silent for {} ms", self.id, time.as_millis()));
    }

    fn wait_if_silent(&self) {
        loop {
            let until = *self.silent_until.lock().unwrap_or_else(|e| e.into_inner());
            let left = until.map(|at| at.saturating_duration_since(Instant::now()));
            match left {
                Some(left) if !left.is_zero() => std::thread::sleep(left),
                _ => return,
            }
        }
    }
}
