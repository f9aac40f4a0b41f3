//! Stand-ins for backend servers: model engines, which answer with streams of events, and
//! plain servers.

use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{Json, number, object, text};
use crate::store::Store;

/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Output tokens in one event.
pub const STRIDE: u64 = 5;

/// What a server is and how it works.
#[derive(Debug, Clone)]
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Requests that it runs at once, and that may wait; it turns the others away.
    pub slots: u64,
    pub queue: u64,
    /// Time of a call, or between two events.
    pub work: Duration,
}

/// How brittle a server is.
#[derive(Debug, Clone, Copy)]
pub struct Brittle {
    /// Requests that it may turn away in a second before it falls over.
    pub most: usize,
    /// Requests that wait at most from `after` it said so on.
    pub queue: u64,
    pub after: Duration,
    /// Time until it is back.
    pub back: Duration,
}

/// Requests that run and that wait.
#[derive(Debug, Default)]
struct Work {
    running: u64,
    waiting: u64,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    /// Address of the machine that sent it.
    pub machine: IpAddr,
    pub id: String,
    /// Whether it ran; it was turned away otherwise.
    pub ran: bool,
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    pub plan: Plan,
    pub address: SocketAddr,
    born: AtomicU64,
    work: Mutex<Work>,
    freed: Condvar,
    sequence: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    /// How brittle it is, and since when.
    brittle: Mutex<Option<(Brittle, Instant)>>,
    /// When it fell over.
    falls: Mutex<Vec<Instant>>,
    is_down: AtomicBool,
    /// Requests that it had when it fell over.
    cut: AtomicU64,
}

/// Takes a slot until it is dropped.
struct Slot<'a>(&'a Server);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.work.lock().expect("no panic").running -= 1;
        self.0.freed.notify_one();
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    /// Starts to serve on a free port.
    pub fn open(plan: Plan) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            plan,
            address: listener.local_addr()?,
            born: AtomicU64::new(now_ms()),
            work: Mutex::default(),
            freed: Condvar::new(),
            sequence: AtomicU64::new(0),
            arrivals: Mutex::default(),
            brittle: Mutex::new(None),
            falls: Mutex::default(),
            is_down: AtomicBool::new(false),
            cut: AtomicU64::new(0),
        });
        let served = server.clone();
        let ends = server.clone();
        http::serve_until(
            listener,
            move || ends.is_down.load(Ordering::Acquire),
            move |request, stream| served.handle(request, stream),
        );
        Ok(server)
    }

    /// Is brittle from now on, or no longer.
    pub fn set_brittle(&self, brittle: Option<Brittle>) {
        *self.brittle.lock().expect("no panic") = brittle.map(|b| (b, Instant::now()));
    }

    /// When it fell over.
    pub fn falls(&self) -> Vec<Instant> {
        self.falls.lock().expect("no panic").clone()
    }

    /// Requests that it had when it fell over.
    pub fn cut(&self) -> u64 {
        self.cut.load(Ordering::Acquire)
    }

    /// Waits for a slot; `None` if there is no room.
    fn take_slot(&self) -> Option<Slot<'_>> {
        let brittle = *self.brittle.lock().expect("no panic");
        let queue = match brittle {
            Some((b, since)) if since.elapsed() > b.after => b.queue,
            _ => self.plan.queue,
        };
        let mut work = self.work.lock().expect("no panic");
        if work.running >= self.plan.slots {
            if work.waiting >= queue {
                return None;
            }
            work.waiting += 1;
            while work.running >= self.plan.slots {
                work = self.freed.wait(work).expect("no panic");
            }
            work.waiting -= 1;
        }
        work.running += 1;
        Some(Slot(self))
    }

    /// Falls over if it has turned too many requests away in the last second.
    fn fall_if_due(&self) {
        let Some((brittle, _)) = *self.brittle.lock().expect("no panic") else {
            return;
        };
        let now = Instant::now();
        let second = now - Duration::from_secs(1);
        let arrivals = self.arrivals.lock().expect("no panic");
        let lately = arrivals.iter().rev().take_while(|a| a.at > second);
        let rejected = lately.filter(|a| !a.ran).count();
        drop(arrivals);
        if rejected > brittle.most && !self.is_down.swap(true, Ordering::AcqRel) {
            self.falls.lock().expect("no panic").push(now);
            let work = self.work.lock().expect("no panic");
            self.cut
                .fetch_add(work.running + work.waiting, Ordering::AcqRel);
        }
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Acquire)
    }

    /// Writes its entry.
    pub fn register(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let entry = object(vec![
            ("service", text(self.plan.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text("depot-north")),
            ("version", text("v1")),
            ("slots", number(self.plan.slots as f64)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("sequence", number(sequence as f64)),
            ("born", number(self.born.load(Ordering::Acquire) as f64)),
        ]);
        store.put("servers", &self.plan.id, &entry);
    }

    /// Writes its entry from time to time.
    pub fn beat(self: &Arc<Self>, store: &Arc<Store>) {
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                if !server.is_down() {
                    server.register(&store);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Is back some time after each fall, as another process.
    pub fn recover(self: &Arc<Self>, store: &Arc<Store>, back: Duration) {
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                if !server.is_down() {
                    continue;
                }
                thread::sleep(back);
                let Ok(listener) = TcpListener::bind(server.address) else {
                    continue;
                };
                server.born.store(now_ms(), Ordering::Release);
                server.is_down.store(false, Ordering::Release);
                let (ends, served) = (server.clone(), server.clone());
                http::serve_until(
                    listener,
                    move || ends.is_down.load(Ordering::Acquire),
                    move |request, stream| served.handle(request, stream),
                );
                server.register(&store);
            }
        });
    }

    /// What reached it so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }

    fn record(&self, id: &str, machine: IpAddr, ran: bool) {
        self.arrivals.lock().expect("no panic").push(Arrival {
            at: Instant::now(),
            machine,
            id: id.to_owned(),
            ran,
        });
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let machine = stream.peer_addr()?.ip();
        if request.path() == "/api/report" {
            let running = self.work.lock().expect("no panic").running;
            let report = object(vec![
                ("stage", text("both")),
                ("born", number(self.born.load(Ordering::Acquire) as f64)),
                ("busy", Json::Bool(false)),
                ("queued", number(0)),
                ("active", number(running as f64)),
            ]);
            http::answer(stream, 200, &[], report.to_string().as_bytes())?;
            return Ok(true);
        }
        let Some(id) = request.header("x-poplarreel-attempt-id") else {
            let headers = [("x-poplarreel-not-executed", "1".to_owned())];
            http::answer(stream, 400, &headers, b"")?;
            return Ok(true);
        };
        let expected = request.header("x-poplarreel-expect-instance");
        let not_run = ("x-poplarreel-not-executed", "1".to_owned());
        let echo = ("x-poplarreel-attempt-id", id.to_owned());
        if expected.is_some_and(|expected| expected != self.plan.id) {
            http::answer(stream, 421, &[not_run, echo], b"")?;
            return Ok(true);
        }
        let slot = self.take_slot();
        self.record(id, machine, slot.is_some());
        let load = {
            let work = self.work.lock().expect("no panic");
            let figures = format!("{},{},{}", work.running, work.waiting, self.plan.slots);
            ("x-poplarreel-server-load", figures)
        };
        let mut headers = vec![echo, load];
        if let Some((brittle, _)) = *self.brittle.lock().expect("no panic") {
            headers.push(("server-brittle", brittle.most.to_string()));
        }
        let Some(_slot) = slot else {
            headers.push(not_run);
            self.fall_if_due();
            if self.is_down() {
                return Ok(false);
            }
            http::answer(stream, 503, &headers, b"")?;
            return Ok(true);
        };
        headers.push((
            "x-poplarreel-response-seal",
            format!("{}.{id}", self.plan.id),
        ));
        if self.plan.is_engine {
            return self.stream(request, stream, &headers);
        }
        thread::sleep(self.plan.work);
        if self.is_down() {
            return Ok(false);
        }
        let body = format!("answer to {id} by {}\n", self.plan.id);
        http::answer(stream, 200, &headers, body.as_bytes())?;
        Ok(true)
    }

    /// Answers with as many events as the request allows.
    fn stream(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        headers: &[(&str, String)],
    ) -> std::io::Result<bool> {
        let counts = request.header("x-poplarreel-token-counts").unwrap_or("0,5");
        let output = counts.split(',').nth(1).and_then(|n| n.trim().parse().ok());
        let events = output.unwrap_or(STRIDE) / STRIDE;
        let mut head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n"
            .to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        for n in last.unwrap_or(0) + 1..=events {
            thread::sleep(self.plan.work);
            let event = format!("id: {n}\ndata: {} {n}\n\n", self.plan.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
