//! Clients as a process of their own, with the load of whlt-scenes. They write down
//! what each attempt brought, and leave it to the test to judge.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::site::apart;
use crate::site::caller::connect;

/// Their role as a process.
pub(crate) const ROLE: &str = "clients";
const ROUTERS: &str = "POPLAR_CLIENTS_ROUTERS";
const SEED: &str = "POPLAR_CLIENTS_SEED";
const SECONDS: &str = "POPLAR_CLIENTS_SECONDS";
const RECORD: &str = "POPLAR_CLIENTS_RECORD";

/// A kind of request, as the users' deployment has it.
struct Kind {
    path: &'static str,
    resumable: bool,
    per_s: f64,
    mean_events: f64,
    most_events: u64,
    deadline: Duration,
}

const KINDS: [Kind; 3] = [
    Kind {
        path: "/stream",
        resumable: false,
        per_s: 14.2,
        mean_events: 23.9,
        most_events: 96,
        deadline: Duration::from_secs(8),
    },
    Kind {
        path: "/resume",
        resumable: true,
        per_s: 6.5,
        mean_events: 10.4,
        most_events: 42,
        deadline: Duration::from_secs(5),
    },
    Kind {
        path: "/stream",
        resumable: false,
        per_s: 21.5,
        mean_events: 34.5,
        most_events: 120,
        deadline: Duration::from_secs(10),
    },
];
/// How much more often resumable streams come than in the deployment, so that more of
/// them meet a fault.
const RESUMABLE_FACTOR: f64 = 4.0;
/// Pause between two events after which a client gives up.
const PATIENCE: Duration = Duration::from_secs(4);
/// Most attempts of a client.
const MOST_TRIES: usize = 4;
/// Longest pause before a client takes a stream up.
const MAX_PAUSE_MS: u64 = 100;
/// Clients that leave an answer that is sound, and take it up elsewhere.
const LEAVING_SHARE: f64 = 0.15;
/// Pause of a client that is told no time to come back.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// An event as a client has it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Event {
    pub(crate) number: u64,
    pub(crate) software: String,
    /// The engine, its process and the run.
    pub(crate) run: String,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum End {
    /// The answer is complete.
    Whole,
    /// Another status than 200.
    Status(u16),
    /// The connection ended without a complete answer.
    Broken,
    /// Nothing came for long.
    Silent,
    /// The client left.
    Left,
    /// No connection.
    Unconnected,
}

/// An attempt of a client.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Try {
    pub(crate) attempt: String,
    pub(crate) router: usize,
    /// Milliseconds since the clients started.
    pub(crate) sent_ms: u64,
    pub(crate) events: Vec<Event>,
    pub(crate) end: End,
}

/// A stream over all attempts of its client.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Stream {
    pub(crate) resumable: bool,
    /// Events of the complete stream.
    pub(crate) whole: u64,
    pub(crate) tries: Vec<Try>,
}

/// Starts the clients, who ask these routers for some seconds and then write what
/// they have to `record`.
pub(crate) fn spawn(routers: &[SocketAddr], seed: u64, seconds: u64, record: &Path) -> Child {
    let routers: Vec<String> = routers.iter().map(SocketAddr::to_string).collect();
    let settings = [
        (ROUTERS, routers.join(",")),
        (SEED, seed.to_string()),
        (SECONDS, seconds.to_string()),
        (RECORD, record.display().to_string()),
    ];
    apart::spawn(ROLE, &settings, &record.with_extension("log"))
}

/// What the clients wrote.
pub(crate) fn read(record: &Path) -> Vec<Stream> {
    let text = std::fs::read_to_string(record).expect("the clients' record");
    let streams = text.lines().map(serde_json::from_str);
    streams.collect::<Result<_, _>>().expect("streams")
}

struct Clients {
    routers: Vec<SocketAddr>,
    began: Instant,
    streams: Mutex<Vec<Stream>>,
}

/// Sends requests until the time is over, and writes the record.
pub(crate) async fn run() {
    let routers: String = apart::setting(ROUTERS);
    let routers = routers.split(',').map(|r| r.parse().expect("an address"));
    let clients = Arc::new(Clients {
        routers: routers.collect(),
        began: Instant::now(),
        streams: Mutex::default(),
    });
    let seed: u64 = apart::setting(SEED);
    let time = Duration::from_secs(apart::setting(SECONDS));
    let mut kinds = Vec::new();
    for (n, kind) in KINDS.iter().enumerate() {
        let clients = clients.clone();
        kinds.push(tokio::spawn(async move {
            clients.load(n, kind, seed, time).await;
        }));
    }
    for kind in kinds {
        kind.await.expect("no panic");
    }
    let record: String = apart::setting(RECORD);
    let mut file = BufWriter::new(File::create(record).expect("the record"));
    for stream in &*clients.streams.lock().expect("no panic") {
        let line = serde_json::to_string(stream).expect("a stream");
        writeln!(file, "{line}").expect("the record");
    }
}

impl Clients {
    /// Begins streams of a kind, each at a client of its own, and waits for them.
    async fn load(self: Arc<Self>, place: usize, kind: &'static Kind, seed: u64, time: Duration) {
        let mut random = StdRng::seed_from_u64(seed * 10 + place as u64);
        let factor = if kind.resumable {
            RESUMABLE_FACTOR
        } else {
            1.0
        };
        let mut open = Vec::new();
        for n in 0.. {
            if self.began.elapsed() > time {
                break;
            }
            let client = Client {
                clients: self.clone(),
                kind,
                name: format!("{place}-{n}"),
                random: StdRng::seed_from_u64(random.random()),
            };
            open.push(tokio::spawn(client.ask()));
            let pause = -random.random_range(f64::EPSILON..1.0).ln() / (kind.per_s * factor);
            sleep(Duration::from_secs_f64(pause)).await;
        }
        for client in open {
            client.await.expect("no panic");
        }
    }
}

/// A client with one stream.
struct Client {
    clients: Arc<Clients>,
    kind: &'static Kind,
    name: String,
    random: StdRng,
}

impl Client {
    async fn ask(mut self) {
        let events = -self.kind.mean_events * self.random.random_range(f64::EPSILON..1.0).ln();
        let whole = (events as u64).clamp(1, self.kind.most_events);
        let mut stream = Stream {
            resumable: self.kind.resumable,
            whole,
            tries: Vec::new(),
        };
        let until = Instant::now() + self.kind.deadline;
        while stream.tries.len() < MOST_TRIES && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let (tried, pause) = self.attempt(&stream, left).await;
            let end = tried.end;
            let has_begun = !tried.events.is_empty();
            stream.tries.push(tried);
            let may_retry = match end {
                End::Whole => false,
                End::Status(status) => status == 503,
                End::Unconnected => true,
                End::Broken | End::Silent | End::Left => self.kind.resumable,
            };
            if !may_retry || (has_begun && !self.kind.resumable) {
                break;
            }
            let most = Duration::from_millis(self.random.random_range(0..=MAX_PAUSE_MS));
            sleep(pause.unwrap_or(most)).await;
        }
        self.clients.streams.lock().expect("no panic").push(stream);
    }

    /// One attempt, and how long to wait before the next one if the answer says so.
    async fn attempt(&mut self, stream: &Stream, left: Duration) -> (Try, Option<Duration>) {
        let before = &stream.tries;
        let got: usize = before.iter().map(|t| t.events.len()).sum();
        let router = self.random.random_range(0..self.clients.routers.len());
        let mut tried = Try {
            attempt: format!("{}-{}", self.name, before.len()),
            router,
            sent_ms: self.clients.began.elapsed().as_millis() as u64,
            events: Vec::new(),
            end: End::Unconnected,
        };
        let own: u32 = self.random.random();
        let mut request = Request::post(format!("{}/{}", self.kind.path, stream.whole))
            .header("host", "site.example")
            .header("api-key", "key-1")
            .header("x-poplarreel-attempt-id", &tried.attempt)
            .header("x-poplarreel-deadline-ms", left.as_millis().to_string())
            .header("x-poplarreel-token-counts", "2600,600")
            .header(
                "x-poplarreel-prompt-prefix",
                format!("{:x}:2520,{own:x}:80", self.random.random_range(1..55)),
            );
        let first = before.iter().find(|t| !t.events.is_empty());
        if let Some(first) = first {
            request = request
                .header("last-event-id", got.to_string())
                .header("resumes", &first.attempt);
        }
        let request = request.body(Full::from("a body")).expect("a request");
        let leaves = self.kind.resumable && self.random.random_bool(LEAVING_SHARE);
        let leave = leaves.then(|| self.random.random_range(1..=stream.whole as usize));
        let Some(mut sender) = connect(self.clients.routers[router]).await else {
            return (tried, None);
        };
        let response = match timeout(left.min(PATIENCE), sender.send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => {
                tried.end = End::Broken;
                return (tried, None);
            }
            Err(_) => {
                tried.end = End::Silent;
                return (tried, None);
            }
        };
        if response.status() != StatusCode::OK {
            tried.end = End::Status(response.status().as_u16());
            let after = response.headers().get("retry-after");
            let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
            let pause = after.map_or(RETRY_PAUSE, Duration::from_secs_f64);
            return (tried, Some(pause.min(left / 3)));
        }
        let mut body = response.into_body();
        let mut text = String::new();
        tried.end = loop {
            let frame = match timeout(PATIENCE, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => break End::Broken,
                // A part of an event at the end is no event.
                Ok(None) if text.is_empty() => break End::Whole,
                Ok(None) => break End::Broken,
                Err(_) => break End::Silent,
            };
            if let Ok(data) = frame.into_data() {
                text.push_str(&String::from_utf8_lossy(&data));
            }
            while let Some((event, rest)) = text.split_once("\n\n") {
                tried.events.push(parse(event));
                text = rest.to_owned();
            }
            if leave.is_some_and(|leave| tried.events.len() >= leave) {
                break End::Left;
            }
        };
        if tried.end == End::Left && self.random.random_bool(0.5) {
            // The old router goes on sending while another one takes the stream up.
            tokio::spawn(async move { while let Some(Ok(_)) = body.frame().await {} });
        }
        (tried, None)
    }
}

/// An event: its number, and which process and run made it. One with other lines, as if
/// parts of two were joined, has the number 0.
fn parse(text: &str) -> Event {
    let lines: Vec<&str> = text.lines().collect();
    let field = |name: &str| lines.iter().find_map(|line| line.strip_prefix(name));
    let words: Vec<&str> = field("data: ").unwrap_or_default().split(' ').collect();
    let word = |n: usize| words.get(n).copied().unwrap_or_default().to_owned();
    let is_sound = lines.len() == 2 && words.len() == 3;
    let number = field("id: ").filter(|_| is_sound);
    Event {
        number: number.and_then(|n| n.parse().ok()).unwrap_or(0),
        software: word(0),
        run: word(1),
    }
}
