//! A stand-in for a server of a service: a model engine that sends a stream, or a plain
//! server. It registers in the store, keeps to its slots and its queue, and may crash.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Headers, Request, header};
use crate::record::{Record, short};
use crate::store::Store;

/// Time between two writes of a registration.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Heartbeats without a write after which a registration is removed.
const LAPSE: u32 = 3;
/// How often waiting threads look around.
const STEP: Duration = Duration::from_millis(5);

/// How a server behaves.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its service.
    pub service: String,
    /// Requests that it runs at once; some may wait beyond these.
    pub slots: usize,
    /// Most of these.
    pub queue: usize,
    /// Time to the first event of a stream, or of a plain request.
    pub first: Duration,
    /// Events of a stream; 0 for a plain server.
    pub events: u32,
    /// The pause between them.
    pub pause: Duration,
    /// The part of a prompt that crashes it as it begins to answer.
    pub deadly: Option<String>,
    /// Time from a crash to its next start.
    pub down: Duration,
    /// Refusals for want of room within a second that it bears while it is brittle, and
    /// how many may wait then, from a while after it has begun to say so.
    pub brittle: Option<Brittle>,
}

/// A time in which a server is brittle.
#[derive(Debug, Clone, Copy)]
pub struct Brittle {
    /// Refusals a second that it bears.
    pub bears: usize,
    /// Requests that may wait from `notice` after the begin.
    pub queue: usize,
    /// Time after which that and the falls begin.
    pub notice: Duration,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The client's attempt.
    pub id: String,
    /// The parts of its prompt.
    pub parts: String,
    /// Whether the server began to work on it.
    pub has_run: bool,
}

/// What a server went through.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests that reached it.
    pub arrivals: Vec<Arrival>,
    /// When a server crashed, and which.
    pub crashes: Vec<(Instant, usize)>,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
    refused: Vec<Instant>,
}

/// A server.
pub struct Engine {
    number: usize,
    address: SocketAddr,
    plan: Plan,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
    /// Counts its processes; a connection belongs to one of them.
    process: AtomicU64,
    is_up: AtomicBool,
    born: AtomicU64,
    /// Open connections by their numbers.
    connections: Mutex<Vec<(u64, TcpStream)>>,
    accepted: AtomicU64,
    load: Mutex<Load>,
    /// Since when it is brittle.
    brittle_since: Arc<Mutex<Option<Instant>>>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Engine {
    /// Starts a server at a free port of `ip`.
    pub fn open(
        number: usize,
        ip: &str,
        plan: Plan,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Seen>>,
        brittle_since: &Arc<Mutex<Option<Instant>>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let engine = Arc::new(Self {
            number,
            address: listener.local_addr()?,
            plan,
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
            process: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            born: AtomicU64::new(unix_ms()),
            connections: Mutex::default(),
            accepted: AtomicU64::new(0),
            load: Mutex::default(),
            brittle_since: brittle_since.clone(),
        });
        let (running, beating) = (engine.clone(), engine.clone());
        thread::spawn(move || running.run(listener));
        thread::spawn(move || beating.beat());
        Ok(engine)
    }

    fn id(&self) -> String {
        let process = self.process.load(Ordering::SeqCst);
        format!("i-{:03}-{process}", self.number)
    }

    /// Accepts connections, and starts again after each crash.
    fn run(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let Some(open) = listener.take() else {
                thread::sleep(self.plan.down);
                self.process.fetch_add(1, Ordering::SeqCst);
                self.born.store(unix_ms(), Ordering::SeqCst);
                *self.load.lock().unwrap() = Load::default();
                listener = TcpListener::bind(self.address).ok();
                if listener.is_some() {
                    self.is_up.store(true, Ordering::SeqCst);
                    self.register();
                }
                continue;
            };
            let _ = open.set_nonblocking(true);
            while self.is_up.load(Ordering::SeqCst) {
                let Ok((stream, from)) = open.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let engine = self.clone();
                thread::spawn(move || engine.serve(stream, from));
            }
        }
    }

    fn crash(&self) {
        if self.is_up.swap(false, Ordering::SeqCst) {
            let now = Instant::now();
            self.seen.lock().unwrap().crashes.push((now, self.number));
            self.record.line(format!("server {} crashes", self.id()));
            for (_, stream) in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn register(&self) {
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"here\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":{}}}",
            self.plan.service,
            self.address,
            self.plan.slots,
            self.born.load(Ordering::SeqCst)
        );
        self.store.put("servers", &self.id(), &value);
    }

    /// Registers while the process lives; registrations of ended ones lapse.
    fn beat(&self) {
        let mut silent: Vec<(String, u32)> = Vec::new();
        let mut current = String::new();
        loop {
            let id = self.id();
            if current != id {
                let before = std::mem::replace(&mut current, id);
                if !before.is_empty() {
                    silent.push((before, 1));
                }
            }
            if self.is_up.load(Ordering::SeqCst) {
                self.register();
            }
            for (id, beats) in &mut silent {
                *beats += 1;
                if *beats == LAPSE {
                    self.store.remove("servers", id);
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr) {
        let process = self.process.load(Ordering::SeqCst);
        let (Ok(mut to), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
        self.connections.lock().unwrap().push((number, kept));
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if !self.lives(process) || !self.answer(&request, from, &mut to, process) {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|(other, _)| *other != number);
    }

    fn lives(&self, process: u64) -> bool {
        self.is_up.load(Ordering::SeqCst) && self.process.load(Ordering::SeqCst) == process
    }

    /// Sleeps unless the process ends meanwhile; returns whether it lives.
    fn work(&self, time: Duration, process: u64) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.lives(process) {
                return self.lives(process);
            }
            thread::sleep(left.min(STEP));
        }
    }

    /// The headers that all answers have.
    fn headers(&self, request: &Request) -> Vec<(&'static str, String)> {
        let load = self.load.lock().unwrap();
        let load = format!("{},{},{}", load.running, load.waiting, self.plan.slots);
        let mut headers = vec![("X-Poplarreel-Server-Load", load)];
        if let Some(id) = header(&request.headers, "x-poplarreel-attempt-id") {
            headers.push(("X-Poplarreel-Attempt-Id", id.to_owned()));
        }
        if let Some((brittle, _)) = self.brittle() {
            headers.push(("Server-Brittle", brittle.bears.to_string()));
        }
        headers
    }

    fn brittle(&self) -> Option<(Brittle, Duration)> {
        let since = (*self.brittle_since.lock().unwrap())?;
        Some((self.plan.brittle?, since.elapsed()))
    }

    fn reply(
        &self,
        to: &mut TcpStream,
        request: &Request,
        status: u16,
        more: &[(&'static str, &str)],
        body: &str,
    ) -> bool {
        let own = self.headers(request);
        let mut headers: Vec<(&str, &str)> = own.iter().map(|(n, v)| (*n, v.as_str())).collect();
        headers.extend_from_slice(more);
        http::write_answer(to, status, &headers, body.as_bytes()).is_ok()
    }

    /// Answers a request; returns whether the connection stays.
    fn answer(
        &self,
        request: &Request,
        from: SocketAddr,
        to: &mut TcpStream,
        process: u64,
    ) -> bool {
        let id = self.id();
        if request.path() == "/api/report" {
            let born = self.born.load(Ordering::SeqCst);
            let body =
                format!("{{\"stage\":\"both\",\"busy\":false,\"sequence\":0,\"born\":{born}}}");
            return self.reply(to, request, 200, &[], &body);
        }
        if request.path() == "/health" {
            return self.reply(to, request, 200, &[("X-Poplarreel-Instance-Id", &id)], "");
        }
        let expected = header(&request.headers, "x-poplarreel-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let more = [("X-Poplarreel-Instance-Id", id.as_str())];
            return self.reply(to, request, 421, &more, "");
        }
        let place = self.note_arrival(&request.headers, from);
        if !self.enter(process) {
            let more = [("X-Poplarreel-Not-Executed", "1")];
            return self.reply(to, request, 503, &more, "");
        }
        if let Some(place) = place {
            self.seen.lock().unwrap().arrivals[place].has_run = true;
        }
        let stays = self.run_request(request, to, process);
        if self.lives(process) {
            self.load.lock().unwrap().running -= 1;
        }
        stays
    }

    fn note_arrival(&self, headers: &Headers, from: SocketAddr) -> Option<usize> {
        let text = |name| header(headers, name).unwrap_or_default().to_owned();
        let arrival = Arrival {
            at: Instant::now(),
            id: text("x-poplarreel-attempt-id"),
            parts: text("x-poplarreel-prompt-prefix"),
            has_run: false,
        };
        let line = format!(
            "request {} reaches server {} from {}",
            short(&arrival.id),
            self.id(),
            from.ip()
        );
        self.record.line(line);
        let mut seen = self.seen.lock().unwrap();
        seen.arrivals.push(arrival);
        Some(seen.arrivals.len() - 1)
    }

    /// Waits for a slot; false if there is no room, or the process ends.
    fn enter(&self, process: u64) -> bool {
        let mut queue = self.plan.queue;
        if let Some((brittle, since)) = self.brittle()
            && since >= brittle.notice
        {
            queue = brittle.queue;
        }
        {
            let mut load = self.load.lock().unwrap();
            if load.running < self.plan.slots && load.waiting == 0 {
                load.running += 1;
                return true;
            }
            if load.waiting >= queue {
                return self.refuse(&mut load);
            }
            load.waiting += 1;
        }
        loop {
            if !self.work(STEP, process) {
                return false;
            }
            let mut load = self.load.lock().unwrap();
            if load.running < self.plan.slots {
                load.running += 1;
                load.waiting -= 1;
                return true;
            }
        }
    }

    /// Refuses a request for want of room, and falls over if that was one too many.
    fn refuse(&self, load: &mut Load) -> bool {
        let now = Instant::now();
        load.refused.push(now);
        load.refused.retain(|at| now < *at + Duration::from_secs(1));
        if let Some((brittle, since)) = self.brittle()
            && since >= brittle.notice
            && load.refused.len() > brittle.bears
        {
            self.crash();
        }
        false
    }

    fn run_request(&self, request: &Request, to: &mut TcpStream, process: u64) -> bool {
        if !self.work(self.plan.first, process) {
            return false;
        }
        let parts = header(&request.headers, "x-poplarreel-prompt-prefix").unwrap_or_default();
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        if let Some(deadly) = &self.plan.deadly
            && ids.any(|id| id == deadly)
        {
            self.crash();
            return false;
        }
        let seal = [("X-Poplarreel-Response-Seal", "3e1b.07")];
        if self.plan.events == 0 {
            return self.reply(to, request, 200, &seal, "done");
        }
        self.stream(request, to, process).is_ok()
    }

    fn stream(&self, request: &Request, to: &mut TcpStream, process: u64) -> std::io::Result<()> {
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in self.headers(request) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(
            "X-Poplarreel-Response-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
        );
        to.write_all(head.as_bytes())?;
        let last = header(&request.headers, "last-event-id");
        let last: u32 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in last + 1..=self.plan.events {
            if number > last + 1 && !self.work(self.plan.pause, process) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: word\n\n");
            write!(to, "{:x}\r\n{event}\r\n", event.len())?;
        }
        to.write_all(b"0\r\n\r\n")
    }
}
