//! Forwards the event streams of engines, event by event.
//!
//! Only complete events are forwarded. A stream that breaks off can thus be
//! resumed at another engine after the last event; if it can't, the connection
//! to the client is aborted, so that the client sees that the stream is
//! incomplete. A stream whose engine falls silent moves to another one, and stays if
//! no other one takes it.

mod silence;

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::retry::Failure;
use poplar_platform::headers;
use tokio::time::timeout_at;

use crate::relay::exchange::{EndOfAnswer, Exchange, ServerResponse};
use crate::relay::handler;
use crate::relay::refusal::{Body, Refusal};
use crate::relay::response_memory::Share;
use crate::relay::servers::InFlight;
use crate::relay::sse::{Event, Order, Parser};
use crate::relay::upstream::Connection;

/// Time from the first event of an engine to a later one after which its answer
/// counts as one that does not crash it.
const PROGRESS_TIME: Duration = Duration::from_secs(1);

/// Wait for an event from which on it counts as one that was not there yet, as it is if
/// the client takes events more slowly than the engine sends them.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Why a stream is broken off whose engine answers its resumption with an error.
const RESUME_REFUSED: &str = "the engine refused to resume the stream";

/// The part of a stream that comes from one engine.
#[derive(Debug)]
struct EngineStream {
    body: Incoming,
    parser: Parser,
    /// Counts what the parser keeps.
    memory: Share,
    in_flight: InFlight,
    /// Output tokens in one event.
    stride: u64,
    /// When the first event came.
    began: Option<Instant>,
    /// Whether the answer has gone on for some time since then.
    progressed: bool,
    /// The connection; `None` once it is closed.
    connection: Option<Connection>,
    /// Tells whether the stream is complete when it ends.
    end: EndOfAnswer,
}

impl EngineStream {
    /// The stream that a response consists of.
    fn new(response: ServerResponse, exchange: &Exchange) -> Self {
        let ServerResponse {
            body,
            in_flight,
            connection,
            end,
            ..
        } = response;
        Self {
            body,
            parser: Parser::default(),
            memory: exchange.memory_share(),
            end,
            in_flight,
            stride: exchange.request.stride,
            began: None,
            progressed: false,
            connection: Some(connection),
        }
    }

    /// Records that an event came; returns whether it is the first one that shows
    /// progress.
    fn record_event(&mut self, now: Instant) -> bool {
        let began = *self.began.get_or_insert(now);
        let shows_progress = now >= began + PROGRESS_TIME;
        shows_progress && !std::mem::replace(&mut self.progressed, true)
    }

    /// Closes the connection, so that the engine stops working.
    fn close(&mut self) {
        self.connection = None;
    }

    /// The first event after the one numbered `last`, which the client has; `None` at
    /// the end of the stream. Waits up to `event_timeout` for each event.
    async fn first_after(
        &mut self,
        last: Option<u64>,
        event_timeout: Duration,
    ) -> Result<Option<Event>, Failure> {
        loop {
            let event = self.next(event_timeout).await?;
            match event.as_ref().map(|event| event.order_after(last)) {
                None | Some(Order::Next) => return Ok(event),
                Some(Order::Repeated) => {}
                Some(Order::Gap) => return Err(Failure::Garbled),
            }
        }
    }

    /// The next complete event; `None` at the end of the stream. Waits up to
    /// `event_timeout` for it, and not at all if that is zero.
    async fn next(&mut self, event_timeout: Duration) -> Result<Option<Event>, Failure> {
        // A time-out of zero would still let through what has arrived, and a
        // stream without end would never reach its deadline.
        if event_timeout.is_zero() {
            return Err(Failure::Timeout);
        }
        let until = tokio::time::Instant::now() + event_timeout;
        let asked = Instant::now();
        loop {
            if let Some(event) = self.parser.next_event() {
                // What is left is less than before.
                let _ = self.memory.set(self.parser.kept());
                let now = Instant::now();
                let waited = now >= asked + MIN_WAIT;
                self.in_flight.record_event(self.stride, waited, now);
                self.in_flight.record_output(self.stride);
                return Ok(Some(event));
            }
            let frame = match timeout_at(until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(Failure::Lost),
                Ok(None) if self.parser.take_rest().is_empty() => {
                    let checked = timeout_at(until, self.end.check()).await;
                    return checked.unwrap_or(Err(Failure::Timeout)).map(|()| None);
                }
                Ok(None) => return Err(Failure::Lost),
                Err(_) => return Err(Failure::Timeout),
            };
            if let Ok(data) = frame.into_data() {
                let is_small = self.parser.push(&data);
                if !is_small || !self.memory.set(self.parser.kept()) {
                    return Err(Failure::TooLarge);
                }
            }
        }
    }
}

/// A stream that is being forwarded to the client.
#[derive(Debug)]
struct ForwardedStream {
    exchange: Exchange,
    engine: EngineStream,
    /// The first event, until it is forwarded.
    first: Option<Event>,
    /// Whether the engine has ended the stream.
    ended: bool,
}

/// Why no event comes from an engine.
enum Ending {
    /// The engine failed.
    Failed(Failure),
    /// It was silent, and no other one takes the stream.
    Refused(&'static str),
}

/// Serves a request whose response is a stream.
///
/// # Errors
/// [`Refusal`] if no attempt is left and no event has come yet.
pub async fn serve(mut exchange: Exchange) -> Result<Response<Body>, Refusal> {
    loop {
        let response = exchange.send().await?;
        let server = response.in_flight.server.clone();
        if !response.head.status.is_success() {
            let ServerResponse {
                head,
                body,
                in_flight,
                end,
                ..
            } = response;
            match exchange.read_body(body, end, &in_flight).await {
                Ok(bytes) => {
                    exchange.outcome = "fault";
                    exchange.record_answer(head.status);
                    return Ok(handler::forward_response(head, bytes));
                }
                Err(failure) => exchange.record_failure(failure, &server)?,
            }
            continue;
        }
        let mut forwarded = Response::new(());
        *forwarded.status_mut() = response.head.status;
        *forwarded.headers_mut() = headers::forward_response(&response.head.headers);
        let mut engine = EngineStream::new(response, &exchange);
        let left = exchange.time_left(Instant::now());
        let first = engine.first_after(exchange.last_event, left);
        match exchange.outlast(&server, first).await {
            Ok(first) => {
                let now = Instant::now();
                handler::record_first_event(&exchange.request, now);
                exchange.first_event = Some(now);
                let ended = first.is_none();
                let stream = ForwardedStream {
                    exchange,
                    engine,
                    first,
                    ended,
                };
                return Ok(forwarded.map(|()| response_body(stream)));
            }
            Err(failure) => {
                engine.in_flight.record_outcome(false, Instant::now());
                exchange.record_failure(failure, &server)?;
            }
        }
    }
}

fn response_body(stream: ForwardedStream) -> Body {
    let frames = stream::unfold(Some(stream), |stream| async {
        let mut stream = stream?;
        match stream.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(stream))),
            Ok(None) => None,
            Err(why) => Some((Err(why), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl ForwardedStream {
    /// The next event for the client; `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first) = self.first.take() {
            let now = Instant::now();
            self.engine.record_event(now);
            let server = &self.engine.in_flight.server;
            self.exchange.record_begun(server, now);
            self.exchange.record_event(&first);
            return Ok(Some(first.bytes));
        }
        if self.ended {
            return Ok(None);
        }
        loop {
            let failure = match self.next_event().await {
                Ok(Some(event)) => match event.order_after(self.exchange.last_event) {
                    Order::Next => {
                        self.exchange.record_event(&event);
                        let now = Instant::now();
                        if self.engine.record_event(now) {
                            self.exchange.record_progress(now);
                        }
                        return Ok(Some(event.bytes));
                    }
                    Order::Repeated => continue,
                    Order::Gap => Failure::Garbled,
                },
                Ok(None) => {
                    self.ended = true;
                    let now = Instant::now();
                    self.engine.in_flight.record_outcome(true, now);
                    self.exchange
                        .record_stream_cost(&self.engine.in_flight, now);
                    self.exchange.outcome = "whole";
                    self.exchange.record_whole();
                    self.exchange.record_answer(StatusCode::OK);
                    return Ok(None);
                }
                Err(Ending::Failed(failure)) => failure,
                Err(Ending::Refused(reason)) => {
                    self.exchange.outcome = "cut";
                    return Err(io::Error::other(reason));
                }
            };
            self.resume(failure).await?;
        }
    }

    /// Resumes the stream at another engine; an error aborts the stream.
    async fn resume(&mut self, failure: Failure) -> io::Result<()> {
        let in_flight = &self.engine.in_flight;
        in_flight.record_outcome(false, Instant::now());
        let server = in_flight.server.clone();
        let abort = |refusal: Refusal| io::Error::other(refusal.reason);
        let resumable = self.exchange.request.route.kind.is_repeatable();
        let allowed = self.exchange.record_failure(failure, &server);
        let allowed = allowed.and_then(|()| {
            let can_resume = resumable && self.exchange.last_event.is_some();
            let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "not resumable");
            if can_resume { Ok(()) } else { Err(refusal) }
        });
        if let Err(refusal) = allowed {
            self.exchange.outcome = "cut";
            return Err(abort(refusal));
        }
        let response = self.exchange.send().await.map_err(|refusal| {
            self.exchange.outcome = "cut";
            abort(refusal)
        })?;
        if !response.head.status.is_success() {
            self.exchange.outcome = "cut";
            return Err(io::Error::other(RESUME_REFUSED));
        }
        self.continue_at(response, &server);
        Ok(())
    }

    /// Continues the stream with the answer of another engine than the one `before`.
    fn continue_at(&mut self, response: ServerResponse, before: &Server) {
        log::info("stream resumed")
            .request(&self.exchange.request.head.attempt_id)
            .with("server", &response.in_flight.server.id)
            .with("software", &response.in_flight.server.software)
            .with("started_ms", response.in_flight.server.started_ms)
            .with("before", &before.software)
            .with("event", self.exchange.last_event.unwrap_or_default())
            .write();
        self.engine = EngineStream::new(response, &self.exchange);
    }
}
