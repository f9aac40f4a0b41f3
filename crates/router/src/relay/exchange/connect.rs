//! Connects to the server that was chosen for a request.

use std::time::Instant;

use poplar_base::log;
use poplar_core::retry::Failure;

use super::Exchange;
use crate::relay::crashes::Evidence;
use crate::relay::identity::{self, Identity};
use crate::relay::paths::Ready;
use crate::relay::servers::InFlight;
use crate::relay::upstream::ConnectError;

/// Failures that a failed connection counts as for the health of the server.
const CONNECT_FAILURE_WEIGHT: u32 = 3;

impl Exchange {
    /// Opens a connection for the request. If its stream may go on elsewhere, the
    /// connection leads to the process that is listed, whose version is known.
    ///
    /// # Errors
    /// [`Failure::Connect`]; nothing of the request was sent then.
    pub(super) async fn connect(&self, in_flight: &InFlight) -> Result<Ready, Failure> {
        let ready = self.open_connection(in_flight).await?;
        let server = &in_flight.server;
        let states_start = server.started_ms != 0 && self.relay.is_engine(&server.service);
        if self.depends_on_version() && states_start {
            // A process that was listed before the connection was opened and runs after
            // that is the one at its other end.
            let id = &self.request.head.attempt_id;
            let identity = identity::current(&self.relay, server, id).await;
            self.check_identity(in_flight, identity)?;
        }
        Ok(ready)
    }

    /// Checks that a server is the process that is listed, as far as it tells.
    fn check_identity(&self, in_flight: &InFlight, identity: Identity) -> Result<(), Failure> {
        let server = &in_flight.server;
        match identity {
            Identity::Listed => Ok(()),
            Identity::Unstated => {
                in_flight.log_unstated_start();
                Ok(())
            }
            Identity::Ended | Identity::Unknown => Err(Failure::Connect),
            other @ (Identity::Other(_) | Identity::Misdirected) => {
                log::info("server has another process")
                    .request(&self.request.head.attempt_id)
                    .with("server", &server.id)
                    .with("listed_ms", server.started_ms)
                    .with("found", format_args!("{other:?}"))
                    .write();
                let evidence = if other == Identity::Misdirected {
                    Evidence::Replaced
                } else {
                    Evidence::Restarted
                };
                let crashes = &self.relay.crashes;
                crashes.record_dead_server(server, evidence, Instant::now());
                self.relay.servers.record_ended(server);
                Err(Failure::Connect)
            }
        }
    }

    /// Whether the answer may go on at another server, which has to have the version
    /// of the software that begins it.
    pub(super) fn depends_on_version(&self) -> bool {
        let kind = self.request.route.kind;
        kind.is_stream() && kind.is_repeatable()
    }

    async fn open_connection(&self, in_flight: &InFlight) -> Result<Ready, Failure> {
        let (paths, id) = (&self.relay.paths, &self.request.head.attempt_id);
        let own = self.relay.settings.regions.own.as_ref();
        let within = self.request.home().router_regions(own);
        let connected = paths
            .connect(&in_flight.server, id, within.as_deref())
            .await;
        connected.map_err(|why| {
            let now = Instant::now();
            if why == ConnectError::Refused {
                self.relay
                    .crashes
                    .record_dead_server(&in_flight.server, Evidence::Refused, now);
            }
            // A time-out of a host that is itself late says nothing of the server.
            if why == ConnectError::Refused || !self.relay.capacity.is_late(now) {
                for _ in 0..CONNECT_FAILURE_WEIGHT {
                    in_flight.record_outcome(false, now);
                }
            }
            Failure::Connect
        })
    }
}
