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

use crate::relay::events::{Event, Reader};
use crate::relay::fleet::Flight;
use crate::relay::flow;
use crate::relay::refuse::{Body, Refusal};
use crate::relay::run::{Run, Sent};
use crate::relay::upstream::Link;

/// Silence in the middle of a stream after which another engine goes on;
/// clients leave after two seconds at the earliest.
const SILENCE: Duration = Duration::from_millis(1200);

/// One engine's part of a stream.
#[derive(Debug)]
struct Source {
    body: Incoming,
    reader: Reader,
    flight: Flight,
    _link: Link,
}

impl Source {
    /// The next event; `None` at the end.
    async fn next(&mut self, patience: Duration) -> Result<Option<Event>, Failure> {
        loop {
            if let Some(event) = self.reader.take() {
                self.flight.read();
                return Ok(Some(event));
            }
            let frame = match timeout(patience, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(Failure::Lost),
                Ok(None) if self.reader.rest().is_empty() => return Ok(None),
                Ok(None) => return Err(Failure::Lost),
                Err(_) => return Err(Failure::Timeout),
            };
            if let Ok(data) = frame.into_data() {
                self.reader.push(&data);
            }
        }
    }
}

/// A stream that is being passed on.
#[derive(Debug)]
struct Passing {
    run: Run,
    source: Source,
    first: Option<Event>,
    over: bool,
}

/// Serves a request whose answer is a stream.
///
/// # Errors
/// Where it is given up before its first event.
pub async fn serve(mut run: Run) -> Result<Response<Body>, Refusal> {
    loop {
        let sent = run.send().await?;
        let Sent {
            head,
            body,
            flight,
            link,
        } = sent;
        let id = flight.server.id.clone();
        if !head.status.is_success() {
            match run.collect(body).await {
                Ok(bytes) => {
                    run.outcome = "fault";
                    return Ok(flow::passed(head, bytes));
                }
                Err(failure) => run.again(failure, &id)?,
            }
            continue;
        }
        let mut source = Source {
            body,
            reader: Reader::default(),
            flight,
            _link: link,
        };
        match source.next(run.patience(Instant::now())).await {
            Ok(first) => {
                let now = Instant::now();
                flow::first(&run.job, now);
                run.first = Some(now);
                let mut response = Response::new(());
                *response.status_mut() = head.status;
                *response.headers_mut() = headers::backward(&head.headers);
                let over = first.is_none();
                let passing = Passing {
                    run,
                    source,
                    first,
                    over,
                };
                return Ok(response.map(|()| body_of(passing)));
            }
            Err(failure) => {
                source.flight.judged(false, Instant::now());
                run.again(failure, &id)?;
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
            self.run.delivered(first.number);
            return Ok(Some(first.bytes));
        }
        if self.over {
            return Ok(None);
        }
        loop {
            let left = self.run.left(Instant::now());
            let resumable = self.run.job.route.kind.is_repeatable();
            let patience = if resumable { left.min(SILENCE) } else { left };
            let failure = match self.source.next(patience).await {
                Ok(Some(event)) => match self.order(&event) {
                    Some(true) => {
                        self.run.delivered(event.number);
                        return Ok(Some(event.bytes));
                    }
                    // The engine repeats what the client has.
                    Some(false) => continue,
                    None => Failure::Garbled,
                },
                Ok(None) => {
                    self.over = true;
                    self.source.flight.judged(true, Instant::now());
                    self.run.outcome = "whole";
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
        let (Some(last), Some(number)) = (self.run.last_event, event.number) else {
            return Some(true);
        };
        if number <= last {
            return Some(false);
        }
        (number == last + 1).then_some(true)
    }

    /// Goes on at another engine, or breaks the stream off.
    async fn resume(&mut self, failure: Failure) -> io::Result<()> {
        let flight = &self.source.flight;
        flight.judged(false, Instant::now());
        let id = flight.server.id.clone();
        let broken = |refusal: Refusal| io::Error::other(refusal.reason);
        let resumable = self.run.job.route.kind.is_repeatable();
        let may = self.run.again(failure, &id);
        let may = may.and_then(|()| {
            let numbered = resumable && self.run.last_event.is_some();
            let refused = Refusal::new(http::StatusCode::BAD_GATEWAY, "not resumable");
            if numbered { Ok(()) } else { Err(refused) }
        });
        if let Err(refusal) = may {
            self.run.outcome = "cut";
            return Err(broken(refusal));
        }
        let sent = self.run.send().await.map_err(|refusal| {
            self.run.outcome = "cut";
            broken(refusal)
        })?;
        if !sent.head.status.is_success() {
            self.run.outcome = "cut";
            return Err(io::Error::other("the stream was not resumed"));
        }
        log::info("stream resumed")
            .request(&self.run.job.head.id)
            .with("server", &sent.flight.server.id)
            .with("event", self.run.last_event.unwrap_or_default())
            .write();
        self.source = Source {
            body: sent.body,
            reader: Reader::default(),
            flight: sent.flight,
            _link: sent.link,
        };
        Ok(())
    }
}
