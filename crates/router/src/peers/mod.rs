//! The other routers: discovery, gossip, and the copies of bills that routers
//! hold for each other.

mod bill_copies;
mod gossip;
mod service;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use poplar_core::bill::Bill;
use poplar_core::id::{Incarnation, Name, RequestId};
use poplar_core::sorted::SortedVec;
use poplar_peer::PeerClient;
use poplar_peer::generated::{HoldRequest, Member};
use serde::Serialize;
use tonic::transport::{Channel, Endpoint};

use crate::state::State;
use crate::sync::lock;

pub use bill_copies::flush_orphaned_bills;
pub use gossip::{discover, gossip};
pub use service::spawn;

/// A router that has been silent for this long no longer counts as live.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a call to a peer may take.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Copies of a bill that are made at other routers.
const BILL_REPLICAS: usize = 2;

/// What is known of another router.
#[derive(Debug, Clone)]
pub(crate) struct PeerEntry {
    pub(crate) address: SocketAddr,
    pub(crate) generation: u64,
    pub(crate) draining: bool,
    /// When the peer last described itself.
    pub(crate) last_contact: Option<Instant>,
    /// When the peer was discovered.
    pub(crate) discovered: Instant,
    pub(crate) client: PeerClient<Channel>,
}

/// The table of other routers, and the copies of bills held for them.
#[derive(Debug, Default)]
pub struct Peers {
    entries: Mutex<SortedVec<Incarnation, PeerEntry>>,
    copies: Mutex<bill_copies::BillCopies>,
}

/// A peer as shown by the admin API.
#[derive(Debug)]
#[derive(Serialize)]
pub struct PeerStatus {
    incarnation: Name,
    address: String,
    generation: u64,
    draining: bool,
    age_ms: Option<u64>,
}

impl PeerEntry {
    fn new(address: SocketAddr) -> Option<Self> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .tcp_nodelay(true);
        Some(Self {
            address,
            generation: 0,
            draining: false,
            last_contact: None,
            discovered: Instant::now(),
            client: PeerClient::new(endpoint.connect_lazy()),
        })
    }

    fn is_live(&self, now: Instant) -> bool {
        self.last_contact
            .is_some_and(|at| now.saturating_duration_since(at) < LIVENESS_TIMEOUT)
    }
}

impl Peers {
    /// Returns the number of live routers, not counting this one.
    pub fn live_count(&self, now: Instant) -> usize {
        let entries = lock(&self.entries);
        entries.iter().filter(|(_, e)| e.is_live(now)).count()
    }

    /// Whether a router has been in contact recently.
    pub fn is_live(&self, router: &Incarnation, now: Instant) -> bool {
        lock(&self.entries)
            .get(router)
            .is_some_and(|e| e.is_live(now))
    }

    /// Returns how long a known router has been silent.
    pub fn silent_for(&self, router: &Incarnation, now: Instant) -> Option<Duration> {
        let entries = lock(&self.entries);
        let since = entries
            .get(router)
            .map(|e| e.last_contact.unwrap_or(e.discovered))?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns all known peers, for the admin API.
    pub fn snapshot(&self, now: Instant) -> Vec<PeerStatus> {
        let entries = lock(&self.entries);
        let peers = entries.iter().map(|(incarnation, entry)| PeerStatus {
            incarnation: incarnation.0.clone(),
            address: entry.address.to_string(),
            generation: entry.generation,
            draining: entry.draining,
            age_ms: entry
                .last_contact
                .map(|at| now.saturating_duration_since(at).as_millis() as u64),
        });
        peers.collect()
    }

    /// Adds a router that was found in the table or named by a peer.
    pub(crate) fn add(&self, router: Incarnation, address: SocketAddr) {
        let mut entries = lock(&self.entries);
        if !entries.contains(&router)
            && let Some(new) = PeerEntry::new(address)
        {
            entries.insert(router, new);
        }
    }

    /// Removes a router that is sealed.
    pub(crate) fn remove(&self, router: &Incarnation) {
        lock(&self.entries).remove(router);
    }

    /// Records a peer's description of itself and the time of the contact.
    pub(crate) fn record_contact(&self, member: &Member, now: Instant) {
        let router = Incarnation(member.incarnation.as_str().into());
        if let Ok(address) = member.address.parse() {
            self.add(router.clone(), address);
        }
        if let Some(entry) = lock(&self.entries).get_mut(&router) {
            entry.generation = member.generation;
            entry.draining = member.draining;
            entry.last_contact = Some(now);
        }
    }

    /// Returns the entry of a router, which includes a client to call it.
    pub(crate) fn get(&self, router: &Incarnation) -> Option<PeerEntry> {
        lock(&self.entries).get(router).cloned()
    }

    pub(crate) fn all(&self) -> Vec<(Incarnation, PeerEntry)> {
        let entries = lock(&self.entries);
        entries
            .iter()
            .map(|(i, e)| (i.clone(), e.clone()))
            .collect()
    }

    pub(crate) fn live_peers(&self, now: Instant) -> Vec<(Incarnation, PeerEntry)> {
        let mut all = self.all();
        all.retain(|(_, entry)| entry.is_live(now));
        all
    }

    /// Sends copies of a bill to live peers; returns true if at least one peer
    /// holds a copy.
    pub async fn replicate_bill(&self, state: &State, bill: &Bill) -> bool {
        self.replicate(&state.incarnation, std::slice::from_ref(bill))
            .await
    }

    /// Sends copies of an origin's bills to live peers, until [`BILL_REPLICAS`] of
    /// them hold the copies; returns true if at least one does.
    async fn replicate(&self, origin: &Incarnation, bills: &[Bill]) -> bool {
        let encode = |bill: &Bill| serde_json::to_vec(bill).expect("a bill is plain data");
        let request = HoldRequest {
            origin: origin.to_string(),
            bills: bills.iter().map(encode).collect(),
            done: Vec::new(),
        };
        let mut copies = 0;
        for (_, peer) in self.live_peers(Instant::now()) {
            let mut client = peer.client;
            copies += usize::from(client.hold(request.clone()).await.is_ok());
            if copies == BILL_REPLICAS {
                break;
            }
        }
        copies > 0
    }

    /// Hands over to peers the copies that this router holds for others, and its
    /// `own` bills, before it stops. Returns whether all of them were accepted.
    pub async fn hand_over_copies(&self, state: &State, own: &[Bill]) -> bool {
        let copies = lock(&self.copies).all();
        let mut accepted = own.is_empty() || self.replicate(&state.incarnation, own).await;
        for (origin, bills) in copies {
            accepted &= self.replicate(&origin, &bills).await;
        }
        accepted
    }

    /// Returns the copy of a request's bill, if this router holds one.
    pub fn bill_copy(&self, id: &RequestId) -> Option<Bill> {
        lock(&self.copies).bill(id)
    }

    /// Tells all peers to drop their copies of a bill that is durable.
    pub async fn discard_copies(&self, state: &State, id: &RequestId) {
        let request = HoldRequest {
            origin: state.incarnation.to_string(),
            bills: Vec::new(),
            done: vec![id.to_string()],
        };
        for (_, peer) in self.all() {
            let mut client = peer.client;
            // A copy that remains is recognised as billed when it is flushed.
            let _ = client.hold(request.clone()).await;
        }
    }
}
