//! Connects to the server that was chosen for a request.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use poplar_core::retry::Failure;

use super::Exchange;
use crate::relay::crashes::Evidence;
use crate::relay::servers::InFlight;
use crate::relay::upstream::{ConnectError, Connection};

/// Failures that a failed connection counts as for the health of the server.
const CONNECT_FAILURE_WEIGHT: u32 = 3;

impl Exchange {
    /// Opens a connection for the request.
    ///
    /// # Errors
    /// [`Failure::Connect`]; nothing was sent then.
    pub(super) async fn connect(
        &self,
        in_flight: &InFlight,
    ) -> Result<(Connection, SendRequest<Full<Bytes>>), Failure> {
        let (paths, id) = (&self.relay.paths, &self.request.head.attempt_id);
        let connected = paths.connect(&in_flight.server, id).await;
        connected.map_err(|why| {
            let now = Instant::now();
            if why == ConnectError::Refused {
                self.relay
                    .crashes
                    .record_dead_server(&in_flight.server, Evidence::Refused, now);
            }
            for _ in 0..CONNECT_FAILURE_WEIGHT {
                in_flight.record_outcome(false, now);
            }
            Failure::Connect
        })
    }
}
