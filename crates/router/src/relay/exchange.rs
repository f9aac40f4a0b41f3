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
use poplar_platform::headers::{self, ForwardOptions, RequestHead, ResponseHead};
use tokio::time::timeout;

use crate::relay::budgets::Reservation;
use crate::relay::refusal::Refusal;
use crate::relay::servers::InFlight;
use crate::relay::state::{OpenRequest, Relay};
use crate::relay::upstream::{self, ConnectError, Connection};

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
pub struct ClientRequest {
    /// What its headers say.
    pub head: RequestHead,
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
    pub deadline: Instant,
}

/// The head of an answer, with the rest on its way.
#[derive(Debug)]
pub struct ServerResponse {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// Where it comes from.
    pub in_flight: InFlight,
    /// The connection.
    pub connection: Connection,
}

/// A request with what came of it so far.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub request: ClientRequest,
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
    pub first_event: Option<Instant>,
    /// How it ended; a client that left drops it as it is.
    pub outcome: &'static str,
    _entry: OpenRequest,
}

impl Exchange {
    /// A request that was not sent yet.
    pub fn new(
        relay: Arc<Relay>,
        request: ClientRequest,
        reservation: Option<Reservation>,
        entry: OpenRequest,
    ) -> Self {
        let workspace = request.workspace.as_ref().map_or("", |w| &*w.name);
        let mut content = workspace.as_bytes().to_vec();
        content.extend_from_slice(&request.body);
        Self {
            print: Fingerprint::new(request.uri.path(), &content),
            last_event: request.head.last_event,
            request,
            relay,
            reservation,
            tried: Vec::new(),
            last: None,
            sends: 0,
            runs: 0,
            output: 0,
            fallback: None,
            first_event: None,
            outcome: "client left",
            _entry: entry,
        }
    }

    /// What is left until its answer is due, a server's own word included.
    pub fn time_left(&self, now: Instant) -> Duration {
        (self.request.deadline + LATE).saturating_duration_since(now)
    }

    /// How long an attempt may take to its first sign of life.
    pub fn attempt_timeout(&self, now: Instant) -> Duration {
        let left = self.time_left(now);
        let repeats = self.request.route.kind.is_repeatable();
        if !repeats || self.runs + 1 >= self.request.route.max_attempts {
            return left;
        }
        let least = self.request.route.target_latency.mul_f64(TARGETS);
        left.mul_f64(PATIENCE).max(least).min(left)
    }

    /// Notes that an event was passed on.
    pub fn record_event(&mut self, number: Option<u64>) {
        self.last_event = number.or(self.last_event);
        self.output += self.request.stride;
        self.update_reservation();
    }

    /// Brings the reservation up to date: the prompt counts once.
    fn update_reservation(&mut self) {
        let (Some(reservation), Some(tokens)) = (&mut self.reservation, self.request.head.tokens)
        else {
            return;
        };
        reservation.used = tokens.prompt + self.output.min(tokens.output);
    }

    /// Sends until the head of an answer comes.
    ///
    /// # Errors
    /// Where it is given up.
    pub async fn send(&mut self) -> Result<ServerResponse, Refusal> {
        loop {
            let now = Instant::now();
            if self.relay.crashes.refuses(self.print, now).is_some() {
                return Err(self.give_up(Failure::Lost, "crashes servers", now));
            }
            let Some(in_flight) = self.choose(now) else {
                return Err(self.give_up(Failure::Connect, "no server", now));
            };
            let id = in_flight.server.id.clone();
            match self.attempt(in_flight).await {
                Ok(sent) => return Ok(sent),
                Err(failure) => self.record_failure(failure, &id)?,
            }
        }
    }

    fn choose(&self, now: Instant) -> Option<InFlight> {
        let parts = &self.request.head.prompt_parts;
        // The last part is the request's own; nobody shares it.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let query = Query {
            prompt_id: shared.last().map_or(0, |part| part.id),
            shared_tokens: tokens,
            tried: &self.tried,
            random: rand::random(),
        };
        let reading = self.request.head.tokens.map_or(0, |t| t.prompt);
        let in_flight = self
            .relay
            .servers
            .choose(&self.request.service, &query, reading, now)?;
        log::info("placed")
            .request(&self.request.head.attempt_id)
            .with("server", &in_flight.server.id)
            .with("home", in_flight.home)
            .with("ahead", in_flight.work_ahead as u64)
            .with("shared", tokens)
            .with("prompt", reading)
            .write();
        Some(in_flight)
    }

    async fn attempt(&mut self, in_flight: InFlight) -> Result<ServerResponse, Failure> {
        self.sends += 1;
        self.last = Some(in_flight.server.id.clone());
        let connected = upstream::connect(in_flight.server.address).await;
        let now = Instant::now();
        let (connection, mut sender) = match connected {
            Ok(connected) => connected,
            Err(why) => {
                if why == ConnectError::Refused {
                    self.relay.crashes.dead(&in_flight.server.id, now);
                }
                for _ in 0..DEAD {
                    in_flight.record_outcome(false, now);
                }
                return Err(Failure::Connect);
            }
        };
        if !self.relay.servers.is_ready(&in_flight.server) {
            return Err(Failure::Connect);
        }
        let request = self
            .build_request(&in_flight, now)
            .ok_or(Failure::Connect)?;
        let before = self.reservation.as_ref().map(|r| r.used);
        self.update_reservation();
        let sent = upstream::send(&mut sender, request, self.attempt_timeout(now)).await;
        let taken = sent.and_then(|answer| self.check(answer, &in_flight));
        let now = Instant::now();
        match taken {
            Ok((head, body)) => Ok(ServerResponse {
                head,
                body,
                in_flight,
                connection,
            }),
            Err(failure) => {
                in_flight.record_outcome(false, now);
                if failure.not_run()
                    && let Some(r) = &mut self.reservation
                {
                    r.used = before.unwrap_or(0);
                }
                if failure == Failure::Lost {
                    self.relay
                        .crashes
                        .lost(self.print, &in_flight.server.id, now);
                }
                Err(failure)
            }
        }
    }

    /// Checks that an answer's head is one to this request.
    fn check(
        &self,
        answer: http::Response<Incoming>,
        in_flight: &InFlight,
    ) -> Result<(response::Parts, Incoming), Failure> {
        let (head, body) = answer.into_parts();
        let response = ResponseHead::parse(&head.headers);
        if let Some(load) = response.load {
            in_flight.record_load(load);
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(Failure::Refused(Declined::Leaving));
        }
        if response.not_run {
            return Err(Failure::Refused(Declined::Full));
        }
        if response.attempt_id.as_ref() != Some(&self.request.head.attempt_id) {
            return Err(Failure::Garbled);
        }
        if head.status.is_success() && (!response.sealed || response.encoded) {
            return Err(Failure::Garbled);
        }
        // These promise that it has not run, which the server did not say.
        let promises = [408, 429, 503].contains(&head.status.as_u16());
        if promises {
            return Err(Failure::Fault);
        }
        Ok((head, body))
    }

    fn build_request(&self, in_flight: &InFlight, now: Instant) -> Option<Request<Full<Bytes>>> {
        let route = &self.request.route;
        let workspace = self.request.workspace.as_ref();
        let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
        let options = ForwardOptions {
            server: &in_flight.server.id,
            workspace: workspace.map(|w| &*w.name),
            time_left: self.request.deadline.saturating_duration_since(now),
            priority: route.kind.is_stream().then_some(priority.min(9)),
            last_event: self.last_event,
            fetch_from: in_flight.fetch_from,
        };
        if options.time_left.is_zero() {
            return None;
        }
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = headers::forward_request(&self.request.headers, &options);
        Some(request)
    }

    /// Notes a failure at a server.
    ///
    /// # Errors
    /// Where it may not be sent again.
    pub fn record_failure(&mut self, failure: Failure, server: &Name) -> Result<(), Refusal> {
        let now = Instant::now();
        self.tried.push(server.clone());
        let not_run = failure.not_run();
        self.runs += u32::from(!not_run);
        log::info("attempt failed")
            .request(&self.request.head.attempt_id)
            .with("server", server)
            .reason(failure)
            .with("sends", self.sends)
            .with("runs", self.runs)
            .with("left_ms", self.time_left(now).as_millis())
            .write();
        let attempts = self.request.route.max_attempts;
        let may = not_run || (self.request.route.kind.is_repeatable() && self.runs < attempts);
        let few = self.sends < attempts + DECLINED;
        if !may || !few || now >= self.request.deadline {
            return Err(self.give_up(failure, "given up", now));
        }
        if !self.relay.take_retry(&self.request.service, now) {
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
        let late = failure == Failure::Timeout || now >= self.request.deadline;
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
    pub async fn read_body(&self, body: Incoming) -> Result<Bytes, Failure> {
        let left = self.time_left(Instant::now());
        let whole = Limited::new(body, ANSWER).collect();
        match timeout(left, whole).await {
            Ok(Ok(whole)) => Ok(whole.to_bytes()),
            Ok(Err(_)) => Err(Failure::Lost),
            Err(_) => Err(Failure::Timeout),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let took = self.request.arrived.elapsed();
        let first = self.first_event.unwrap_or_else(Instant::now);
        let first = first.saturating_duration_since(self.request.arrived);
        metrics::histogram!("poplar_request_seconds").record(took);
        metrics::counter!("poplar_requests_total", "outcome" => self.outcome).increment(1);
        let workspace = self.request.workspace.as_ref().map_or("", |w| &*w.name);
        log::info("finished")
            .request(&self.request.head.attempt_id)
            .with("route", &self.request.route.name)
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
