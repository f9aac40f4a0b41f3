//! Answers of engines, passed on event by event.
//!
//! Only whole events are passed on, so that a stream which breaks off can be
//! resumed at another engine, or ends visibly as broken.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use poplar_base::log;
use poplar_core::retry::Failure;
use poplar_platform::headers;
use tokio::time::timeout;

use crate::relay::exchange::{Exchange, ServerResponse};
use crate::relay::handler;
use crate::relay::refusal::{Body, Refusal};
use crate::relay::servers::InFlight;
use crate::relay::sse::{Event, Parser};
use crate::relay::upstream::Connection;

/// Silence in the middle of a stream after which another engine goes on;
/// clients leave after two seconds at the earliest.
const SILENCE: Duration = Duration::from_millis(1200);

/// One engine's part of a stream.
#[derive(Debug)]
struct Source {
    body: Incoming,
    parser: Parser,
    in_flight: InFlight,
    _connection: Connection,
}

impl Source {
    /// The next event; `None` at the end.
    async fn next(&mut self, patience: Duration) -> Result<Option<Event>, Failure> {
        loop {
            if let Some(event) = self.parser.next_event() {
                self.in_flight.record_first_token();
                return Ok(Some(event));
            }
            let frame = match timeout(patience, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(Failure::Lost),
                Ok(None) if self.parser.take_rest().is_empty() => return Ok(None),
                Ok(None) => return Err(Failure::Lost),
                Err(_) => return Err(Failure::Timeout),
            };
            if let Ok(data) = frame.into_data() {
                self.parser.push(&data);
            }
        }
    }
}

/// A stream that is being passed on.
#[derive(Debug)]
struct Passing {
    exchange: Exchange,
    source: Source,
    first: Option<Event>,
    over: bool,
}

/// Serves a request whose answer is a stream.
///
/// # Errors
/// Where it is given up before its first event.
pub async fn serve(mut exchange: Exchange) -> Result<Response<Body>, Refusal> {
    loop {
        let sent = exchange.send().await?;
        let ServerResponse {
            head,
            body,
            in_flight,
            connection,
        } = sent;
        let id = in_flight.server.id.clone();
        if !head.status.is_success() {
            match exchange.read_body(body).await {
                Ok(bytes) => {
                    exchange.outcome = "fault";
                    return Ok(handler::forward_response(head, bytes));
                }
                Err(failure) => exchange.record_failure(failure, &id)?,
            }
            continue;
        }
        let mut source = Source {
            body,
            parser: Parser::default(),
            in_flight,
            _connection: connection,
        };
        match source.next(exchange.attempt_timeout(Instant::now())).await {
            Ok(first) => {
                let now = Instant::now();
                handler::record_first_event(&exchange.request, now);
                exchange.first_event = Some(now);
                let mut response = Response::new(());
                *response.status_mut() = head.status;
                *response.headers_mut() = headers::forward_response(&head.headers);
                let over = first.is_none();
                let passing = Passing {
                    exchange,
                    source,
                    first,
                    over,
                };
                return Ok(response.map(|()| body_of(passing)));
            }
            Err(failure) => {
                source.in_flight.record_outcome(false, Instant::now());
                exchange.record_failure(failure, &id)?;
            }
        }
    }
}

fn body_of(passing: Passing) -> Body {
    let frames = stream::unfold(Some(passing), |passing| async {
        let mut passing = passing?;
        match passing.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(passing))),
            Ok(None) => None,
            Err(why) => Some((Err(why), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Passing {
    /// The next bytes for the client.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first) = self.first.take() {
            self.exchange.record_event(first.number);
            return Ok(Some(first.bytes));
        }
        if self.over {
            return Ok(None);
        }
        loop {
            let left = self.exchange.time_left(Instant::now());
            let resumable = self.exchange.request.route.kind.is_repeatable();
            let patience = if resumable { left.min(SILENCE) } else { left };
            let failure = match self.source.next(patience).await {
                Ok(Some(event)) => match self.order(&event) {
                    Some(true) => {
                        self.exchange.record_event(event.number);
                        return Ok(Some(event.bytes));
                    }
                    // The engine repeats what the client has.
                    Some(false) => continue,
                    None => Failure::Garbled,
                },
                Ok(None) => {
                    self.over = true;
                    self.source.in_flight.record_outcome(true, Instant::now());
                    self.exchange.outcome = "whole";
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            self.resume(failure).await?;
        }
    }

    /// Whether an event is the next one, or one that was passed on; `None`
    /// where one is missing before it.
    fn order(&self, event: &Event) -> Option<bool> {
        let (Some(last), Some(number)) = (self.exchange.last_event, event.number) else {
            return Some(true);
        };
        if number <= last {
            return Some(false);
        }
        (number == last + 1).then_some(true)
    }

    /// Goes on at another engine, or breaks the stream off.
    async fn resume(&mut self, failure: Failure) -> io::Result<()> {
        let in_flight = &self.source.in_flight;
        in_flight.record_outcome(false, Instant::now());
        let id = in_flight.server.id.clone();
        let broken = |refusal: Refusal| io::Error::other(refusal.reason);
        let resumable = self.exchange.request.route.kind.is_repeatable();
        let may = self.exchange.record_failure(failure, &id);
        let may = may.and_then(|()| {
            let numbered = resumable && self.exchange.last_event.is_some();
            let refused = Refusal::new(http::StatusCode::BAD_GATEWAY, "not resumable");
            if numbered { Ok(()) } else { Err(refused) }
        });
        if let Err(refusal) = may {
            self.exchange.outcome = "cut";
            return Err(broken(refusal));
        }
        let sent = self.exchange.send().await.map_err(|refusal| {
            self.exchange.outcome = "cut";
            broken(refusal)
        })?;
        if !sent.head.status.is_success() {
            self.exchange.outcome = "cut";
            return Err(io::Error::other("the stream was not resumed"));
        }
        log::info("stream resumed")
            .request(&self.exchange.request.head.attempt_id)
            .with("server", &sent.in_flight.server.id)
            .with("event", self.exchange.last_event.unwrap_or_default())
            .write();
        self.source = Source {
            body: sent.body,
            parser: Parser::default(),
            in_flight: sent.in_flight,
            _connection: sent.connection,
        };
        Ok(())
    }
}
