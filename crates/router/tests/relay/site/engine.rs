//! A stand-in for a model engine as a process of its own, which may be killed and
//! start again at once, at its address and under its id, with another version of its
//! software.
//!
//! Its events name the process and the run that made them. They come in segments that
//! end anywhere, and some answers have neither a length nor chunks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::apart;
use super::store::Store;

/// Its role as a process.
pub(crate) const ROLE: &str = "engine";
const ADDRESS: &str = "POPLAR_ENGINE_ADDRESS";
const ID: &str = "POPLAR_ENGINE_ID";
const SOFTWARE: &str = "POPLAR_ENGINE_SOFTWARE";
const BORN: &str = "POPLAR_ENGINE_BORN";
const STATES_START: &str = "POPLAR_ENGINE_STATES_START";
const UNFRAMED: &str = "POPLAR_ENGINE_UNFRAMED";
/// Begins the line of a run in the log.
const RUN: &str = "run of ";
/// Part of the reports after which the connection is closed.
const CLOSING_SHARE: f64 = 0.1;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Places of an engine.
const SLOTS: u32 = 64;

/// How engines behave.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Habits {
    /// Every so many answers one has neither a length nor chunks; none if 0.
    pub(crate) unframed: u64,
    /// Whether they state when their process started.
    pub(crate) state_start: bool,
}

/// An engine, of which one process runs at a time.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    /// How far its clock is ahead, in milliseconds.
    clock_ahead: i64,
    habits: Habits,
    log: PathBuf,
    child: Option<Child>,
    /// The version and the start time of its process.
    process: (String, u64),
    sequence: u64,
}

impl Engine {
    /// An engine that is not started yet.
    pub(crate) fn new(
        id: &str,
        address: SocketAddr,
        clock_ahead: i64,
        habits: Habits,
        log: PathBuf,
    ) -> Self {
        Self {
            habits,
            id: id.to_owned(),
            address,
            clock_ahead,
            log,
            child: None,
            process: (String::new(), 0),
            sequence: 0,
        }
    }

    /// The version of its software.
    pub(crate) fn software(&self) -> &str {
        &self.process.0
    }

    /// Whether a process runs.
    pub(crate) fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Starts a process of this version and waits until it listens.
    pub(crate) async fn start(&mut self, software: &str) {
        self.kill();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.expect("a time after 1970").as_millis() as i64;
        let born = (now + self.clock_ahead).unsigned_abs();
        self.process = (software.to_owned(), born);
        self.sequence = 0;
        let settings = [
            (ADDRESS, self.address.to_string()),
            (ID, self.id.clone()),
            (SOFTWARE, software.to_owned()),
            (BORN, born.to_string()),
            (UNFRAMED, self.habits.unframed.to_string()),
            (STATES_START, self.habits.state_start.to_string()),
        ];
        self.child = Some(apart::spawn(ROLE, &settings, &self.log));
        while TcpStream::connect(self.address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Kills its process, whose connections end in order.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to its process.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            apart::signal(child, name);
        }
    }

    /// Writes its entry, as it does from time to time.
    pub(crate) fn register(&mut self, state: &str, store: &Store) {
        self.sequence += 1;
        let (software, born) = &self.process;
        let mut entry = json!({
            "service": "engines", "address": self.address.to_string(), "zone": "a",
            "version": software, "slots": SLOTS, "state": state, "sequence": self.sequence,
        });
        if self.habits.state_start {
            entry["born"] = json!(born);
        }
        store.set("servers", "", &self.id, &entry.to_string());
    }

    /// Removes its entry.
    pub(crate) fn unregister(&self, store: &Store) {
        store.remove("servers", "", &self.id);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the process of an engine knows of itself.
#[derive(Debug)]
struct Process {
    id: String,
    software: String,
    born: u64,
    unframed: u64,
    states_start: bool,
    answers: AtomicU64,
}

/// The attempts of clients that an engine ran, one for each run, as its log has them.
pub(crate) fn runs(log: &str) -> impl Iterator<Item = &str> {
    log.lines().filter_map(|line| line.strip_prefix(RUN))
}

/// Serves requests until the process is killed.
pub(crate) async fn run() {
    let address: SocketAddr = apart::setting(ADDRESS);
    let process = Arc::new(Process {
        id: apart::setting(ID),
        software: apart::setting(SOFTWARE),
        born: apart::setting(BORN),
        unframed: apart::setting(UNFRAMED),
        states_start: apart::setting(STATES_START),
        answers: AtomicU64::new(0),
    });
    let listener = TcpListener::bind(address).await.expect("its address");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let process = process.clone();
        tokio::spawn(async move {
            let _ = process.serve(stream).await;
        });
    }
}

/// A request, as far as it matters here.
struct Request {
    path: String,
    head: String,
}

impl Request {
    /// Reads a request with its body; `None` at the end of the connection.
    async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Self>> {
        loop {
            let end = buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
                let request = Self { path, head };
                let length = request.number("content-length").unwrap_or(0) as usize;
                let whole = end + 4 + length;
                if buffer.len() >= whole {
                    buffer.drain(..whole);
                    return Ok(Some(request));
                }
            }
            if stream.read_buf(buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }
}

impl Process {
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = Request::read(&mut stream, &mut buffer).await? {
            let expected = request.header("x-poplarreel-expect-instance");
            let is_other = expected.is_some_and(|id| id != self.id);
            if request.path == "/api/report" && !is_other {
                let mut report = json!({"stage": "both", "queued": 0, "active": 0});
                if self.states_start {
                    report["born"] = json!(self.born);
                }
                if rand::rng().random_bool(CLOSING_SHARE) {
                    let head = "200 OK\r\nconnection: close";
                    return self.answer(&mut stream, head, &report.to_string()).await;
                }
                self.answer(&mut stream, "200 OK", &report.to_string())
                    .await?;
                continue;
            }
            if is_other || expected.is_none() {
                let head = "421 Misdirected Request\r\nx-poplarreel-not-executed: 1";
                self.answer(&mut stream, head, "").await?;
                continue;
            }
            if !self.stream(&mut stream, &request).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn answer(&self, stream: &mut TcpStream, head: &str, body: &str) -> std::io::Result<()> {
        let text = format!(
            "HTTP/1.1 {head}\r\nx-poplarreel-instance-id: {}\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        stream.write_all(text.as_bytes()).await
    }

    /// Answers with events up to the number at the end of the path; false if the
    /// connection ends with the answer. Stops if the connection is closed.
    async fn stream(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<bool> {
        let run = self.answers.fetch_add(1, Ordering::AcqRel);
        let is_framed = self.unframed == 0 || !run.is_multiple_of(self.unframed);
        let framing = if is_framed {
            "transfer-encoding: chunked\r\n"
        } else {
            ""
        };
        let id = request.header("x-poplarreel-attempt-id").unwrap_or("none");
        println!("{RUN}{id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             x-poplarreel-attempt-id: {id}\r\nx-poplarreel-response-seal: {}.{run}\r\n\
             {framing}\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).await?;
        let last = request.path.rsplit('/').next();
        let last: u64 = last.and_then(|n| n.parse().ok()).unwrap_or(1);
        let first = request.number("last-event-id").unwrap_or(0) + 1;
        let (mut ignored, mut closed) = ([0; 64], false);
        for n in first..=last {
            tokio::select! {
                read = stream.read(&mut ignored) => closed = matches!(read, Ok(0) | Err(_)),
                () = tokio::time::sleep(EVENT_PAUSE) => {}
            }
            if closed {
                return Ok(false);
            }
            let event = format!(
                "id: {n}\ndata: {} {}.{}.{run} {}\n\n",
                self.software,
                self.id,
                self.born,
                "x".repeat(rand::rng().random_range(20..90))
            );
            self.write(stream, event.as_bytes(), is_framed).await?;
        }
        if is_framed {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(is_framed)
    }

    /// Writes an event in one or two parts, with time for the first to arrive.
    async fn write(
        &self,
        stream: &mut TcpStream,
        event: &[u8],
        is_framed: bool,
    ) -> std::io::Result<()> {
        let split = rand::rng().random_range(1..=event.len());
        let parts = [&event[..split], &event[split..]];
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            let bytes = if is_framed {
                let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                chunk.extend_from_slice(part);
                chunk.extend_from_slice(b"\r\n");
                chunk
            } else {
                part.to_vec()
            };
            stream.write_all(&bytes).await?;
            let pause = rand::rng().random_range(0..3);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        Ok(())
    }
}
