//! Streams whose engine falls silent.
//!
//! The stream moves to another engine, which may refuse it. The silent one therefore
//! keeps it until the other has begun to answer, but not for long: two engines may not
//! both work on it. If the silent one goes on meanwhile, or no other takes the stream,
//! it stays.

use std::pin::pin;
use std::time::{Duration, Instant};

use poplar_core::deployment::Server;
use poplar_core::retry::Failure;
use tokio::time::sleep;

use super::{Ending, ForwardedStream, RESUME_REFUSED};
use crate::relay::exchange::CHECK_INTERVAL;
use crate::relay::sse::Event;

/// Time without an event after which a resumable stream moves to another engine, if
/// that is possible. Clients give up after two seconds at the earliest.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which a silent engine keeps a stream after it was sent to another one.
const OVERLAP: Duration = Duration::from_millis(250);

/// Whether a stream moved away from a silent engine.
enum Move {
    /// It goes on at the other one.
    Done,
    /// The other one did not take it.
    Refused,
    /// The silent one went on: its next event, or `None` at the end of the stream.
    NotNeeded(Option<Event>),
}

impl ForwardedStream {
    /// The next event; `None` at the end of the stream. Moves to another engine if
    /// this one is silent.
    ///
    /// # Errors
    /// [`Ending`] if none comes.
    pub(super) async fn next_event(&mut self) -> Result<Option<Event>, Ending> {
        loop {
            let left = self.exchange.time_left(Instant::now());
            let is_resumable = self.exchange.request.route.kind.is_repeatable();
            let event_timeout = if is_resumable {
                left.min(EVENT_TIMEOUT)
            } else {
                left
            };
            match self.engine.next(event_timeout).await {
                Err(Failure::Timeout) if is_resumable => {}
                event => return event.map_err(Ending::Failed),
            }
            if let Some(event) = self.outlast_silence().await? {
                return Ok(event);
            }
        }
    }

    /// Waits for a silent engine until the stream can move to another one. Returns its
    /// next event; `None` if the stream has moved.
    async fn outlast_silence(&mut self) -> Result<Option<Option<Event>>, Ending> {
        let silent = self.engine.in_flight.server.clone();
        let mut dead = pin!(self.exchange.found_dead(&silent));
        loop {
            let now = Instant::now();
            let left = self.exchange.time_left(now);
            if left.is_zero() {
                return Err(Ending::Failed(Failure::Timeout));
            }
            if self.exchange.last_event.is_some() && self.exchange.reserve_retry(&silent, now) {
                match self.try_move(&silent).await? {
                    Move::Done => return Ok(None),
                    Move::NotNeeded(event) => return Ok(Some(event)),
                    Move::Refused => {}
                }
            }
            let event = tokio::select! {
                event = self.engine.next(left.min(CHECK_INTERVAL)) => event,
                () = &mut dead => Err(Failure::Lost),
            };
            match event {
                Err(Failure::Timeout) => {}
                event => return event.map(Some).map_err(Ending::Failed),
            }
        }
    }

    /// Sends the stream to the engine that is reserved, and leaves the silent one once
    /// the other has begun to answer or has had the request for [`OVERLAP`].
    async fn try_move(&mut self, silent: &Server) -> Result<Move, Ending> {
        let sent = self.exchange.begin_move(silent);
        let left = self.exchange.time_left(Instant::now());
        let mut was_sent = false;
        let mut was_left = false;
        let response = {
            let mut response = pin!(self.exchange.send());
            loop {
                tokio::select! {
                    biased;
                    event = self.engine.next(left), if !was_left => match event {
                        Ok(event) => break Err(event),
                        // Only the other engine is left.
                        Err(_) => was_left = true,
                    },
                    response = &mut response => break Ok(response),
                    () = sent.notified(), if !was_sent => was_sent = true,
                    () = sleep(OVERLAP), if was_sent && !was_left => {
                        self.engine.close();
                        was_left = true;
                    }
                }
            }
        };
        let now = Instant::now();
        let refused = match response {
            Err(event) => {
                self.exchange.record_stayed(silent, was_sent, now);
                return Ok(Move::NotNeeded(event));
            }
            Ok(Ok(response)) if response.head.status.is_success() => {
                self.engine.in_flight.record_outcome(false, now);
                self.exchange.record_moved(silent, now);
                self.continue_at(response, silent);
                return Ok(Move::Done);
            }
            Ok(Ok(_)) => RESUME_REFUSED,
            Ok(Err(refusal)) => refusal.reason,
        };
        if was_left {
            return Err(Ending::Refused(refused));
        }
        self.exchange.record_stayed(silent, false, now);
        Ok(Move::Refused)
    }
}
