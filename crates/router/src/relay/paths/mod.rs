//! Connections to backend servers: from this host, or by way of another router if this
//! host has no path to them.
//!
//! A server that does not accept a connection of this host is asked for one by way of
//! another router before that counts as a failure: either it accepts that one, or it has
//! failed for both. Once several servers accept none, the path counts as lost, see
//! [`poplar_core::path`], and other routers are asked at once. Nothing is sent to a
//! server before the connection is open, so that a request can't run twice for it.

pub mod tunnel;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use poplar_core::path::Path;
use poplar_core::sorted::SortedVec;
use tokio::net::TcpStream;

use crate::relay::budgets::Budgets;
use crate::relay::capacity::HostCapacity;
use crate::relay::state::format_age;
use crate::relay::upstream::{self, ConnectError, Connection};
use crate::sync::lock;
use tunnel::TunnelError;

/// Most routers that are asked for one connection, and how many of them may not answer.
/// One that has no path either says so at once.
const MAX_ASKED: usize = 6;
const MAX_UNANSWERED: usize = 2;
/// Most routers that are asked for a request that is confined to some regions: those of
/// other regions say so at once, and three of four may be in such.
const MAX_ASKED_CONFINED: usize = 24;
/// Hosts that a server has refused before it counts as ended.
const HOSTS_REFUSED: usize = 2;
/// Most routers among which they are chosen.
const MAX_SAMPLED: usize = 12;
/// Time for which a router that gave no connection is asked only after the others.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Stands for a request's id in the log where a connection is for none.
const PROBE: &str = "probe";

/// An open connection that is ready for a request.
pub type Ready = (Connection, SendRequest<Full<Bytes>>);

#[derive(Debug, Default)]
struct State {
    /// The path to the servers of each service.
    services: SortedVec<Name, Path>,
    /// Routers that gave no connection, and until when they are avoided.
    avoided: SortedVec<IpAddr, Instant>,
}

/// The paths from this host to the servers of each service.
#[derive(Debug)]
pub struct Paths {
    address: IpAddr,
    /// Port of the tunnels of all routers.
    port: u16,
    /// Knows the other live routers.
    budgets: Arc<Budgets>,
    /// Knows whether this host itself is late.
    capacity: Arc<HostCapacity>,
    state: Mutex<State>,
}

impl Paths {
    /// The paths from the host at `address`; other routers are asked at `port`.
    pub fn new(
        address: IpAddr,
        port: u16,
        budgets: Arc<Budgets>,
        capacity: Arc<HostCapacity>,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            port,
            budgets,
            capacity,
            state: Mutex::default(),
        })
    }

    /// Services to whose servers this host has no path, for the metrics.
    pub fn lost_count(&self) -> usize {
        let state = lock(&self.state);
        state.services.iter().filter(|(_, p)| p.is_lost()).count()
    }

    /// Connects to a server for the request with this id. If there is no path from here,
    /// only routers in the regions `within` are asked, if these are given.
    ///
    /// # Errors
    /// [`ConnectError`]; nothing was sent then.
    pub async fn connect(
        self: &Arc<Self>,
        server: &Server,
        request: &Name,
        within: Option<&[Name]>,
    ) -> Result<Ready, ConnectError> {
        let mut refused = false;
        if self.is_lost(&server.service) {
            self.probe_if_due(server);
        } else {
            match self.dial(server).await {
                Ok(stream) => return upstream::handshake(stream).await,
                Err(why) => {
                    self.log_failed(server, request, why);
                    refused = why == ConnectError::Refused;
                    // Another router would be reached over the same full link.
                    if !refused && self.capacity.is_late(Instant::now()) {
                        return Err(ConnectError::NoAnswer);
                    }
                }
            }
        }
        self.connect_by_way(server, request, refused, within).await
    }

    /// Finds out whether a server accepts connections, of this host or of another one.
    ///
    /// # Errors
    /// [`ConnectError`]
    pub async fn probe(self: &Arc<Self>, server: &Server) -> Result<(), ConnectError> {
        let mut refused = false;
        if !self.is_lost(&server.service) {
            match self.dial(server).await {
                Ok(_) => return Ok(()),
                Err(why) => refused = why == ConnectError::Refused,
            }
        }
        let connected = self
            .connect_by_way(server, &PROBE.into(), refused, None)
            .await;
        connected.map(drop)
    }

    /// Opens a connection from this host, and records whether there is a path.
    ///
    /// # Errors
    /// [`ConnectError`]
    async fn dial(&self, server: &Server) -> Result<TcpStream, ConnectError> {
        let began = Instant::now();
        let dialled = upstream::dial(self.address, server.address).await;
        let now = Instant::now();
        match &dialled {
            Ok(_) => {
                let delay = now.saturating_duration_since(began);
                self.capacity.record_connection(delay, now);
            }
            Err(ConnectError::NoAnswer) => self.capacity.record_timeout(now),
            Err(ConnectError::Refused) => {}
        }
        // A time-out of a host that is itself late says nothing of the path.
        if matches!(dialled, Err(ConnectError::NoAnswer)) && self.capacity.is_late(now) {
            return dialled;
        }
        let mut state = lock(&self.state);
        let path = state
            .services
            .get_or_insert_with(server.service.clone(), Path::default);
        let age = path.age(now);
        let changed = match &dialled {
            Ok(_) => path.record_connected(now),
            Err(_) => path.record_failed(&server.id),
        };
        drop(state);
        let event = match &dialled {
            _ if !changed => return dialled,
            Ok(_) => log::info("path to servers regained"),
            Err(why) => log::warn("path to servers lost").reason(why.label()),
        };
        event
            .with("service", &server.service)
            .with("server", &server.id)
            .with("service_ms", format_age(age))
            .write();
        dialled
    }

    /// Opens a connection from this host for another router.
    ///
    /// # Errors
    /// [`ConnectError`]; at once if the path is lost.
    pub async fn dial_for_peer(
        self: &Arc<Self>,
        server: &Server,
    ) -> Result<TcpStream, ConnectError> {
        if self.is_lost(&server.service) {
            self.probe_if_due(server);
            return Err(ConnectError::NoAnswer);
        }
        self.dial(server).await
    }

    /// Connects by way of other routers, one after another. `refused` tells whether the
    /// server has refused a connection of this host.
    async fn connect_by_way(
        &self,
        server: &Server,
        request: &Name,
        refused: bool,
        within: Option<&[Name]>,
    ) -> Result<Ready, ConnectError> {
        let mut refusals = usize::from(refused);
        let mut unanswered = 0;
        for peer in self.candidates(within.is_some(), Instant::now()) {
            let at = SocketAddr::new(peer, self.port);
            let opened = tunnel::open(self.address, at, server, within).await;
            let outcome = opened.as_ref().err().map_or("connected", |e| e.label());
            metrics::counter!("poplar_tunnels_total", "outcome" => outcome).increment(1);
            log::info("server asked for by way of another router")
                .request(request)
                .with("server", &server.id)
                .with("router", peer)
                .with("outcome", outcome)
                .write();
            match opened {
                Ok(stream) => return upstream::handshake(stream).await,
                Err(TunnelError::Refused) => refusals += 1,
                Err(TunnelError::NoPath) => self.avoid(peer, Instant::now()),
                Err(TunnelError::NoAnswer) => {
                    unanswered += 1;
                    self.avoid(peer, Instant::now());
                }
                Err(TunnelError::OtherRegion) => {}
            }
            if refusals >= HOSTS_REFUSED {
                return Err(ConnectError::Refused);
            }
            if unanswered >= MAX_UNANSWERED {
                break;
            }
        }
        // Where the path is lost, a refusal says nothing of the server.
        if refused && !self.is_lost(&server.service) {
            return Err(ConnectError::Refused);
        }
        Err(ConnectError::NoAnswer)
    }

    /// The routers to ask, chosen at random, those last that gave no connection lately.
    /// Where only those of some regions connect, more are asked.
    /// Neighbours are not asked in turn, since they may have lost the same paths.
    fn candidates(&self, is_confined: bool, now: Instant) -> Vec<IpAddr> {
        let live = self.budgets.peers();
        let (sampled, asked) = if is_confined {
            (MAX_ASKED_CONFINED, MAX_ASKED_CONFINED)
        } else {
            (MAX_SAMPLED, MAX_ASKED)
        };
        let count = live.len().min(sampled);
        let sample = rand::seq::index::sample(&mut rand::rng(), live.len(), count);
        let mut peers: Vec<IpAddr> = sample.iter().map(|at| live[at]).collect();
        let state = lock(&self.state);
        peers.sort_by_key(|peer| state.avoided.get(peer).is_some_and(|until| now < *until));
        peers.truncate(asked);
        peers
    }

    fn avoid(&self, peer: IpAddr, now: Instant) {
        let mut state = lock(&self.state);
        state.avoided.retain(|_, until| now < *until);
        state.avoided.insert(peer, now + AVOID_TIME);
    }

    fn is_lost(&self, service: &str) -> bool {
        let state = lock(&self.state);
        state.services.get(service).is_some_and(Path::is_lost)
    }

    /// Tries the lost path beside the request, which does not wait for it.
    fn probe_if_due(self: &Arc<Self>, server: &Server) {
        let is_due = {
            let mut state = lock(&self.state);
            let path = state.services.get_mut(&*server.service);
            path.is_some_and(|path| path.take_probe(Instant::now()))
        };
        if is_due {
            let (paths, server) = (self.clone(), server.clone());
            tokio::spawn(async move { paths.dial(&server).await.map(drop) });
        }
    }

    /// Logs that a server accepted no connection, and when one of its service last did.
    fn log_failed(&self, server: &Server, request: &Name, why: ConnectError) {
        metrics::counter!("poplar_connects_failed_total", "reason" => why.label()).increment(1);
        let age = {
            let state = lock(&self.state);
            let path = state.services.get(&*server.service);
            path.and_then(|path| path.age(Instant::now()))
        };
        log::info("connection failed")
            .request(request)
            .with("server", &server.id)
            .reason(why.label())
            .with("service_ms", format_age(age))
            .write();
    }
}
