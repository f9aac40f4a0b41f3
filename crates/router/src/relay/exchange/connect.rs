//! Connects to the server that was chosen for a request.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use poplar_base::log;
use poplar_core::retry::Failure;

use super::Exchange;
use crate::relay::crashes::Evidence;
use crate::relay::identity::{self, Identity};
use crate::relay::servers::InFlight;
use crate::relay::upstream::{ConnectError, Connection};

/// Failures that a failed connection counts as for the health of the server.
const CONNECT_FAILURE_WEIGHT: u32 = 3;

/// An open connection that is ready for a request.
type Ready = (Connection, SendRequest<Full<Bytes>>);

impl Exchange {
    /// Opens a connection for the request. If its stream may go on elsewhere, the
    /// connection leads to the process that is listed, whose version is known.
    ///
    /// # Errors
    /// [`Failure::Connect`]; nothing of the request was sent then.
    pub(super) async fn connect(&self, in_flight: &InFlight) -> Result<Ready, Failure> {
        let (connection, mut sender) = self.open_connection(in_flight).await?;
        if !self.depends_on_version() || in_flight.server.started_ms == 0 {
            return Ok((connection, sender));
        }
        let server = &in_flight.server;
        match identity::ask(&mut sender, server).await {
            Identity::Listed => {}
            Identity::Unstated => in_flight.log_unstated_start(),
            Identity::Silent => {
                in_flight.record_outcome(false, Instant::now());
                return Err(Failure::Connect);
            }
            Identity::Other(started_ms) => {
                log::info("server has another process")
                    .request(&self.request.head.attempt_id)
                    .with("server", &server.id)
                    .with("listed_ms", server.started_ms)
                    .with("started_ms", started_ms)
                    .write();
                let crashes = &self.relay.crashes;
                crashes.record_dead_server(server, Evidence::Restarted, Instant::now());
                self.relay.servers.record_ended(server);
                return Err(Failure::Connect);
            }
        }
        // A server may close the connection after any answer.
        if sender.ready().await.is_err() {
            return self.open_connection(in_flight).await;
        }
        Ok((connection, sender))
    }

    /// Whether the answer may go on at another server, which has to have the version
    /// of the software that begins it.
    pub(super) fn depends_on_version(&self) -> bool {
        let kind = self.request.route.kind;
        kind.is_stream() && kind.is_repeatable()
    }

    async fn open_connection(&self, in_flight: &InFlight) -> Result<Ready, Failure> {
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
