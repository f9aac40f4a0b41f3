//! Connections to backend servers, and when servers of each service last accepted one.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use crate::relay::state::format_age;
use crate::relay::upstream::{self, ConnectError, Connection};
use crate::sync::lock;

/// The paths from this host to the servers of each service.
#[derive(Debug)]
pub struct Paths {
    address: IpAddr,
    /// When a server of each service last accepted a connection.
    connected: Mutex<SortedVec<Name, Instant>>,
}

impl Paths {
    /// The paths from the host at `address`.
    pub fn new(address: IpAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            connected: Mutex::default(),
        })
    }

    /// Connects to a server for the request with this id.
    ///
    /// # Errors
    /// [`ConnectError`]; nothing was sent then.
    pub async fn connect(
        &self,
        server: &Server,
        request: &Name,
    ) -> Result<(Connection, SendRequest<Full<Bytes>>), ConnectError> {
        let dialled = upstream::dial(self.address, server.address).await;
        let now = Instant::now();
        match dialled {
            Ok(stream) => {
                lock(&self.connected).insert(server.service.clone(), now);
                upstream::handshake(stream).await
            }
            Err(why) => {
                self.log_failed(server, request, why, now);
                Err(why)
            }
        }
    }

    /// Finds out whether a server accepts connections.
    ///
    /// # Errors
    /// [`ConnectError`]
    pub async fn probe(&self, server: &Server) -> Result<(), ConnectError> {
        upstream::dial(self.address, server.address).await.map(drop)
    }

    /// Logs that a server accepted no connection, and when one of its service last did:
    /// a path that is lost, or a server that is.
    fn log_failed(&self, server: &Server, request: &Name, why: ConnectError, now: Instant) {
        metrics::counter!("poplar_connects_failed_total", "reason" => why.label()).increment(1);
        let last = lock(&self.connected).get(&*server.service).copied();
        let age = last.map(|at| now.saturating_duration_since(at));
        log::info("connection failed")
            .request(request)
            .with("server", &server.id)
            .reason(why.label())
            .with("service_ms", format_age(age))
            .write();
    }
}
