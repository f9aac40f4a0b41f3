//! A client's request and the attempts to have it served.
//!
//! An [`Exchange`] sends the request to one backend server after another until
//! a response comes or no further attempt is allowed. It keeps the token
//! reservation up to date and logs the outcome when it is dropped.

mod body;
mod choice;
mod connect;
mod cost;
mod silence;
mod unavailable;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode, response};
use http_body_util::Full;
use hyper::body::Incoming;
use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_core::retry::{Failure, Refusal as ServerRefusal};
use poplar_core::software::Begun;
use poplar_platform::headers::{self, ForwardOptions, ResponseHead};
use tokio::sync::Notify;

pub use self::body::EndOfAnswer;
pub use self::silence::CHECK_INTERVAL;

use crate::relay::budgets::{Reservation, format_lender};
use crate::relay::capacity::PACKET_BYTES;
use crate::relay::crashes::Evidence;
use crate::relay::refusal::Refusal;
use crate::relay::request::{CRASHES_SERVERS, ClientRequest, format_resource};
use crate::relay::servers::InFlight;
use crate::relay::sse::Event;
use crate::relay::state::{OpenRequest, Relay};
use crate::relay::upstream::{self, Connection, Framing};

/// Sends of a request allowed beyond its route's attempts. Only sends that may
/// have run count as attempts, so that these are for sends that did not run.
const EXTRA_SENDS: u32 = 2;
/// Time after the deadline in which a response that the server sends at the
/// deadline is still accepted.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);
/// When the client should retry if no server is listed or all refuse.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Outcome of an exchange that the client ends by closing the connection.
const CLIENT_LEFT: &str = "client left";
/// Silence of a server after which the client's leaving counts as a time-out:
/// clients leave because nothing comes.
const SUSPICIOUS_SILENCE: Duration = Duration::from_secs(1);

/// The response of a server, of which the head has been received.
#[derive(Debug)]
pub struct ServerResponse {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The request at its server.
    pub in_flight: InFlight,
    /// The connection, which the body still needs.
    pub connection: Connection,
    /// Tells whether the answer is complete when its body ends.
    pub end: EndOfAnswer,
}

/// A request and the state of the attempts to have it served.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub request: ClientRequest,
    relay: Arc<Relay>,
    reservation: Option<Reservation>,
    /// Servers that failed.
    tried: Vec<Name>,
    /// The server of the last send.
    last_server: Option<Name>,
    /// The server that has the request, and when it last sent something.
    awaited: Option<(Server, Instant)>,
    /// Sends so far.
    sends: u32,
    /// Sends that failed after the request may have run.
    runs: u32,
    /// When the retry that comes next was taken from the budget.
    retry_taken: Option<Instant>,
    /// The server of the retry that comes next, if it was chosen before the attempt
    /// was given up.
    reserved: Option<InFlight>,
    /// Notified when the request is sent to a server.
    sent: Arc<Notify>,
    /// Number of the last event that was forwarded to the client.
    pub last_event: Option<u64>,
    /// Output tokens forwarded so far.
    output: u64,
    /// Bytes of the answer forwarded so far, with the headers of packets.
    answer_bytes: usize,
    /// A server's error response, which is forwarded if no other server
    /// succeeds.
    pub fallback: Option<(response::Parts, Bytes)>,
    /// When the first event of a stream came.
    pub first_event: Option<Instant>,
    /// What ends the last answer that a server began.
    framing: Framing,
    /// How the exchange ended. It keeps its initial value if the client closes
    /// the connection, which drops the exchange.
    pub outcome: &'static str,
    open: OpenRequest,
}

impl Exchange {
    /// An exchange for a request that has not been sent yet.
    pub fn new(
        relay: Arc<Relay>,
        request: ClientRequest,
        reservation: Option<Reservation>,
        open: OpenRequest,
    ) -> Self {
        Self {
            last_event: request.head.last_event,
            request,
            relay,
            reservation,
            tried: Vec::new(),
            last_server: None,
            awaited: None,
            sends: 0,
            runs: 0,
            retry_taken: None,
            reserved: None,
            sent: Arc::default(),
            output: 0,
            answer_bytes: 0,
            fallback: None,
            first_event: None,
            framing: Framing::None,
            outcome: CLIENT_LEFT,
            open,
        }
    }

    /// Time left until the exchange is given up, shortly after the deadline so
    /// that the server's own response at the deadline still arrives.
    pub fn time_left(&self, now: Instant) -> Duration {
        (self.request.deadline + DEADLINE_MARGIN).saturating_duration_since(now)
    }

    /// Records that a server began the stream: it goes on only at that version of the
    /// software.
    pub fn record_begun(&mut self, server: &Server, now: Instant) {
        let request = &mut self.request;
        request.software = Some(server.software.clone());
        if request.route.kind.is_repeatable() && !request.is_resumption() {
            let begun = Begun {
                service: server.service.clone(),
                software: server.software.clone(),
                at: now,
            };
            let streams = &self.relay.streams;
            streams.record_begun(&request.head.attempt_id, begun);
        }
    }

    /// Records that the stream is complete.
    pub fn record_whole(&self) {
        let head = &self.request.head;
        let began = head.resumes.as_ref().unwrap_or(&head.attempt_id);
        self.relay.streams.record_whole(began);
    }

    /// Records that this many bytes of an answer are forwarded in one piece.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.answer_bytes += bytes + PACKET_BYTES;
    }

    /// Records that an event was forwarded.
    pub fn record_event(&mut self, event: &Event) {
        self.record_bytes(event.bytes.len());
        self.last_event = event.number.or(self.last_event);
        self.output += self.request.stride;
        if let Some((_, heard)) = &mut self.awaited {
            *heard = Instant::now();
        }
        self.update_reservation();
    }

    /// Updates the tokens used of the reservation; the prompt counts once,
    /// however often it is sent.
    fn update_reservation(&mut self) {
        let (Some(reservation), Some(tokens)) = (&mut self.reservation, self.request.head.tokens)
        else {
            return;
        };
        reservation.used = tokens.prompt + self.output.min(tokens.output);
    }

    /// Sends the request to servers until one returns the head of a valid
    /// response.
    ///
    /// # Errors
    /// [`Refusal`] for the client if no further attempt is allowed.
    pub async fn send(&mut self) -> Result<ServerResponse, Refusal> {
        loop {
            let now = Instant::now();
            if !self.request.on_trial && self.request.crashes_servers(&self.relay, now) {
                return Err(self.give_up(Failure::Lost, CRASHES_SERVERS, now));
            }
            let reserved = self.reserved.take();
            let in_flight = match reserved.map_or_else(|| self.choose(now), Ok) {
                Ok(in_flight) => in_flight,
                Err(why) => return Err(self.refuse_unavailable(why, now)),
            };
            let server = in_flight.server.clone();
            match self.attempt(in_flight).await {
                Ok(response) => return Ok(response),
                Err(failure) => self.record_failure(failure, &server)?,
            }
        }
    }

    async fn attempt(&mut self, mut in_flight: InFlight) -> Result<ServerResponse, Failure> {
        self.sends += 1;
        self.last_server = Some(in_flight.server.id.clone());
        let (connection, mut sender) = self.connect(&in_flight).await?;
        let now = Instant::now();
        let servers = &self.relay.servers;
        if !servers.is_open(&in_flight.server, Instant::now()) {
            return Err(Failure::Connect);
        }
        let request = self
            .build_request(&in_flight, now)
            .ok_or(Failure::Connect)?;
        let used_before = self.reservation.as_ref().map(|r| r.used);
        self.update_reservation();
        self.awaited = Some((in_flight.server.clone(), now));
        if let Some(taken) = self.retry_taken.take() {
            self.relay
                .record_retry_sent(&self.request.service, taken, now);
        }
        self.open.record_sent();
        connection.upload.set_length(self.request.body.len());
        in_flight.record_sent(now);
        self.sent.notify_one();
        let head = upstream::send(&mut sender, request, self.time_left(now));
        let received = self.outlast(&in_flight.server, head).await;
        let checked = received.and_then(|received| self.check(received, &in_flight));
        let now = Instant::now();
        match checked {
            Ok((head, body)) => {
                self.framing = Framing::of(&head);
                let upload = connection.upload.clone();
                Ok(ServerResponse {
                    end: self.end_of_answer(self.framing, upload, &in_flight.server),
                    head,
                    body,
                    in_flight,
                    connection,
                })
            }
            Err(failure) => {
                in_flight.record_outcome(false, now);
                if failure.not_run()
                    && let Some(r) = &mut self.reservation
                {
                    r.used = used_before.unwrap_or(0);
                }
                Err(failure)
            }
        }
    }

    /// Records that a server stopped answering while it had the request.
    fn suspect(&self, server: &Server, failure: Failure, now: Instant) {
        let listing = self.relay.servers.listing(server);
        self.relay
            .crashes
            .suspect(&self.request.features, server, listing, failure, now);
    }

    /// Records that a server answered the request completely. An error of the
    /// server does not show that the request is harmless.
    pub fn record_answer(&mut self, status: StatusCode) {
        self.awaited = None;
        if !status.is_server_error() {
            let crashes = &self.relay.crashes;
            crashes.record_answer(&self.request.features, Instant::now());
        }
    }

    /// Records that a server has gone on with its answer for some time.
    pub fn record_progress(&self, now: Instant) {
        let crashes = &self.relay.crashes;
        crashes.record_progress(&self.request.features, now);
    }

    /// Checks that a response belongs to this request and is valid, and records
    /// the load that it reports.
    fn check(
        &self,
        received: http::Response<Incoming>,
        in_flight: &InFlight,
    ) -> Result<(response::Parts, Incoming), Failure> {
        let (head, body) = received.into_parts();
        let response = ResponseHead::parse(&head.headers);
        if let Some(load) = response.load {
            in_flight.record_load(load, Instant::now());
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            let now = Instant::now();
            let crashes = &self.relay.crashes;
            crashes.record_dead_server(&in_flight.server, Evidence::Replaced, now);
            return Err(Failure::Refused(ServerRefusal::Leaving));
        }
        let is_own = response.attempt_id.as_ref() == Some(&self.request.head.attempt_id);
        if is_own || response.not_run {
            let now = Instant::now();
            if response.load_invalid {
                in_flight.log_invalid("server-load");
            }
            in_flight.record_limit(response.limit, now);
            in_flight.record_cold(response.cold, now);
            let is_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE;
            in_flight.record_notices(response.leaving, response.pause, is_refusal, now);
        }
        if response.not_run {
            return Err(Failure::Refused(ServerRefusal::Full));
        }
        if !is_own {
            return Err(Failure::Garbled);
        }
        if head.status.is_success() && (!response.sealed || response.encoded) {
            return Err(Failure::Garbled);
        }
        // To the client these statuses mean that the request has not run, which
        // the server did not state.
        let means_not_run = [408, 429, 503].contains(&head.status.as_u16());
        if means_not_run {
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

    /// Records a failed attempt and takes a retry from the budget of the
    /// service.
    ///
    /// # Errors
    /// [`Refusal`] for the client if the request may not be sent again.
    pub fn record_failure(&mut self, failure: Failure, server: &Server) -> Result<(), Refusal> {
        let now = Instant::now();
        self.awaited = None;
        self.tried.push(server.id.clone());
        let not_run = failure.not_run();
        self.runs += u32::from(!not_run);
        log::info("attempt failed")
            .request(&self.request.head.attempt_id)
            .with("content", self.request.features.content)
            .with("resource", format_resource(&self.request.features))
            .with("parts", self.request.head.shared_parts())
            .with("server", &server.id)
            .reason(failure)
            .with("output", self.output)
            .with("sends", self.sends)
            .with("runs", self.runs)
            .with("left_ms", self.time_left(now).as_millis())
            .write();
        if matches!(failure, Failure::Lost | Failure::Timeout) {
            self.suspect(server, failure, now);
        }
        let attempts = self.request.route.max_attempts;
        let may_repeat = self.request.route.kind.is_repeatable() && !self.request.on_trial;
        let may_retry = not_run || (may_repeat && self.runs < attempts);
        let sends_left = self.sends < attempts + EXTRA_SENDS;
        if !may_retry || !sends_left || now >= self.request.deadline {
            return Err(self.give_up(failure, "given up", now));
        }
        if self.reserved.is_none() && !self.take_retry(now) {
            return Err(self.give_up(failure, "repeats used up", now));
        }
        Ok(())
    }

    /// Takes the retry that comes next from the budget of the service; false if that
    /// is used up.
    fn take_retry(&mut self, now: Instant) -> bool {
        let is_taken = self.relay.take_retry(&self.request.service, now);
        if is_taken {
            self.retry_taken = Some(now);
            metrics::counter!("poplar_repeats_total").increment(1);
        }
        is_taken
    }

    /// Ends the exchange; returns the response for the client.
    fn give_up(&mut self, failure: Failure, reason: &'static str, now: Instant) -> Refusal {
        self.outcome = reason;
        if self.runs == 0 && failure.not_run() {
            return Refusal::not_run(reason, UNAVAILABLE_RETRY_AFTER);
        }
        let timed_out = failure == Failure::Timeout || now >= self.request.deadline;
        let status = if timed_out {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Refusal::new(status, reason)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some((server, heard)) = self.awaited.take()
            && now > heard + SUSPICIOUS_SILENCE
        {
            self.suspect(&server, Failure::Timeout, now);
        }
        if self.answer_bytes > 0 {
            let route = &self.request.route.name;
            self.relay.capacity.record_answer(route, self.answer_bytes);
        }
        let took = self.request.arrived.elapsed();
        let first = self.first_event.unwrap_or_else(Instant::now);
        let first = first.saturating_duration_since(self.request.arrived);
        metrics::histogram!("poplar_request_seconds").record(took);
        metrics::counter!("poplar_requests_total", "outcome" => self.outcome).increment(1);
        let workspace = self.request.workspace.as_ref().map_or("", |w| &*w.name);
        log::info("request finished")
            .request(&self.request.head.attempt_id)
            .with("route", &self.request.route.name)
            .with("parts", self.request.head.shared_parts())
            .workspace(workspace)
            .with("outcome", self.outcome)
            .with("sends", self.sends)
            .with("runs", self.runs)
            .with("server", self.last_server.as_deref().unwrap_or("none"))
            .with("tokens", self.reservation.as_ref().map_or(0, |r| r.used))
            .with("lender", format_lender(self.reservation.as_ref()))
            .with("event", self.last_event.unwrap_or_default())
            .with("framing", self.framing.label())
            .with("first_ms", first.as_millis())
            .with("took_ms", took.as_millis())
            .write();
    }
}
