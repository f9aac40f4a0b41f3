//! A request on its way to backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use poplar_base::log;
use poplar_core::affinity::Query;
use poplar_core::deployment::{Route, Workspace};
use poplar_core::id::Name;
use poplar_core::poison::Fingerprint;
use poplar_core::retry::{Failure, Refusal as Declined};
use poplar_platform::headers::{self, Head, Order, Reply};
use tokio::time::timeout;

use crate::relay::fleet::Flight;
use crate::relay::purse::Reservation;
use crate::relay::refuse::Refusal;
use crate::relay::state::{Entry, Relay};
use crate::relay::upstream::{self, Link, Unreached};

/// Sends of one request that did not run, beyond those that may have.
const DECLINED: u32 = 2;
/// Part of the time left that an attempt gets where another may follow.
const PATIENCE: f64 = 0.5;
/// Least multiple of the target that an attempt gets.
const TARGETS: f64 = 1.5;
/// How long a server's own answer at its deadline is waited for.
const LATE: Duration = Duration::from_millis(60);
/// Largest answer that is not a stream, in bytes.
const ANSWER: usize = 8 << 20;
/// When to come back where no server is listed or all refuse.
const FULL_AFTER: Duration = Duration::from_millis(250);
/// Failures that a server which refuses connections stands for.
const DEAD: u32 = 3;

/// A request as it came, identified.
#[derive(Debug)]
pub struct Job {
    /// What its headers say.
    pub head: Head,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// The service that serves it.
    pub service: Name,
    /// Output tokens in one event.
    pub stride: u64,
    /// Whose it is; `None` for anonymous routes.
    pub workspace: Option<Workspace>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is due at the latest.
    pub until: Instant,
}

/// The head of an answer, with the rest on its way.
#[derive(Debug)]
pub struct Sent {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// Where it comes from.
    pub flight: Flight,
    /// The connection.
    pub link: Link,
}

/// A request with what came of it so far.
#[derive(Debug)]
pub struct Run {
    /// The request.
    pub job: Job,
    relay: Arc<Relay>,
    reservation: Option<Reservation>,
    print: Fingerprint,
    tried: Vec<Name>,
    last: Option<Name>,
    sends: u32,
    runs: u32,
    /// The last event that the client has.
    pub last_event: Option<u64>,
    output: u64,
    /// A server's failure that is given where no other server does better.
    pub fallback: Option<(response::Parts, Bytes)>,
    /// When its first event came.
    pub first: Option<Instant>,
    /// How it ended; a client that left drops it as it is.
    pub outcome: &'static str,
    _entry: Entry,
}

impl Run {
    /// A request that was not sent yet.
    pub fn new(
        relay: Arc<Relay>,
        job: Job,
        reservation: Option<Reservation>,
        entry: Entry,
    ) -> Self {
        let workspace = job.workspace.as_ref().map_or("", |w| &*w.name);
        let mut content = workspace.as_bytes().to_vec();
        content.extend_from_slice(&job.body);
        Self {
            print: Fingerprint::new(job.uri.path(), &content),
            last_event: job.head.last_event,
            job,
            relay,
            reservation,
            tried: Vec::new(),
            last: None,
            sends: 0,
            runs: 0,
            output: 0,
            fallback: None,
            first: None,
            outcome: "client left",
            _entry: entry,
        }
    }

    /// What is left until its answer is due, a server's own word included.
    pub fn left(&self, now: Instant) -> Duration {
        (self.job.until + LATE).saturating_duration_since(now)
    }

    /// How long an attempt may take to its first sign of life.
    pub fn patience(&self, now: Instant) -> Duration {
        let left = self.left(now);
        let repeats = self.job.route.kind.is_repeatable();
        if !repeats || self.runs + 1 >= self.job.route.max_attempts {
            return left;
        }
        let least = self.job.route.target_latency.mul_f64(TARGETS);
        left.mul_f64(PATIENCE).max(least).min(left)
    }

    /// Notes that an event was passed on.
    pub fn delivered(&mut self, number: Option<u64>) {
        self.last_event = number.or(self.last_event);
        self.output += self.job.stride;
        self.consumed();
    }

    /// Brings the reservation up to date: the prompt counts once.
    fn consumed(&mut self) {
        let (Some(reservation), Some(tokens)) = (&mut self.reservation, self.job.head.tokens)
        else {
            return;
        };
        reservation.used = tokens.prompt + self.output.min(tokens.output);
    }

    /// Sends until the head of an answer comes.
    ///
    /// # Errors
    /// Where it is given up.
    pub async fn send(&mut self) -> Result<Sent, Refusal> {
        loop {
            let now = Instant::now();
            if self.relay.crashes.refuses(self.print, now).is_some() {
                return Err(self.give_up(Failure::Lost, "crashes servers", now));
            }
            let Some(flight) = self.choose(now) else {
                return Err(self.give_up(Failure::Connect, "no server", now));
            };
            let id = flight.server.id.clone();
            match self.attempt(flight).await {
                Ok(sent) => return Ok(sent),
                Err(failure) => self.again(failure, &id)?,
            }
        }
    }

    fn choose(&self, now: Instant) -> Option<Flight> {
        let parts = &self.job.head.parts;
        // The last part is the request's own; nobody shares it.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let ask = Query {
            prompt_id: shared.last().map_or(0, |part| part.id),
            shared_tokens: tokens,
            tried: &self.tried,
            random: rand::random(),
        };
        let reading = self.job.head.tokens.map_or(0, |t| t.prompt);
        let flight = self
            .relay
            .fleet
            .choose(&self.job.service, &ask, reading, now)?;
        log::info("placed")
            .request(&self.job.head.id)
            .with("server", &flight.server.id)
            .with("home", flight.home)
            .with("ahead", flight.ahead as u64)
            .with("shared", tokens)
            .with("prompt", reading)
            .write();
        Some(flight)
    }

    async fn attempt(&mut self, flight: Flight) -> Result<Sent, Failure> {
        self.sends += 1;
        self.last = Some(flight.server.id.clone());
        let connected = upstream::connect(flight.server.address).await;
        let now = Instant::now();
        let (link, mut sender) = match connected {
            Ok(connected) => connected,
            Err(why) => {
                if why == Unreached::Refused {
                    self.relay.crashes.dead(&flight.server.id, now);
                }
                for _ in 0..DEAD {
                    flight.judged(false, now);
                }
                return Err(Failure::Connect);
            }
        };
        if !self.relay.fleet.is_ready(&flight.server) {
            return Err(Failure::Connect);
        }
        let request = self.request(&flight, now).ok_or(Failure::Connect)?;
        let before = self.reservation.as_ref().map(|r| r.used);
        self.consumed();
        let sent = upstream::send(&mut sender, request, self.patience(now)).await;
        let taken = sent.and_then(|answer| self.check(answer, &flight));
        let now = Instant::now();
        match taken {
            Ok((head, body)) => Ok(Sent {
                head,
                body,
                flight,
                link,
            }),
            Err(failure) => {
                flight.judged(false, now);
                if failure.not_run()
                    && let Some(r) = &mut self.reservation
                {
                    r.used = before.unwrap_or(0);
                }
                if failure == Failure::Lost {
                    self.relay.crashes.lost(self.print, &flight.server.id, now);
                }
                Err(failure)
            }
        }
    }

    /// Checks that an answer's head is one to this request.
    fn check(
        &self,
        answer: http::Response<Incoming>,
        flight: &Flight,
    ) -> Result<(response::Parts, Incoming), Failure> {
        let (head, body) = answer.into_parts();
        let reply = Reply::read(&head.headers);
        if let Some(load) = reply.load {
            flight.loaded(load);
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(Failure::Refused(Declined::Leaving));
        }
        if reply.not_run {
            return Err(Failure::Refused(Declined::Full));
        }
        if reply.id.as_ref() != Some(&self.job.head.id) {
            return Err(Failure::Garbled);
        }
        if head.status.is_success() && (!reply.sealed || reply.encoded) {
            return Err(Failure::Garbled);
        }
        // These promise that it has not run, which the server did not say.
        let promises = [408, 429, 503].contains(&head.status.as_u16());
        if promises {
            return Err(Failure::Fault);
        }
        Ok((head, body))
    }

    fn request(&self, flight: &Flight, now: Instant) -> Option<Request<Full<Bytes>>> {
        let route = &self.job.route;
        let workspace = self.job.workspace.as_ref();
        let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
        let order = Order {
            server: &flight.server.id,
            workspace: workspace.map(|w| &*w.name),
            left: self.job.until.saturating_duration_since(now),
            priority: route.kind.is_stream().then_some(priority.min(9)),
            last_event: self.last_event,
            holder: flight.holder,
        };
        if order.left.is_zero() {
            return None;
        }
        let mut request = Request::new(Full::new(self.job.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        *request.headers_mut() = headers::forward(&self.job.headers, &order);
        Some(request)
    }

    /// Notes a failure at a server.
    ///
    /// # Errors
    /// Where it may not be sent again.
    pub fn again(&mut self, failure: Failure, server: &Name) -> Result<(), Refusal> {
        let now = Instant::now();
        self.tried.push(server.clone());
        let not_run = failure.not_run();
        self.runs += u32::from(!not_run);
        log::info("attempt failed")
            .request(&self.job.head.id)
            .with("server", server)
            .reason(failure)
            .with("sends", self.sends)
            .with("runs", self.runs)
            .with("left_ms", self.left(now).as_millis())
            .write();
        let attempts = self.job.route.max_attempts;
        let may = not_run || (self.job.route.kind.is_repeatable() && self.runs < attempts);
        let few = self.sends < attempts + DECLINED;
        if !may || !few || now >= self.job.until {
            return Err(self.give_up(failure, "given up", now));
        }
        if !self.relay.repeat(&self.job.service, now) {
            return Err(self.give_up(failure, "repeats used up", now));
        }
        metrics::counter!("poplar_repeats_total").increment(1);
        Ok(())
    }

    /// The final answer of a request that is sent no more.
    fn give_up(&mut self, failure: Failure, reason: &'static str, now: Instant) -> Refusal {
        self.outcome = reason;
        if self.runs == 0 && failure.not_run() {
            return Refusal::not_run(reason, FULL_AFTER);
        }
        let late = failure == Failure::Timeout || now >= self.job.until;
        let status = if late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Refusal::new(status, reason)
    }

    /// Reads a body that is not a stream.
    ///
    /// # Errors
    /// [`Failure::Lost`] or [`Failure::Timeout`].
    pub async fn collect(&self, body: Incoming) -> Result<Bytes, Failure> {
        let left = self.left(Instant::now());
        let whole = Limited::new(body, ANSWER).collect();
        match timeout(left, whole).await {
            Ok(Ok(whole)) => Ok(whole.to_bytes()),
            Ok(Err(_)) => Err(Failure::Lost),
            Err(_) => Err(Failure::Timeout),
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let took = self.job.arrived.elapsed();
        let first = self.first.unwrap_or_else(Instant::now);
        let first = first.saturating_duration_since(self.job.arrived);
        metrics::histogram!("poplar_request_seconds").record(took);
        metrics::counter!("poplar_requests_total", "outcome" => self.outcome).increment(1);
        let workspace = self.job.workspace.as_ref().map_or("", |w| &*w.name);
        log::info("finished")
            .request(&self.job.head.id)
            .with("route", &self.job.route.name)
            .workspace(workspace)
            .with("outcome", self.outcome)
            .with("sends", self.sends)
            .with("runs", self.runs)
            .with("server", self.last.as_deref().unwrap_or("none"))
            .with("tokens", self.reservation.as_ref().map_or(0, |r| r.used))
            .with("first_ms", first.as_millis())
            .with("took_ms", took.as_millis())
            .write();
    }
}
