//! What an exchange keeps of answers until it can forward it.

use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use poplar_core::retry::Failure;
use tokio::time::timeout;

use super::Exchange;
use crate::relay::response_memory::Share;
use crate::relay::servers::InFlight;

impl Exchange {
    /// Counts the memory of an answer.
    pub fn memory_share(&self) -> Share {
        self.relay.response_memory.share()
    }

    /// Reads the complete body of a response that is not a stream.
    ///
    /// # Errors
    /// [`Failure`] if the connection fails, or the body is too large or not
    /// complete in time. It counts against the health of the server.
    pub async fn read_body(&self, body: Incoming, server: &InFlight) -> Result<Bytes, Failure> {
        let left = self.time_left(Instant::now());
        let collected = timeout(left, self.relay.response_memory.collect(body)).await;
        let collected = collected.unwrap_or(Err(Failure::Timeout));
        if collected.is_err() {
            server.record_outcome(false, Instant::now());
        }
        collected
    }
}
