//! What an exchange keeps of answers until it can forward it.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_core::retry::Failure;
use tokio::time::{sleep, timeout};

use super::Exchange;
use crate::relay::identity::{self, Identity};
use crate::relay::response_memory::Share;
use crate::relay::servers::InFlight;
use crate::relay::state::Relay;
use crate::relay::upload::Upload;
use crate::relay::upstream::Framing;

/// Pause after a server did not say which process it is.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Tells whether an answer whose body has ended is complete.
#[derive(Debug, Clone)]
pub struct EndOfAnswer {
    relay: Arc<Relay>,
    request: Name,
    server: Server,
    framing: Framing,
    upload: Upload,
    /// The process of an engine that answered while the body was still open.
    process: Arc<OnceLock<Identity>>,
}

impl EndOfAnswer {
    /// Checks that a body that has ended is complete. The end of a connection alone
    /// does not show that: it may have been reset while the request was written, and the
    /// connections of a process that is killed end in order.
    ///
    /// # Errors
    /// [`Failure::Lost`] if the request was not written as a whole, or its server has
    /// ended, too. Waits for as long as that is not known.
    pub async fn check(&self) -> Result<(), Failure> {
        if self.framing != Framing::Connection {
            return Ok(());
        }
        let event = if !self.upload.is_whole() {
            "answer ended before its request"
        } else if self.runs().await {
            return Ok(());
        } else {
            "answer ended with its server"
        };
        log::info(event)
            .request(&self.request)
            .with("server", &self.server.id)
            .with("started_ms", self.server.started_ms)
            .write();
        Err(Failure::Lost)
    }

    /// Whether the process that began the answer still runs.
    async fn runs(&self) -> bool {
        if !self.relay.is_engine(&self.server.service) {
            return identity::accepts(&self.relay, &self.server).await;
        }
        let began = self.process.get().copied();
        let mut was_unknown = false;
        loop {
            match self.current().await {
                // It was listed before the request was sent.
                Identity::Listed => return true,
                // One that was not there at once may be another one by now.
                Identity::Unstated => return !was_unknown,
                now @ Identity::Other(_) => return began == Some(now),
                Identity::Misdirected | Identity::Ended => return false,
                Identity::Unknown if identity::is_replaced(&self.relay, &self.server) => {
                    return false;
                }
                Identity::Unknown => {
                    was_unknown = true;
                    sleep(ASK_AGAIN_AFTER).await;
                }
            }
        }
    }

    async fn current(&self) -> Identity {
        identity::current(&self.relay, &self.server, &self.request).await
    }
}

impl Exchange {
    /// How to tell whether an answer that a server has begun is complete.
    pub(super) fn end_of_answer(
        &self,
        framing: Framing,
        upload: Upload,
        server: &Server,
    ) -> EndOfAnswer {
        let end = EndOfAnswer {
            relay: self.relay.clone(),
            request: self.request.head.attempt_id.clone(),
            server: server.clone(),
            framing,
            upload,
            process: Arc::default(),
        };
        let may_be_unlisted = framing == Framing::Connection && !self.depends_on_version();
        if may_be_unlisted && self.relay.is_engine(&server.service) {
            // The list may not show yet that another process runs.
            let begun = end.clone();
            tokio::spawn(async move {
                let identity = begun.current().await;
                let _ = begun.process.set(identity);
            });
        }
        end
    }

    /// Counts the memory of an answer.
    pub fn memory_share(&self) -> Share {
        self.relay.response_memory.share()
    }

    /// Reads the complete body of a response that is not a stream.
    ///
    /// # Errors
    /// [`Failure`] if the connection fails, or the body is too large or not
    /// complete in time. It counts against the health of the server.
    pub async fn read_body(
        &self,
        body: Incoming,
        end: EndOfAnswer,
        server: &InFlight,
    ) -> Result<Bytes, Failure> {
        let left = self.time_left(Instant::now());
        let complete = async {
            let bytes = self.relay.response_memory.collect(body).await?;
            end.check().await.map(|()| bytes)
        };
        let collected = timeout(left, complete).await;
        let collected = collected.unwrap_or(Err(Failure::Timeout));
        if collected.is_err() {
            server.record_outcome(false, Instant::now());
        }
        collected
    }
}
