//! The other routers: who they are, what they know, copies of bills.

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

/// Silence after which a router no longer counts as live.
const SILENT: Duration = Duration::from_secs(2);
/// How long a call of a peer may take.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Peers that are asked to hold a copy of a bill.
const COPIES: usize = 2;

/// What is known of another router.
#[derive(Debug, Clone)]
pub(crate) struct PeerEntry {
    pub(crate) address: SocketAddr,
    pub(crate) generation: u64,
    pub(crate) draining: bool,
    pub(crate) heard: Option<Instant>,
    pub(crate) met: Instant,
    pub(crate) client: PeerClient<Channel>,
}

/// The other routers.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<SortedVec<Incarnation, PeerEntry>>,
    held: Mutex<bill_copies::BillCopies>,
}

/// A peer as the admin page shows it.
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
            heard: None,
            met: Instant::now(),
            client: PeerClient::new(endpoint.connect_lazy()),
        })
    }

    fn is_live(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|at| now.saturating_duration_since(at) < SILENT)
    }
}

impl Peers {
    /// Live routers besides this one.
    pub fn live_count(&self, now: Instant) -> usize {
        let known = lock(&self.known);
        known.iter().filter(|(_, k)| k.is_live(now)).count()
    }

    /// Whether a router was heard of lately.
    pub fn is_live(&self, of: &Incarnation, now: Instant) -> bool {
        lock(&self.known).get(of).is_some_and(|k| k.is_live(now))
    }

    /// For how long a known router has been silent.
    pub fn silent_for(&self, of: &Incarnation, now: Instant) -> Option<Duration> {
        let known = lock(&self.known);
        let since = known.get(of).map(|k| k.heard.unwrap_or(k.met))?;
        Some(now.saturating_duration_since(since))
    }

    /// Every known peer, for the admin page.
    pub fn snapshot(&self, now: Instant) -> Vec<PeerStatus> {
        let known = lock(&self.known);
        let peers = known.iter().map(|(incarnation, known)| PeerStatus {
            incarnation: incarnation.0.clone(),
            address: known.address.to_string(),
            generation: known.generation,
            draining: known.draining,
            age_ms: known
                .heard
                .map(|at| now.saturating_duration_since(at).as_millis() as u64),
        });
        peers.collect()
    }

    /// Registry a router that the table or a peer named.
    pub(crate) fn met(&self, of: Incarnation, address: SocketAddr) {
        let mut known = lock(&self.known);
        if !known.contains(&of)
            && let Some(new) = PeerEntry::new(address)
        {
            known.insert(of, new);
        }
    }

    /// Forgets a router that is sealed.
    pub(crate) fn forget(&self, of: &Incarnation) {
        lock(&self.known).remove(of);
    }

    /// Takes over what a peer says of itself.
    pub(crate) fn heard(&self, member: &Member, now: Instant) {
        let of = Incarnation(member.incarnation.as_str().into());
        if let Ok(address) = member.address.parse() {
            self.met(of.clone(), address);
        }
        if let Some(known) = lock(&self.known).get_mut(&of) {
            known.generation = member.generation;
            known.draining = member.draining;
            known.heard = Some(now);
        }
    }

    /// How to reach a router, where it is known.
    pub(crate) fn known(&self, of: &Incarnation) -> Option<PeerEntry> {
        lock(&self.known).get(of).cloned()
    }

    pub(crate) fn all(&self) -> Vec<(Incarnation, PeerEntry)> {
        let known = lock(&self.known);
        known.iter().map(|(i, k)| (i.clone(), k.clone())).collect()
    }

    pub(crate) fn living(&self, now: Instant) -> Vec<(Incarnation, PeerEntry)> {
        let mut all = self.all();
        all.retain(|(_, known)| known.is_live(now));
        all
    }

    /// Leaves copies of a bill with live peers; true once one holds it.
    pub async fn replicate_bill(&self, state: &State, bill: &Bill) -> bool {
        self.leave(&state.me, std::slice::from_ref(bill)).await
    }

    /// Leaves copies of an origin's bills with as many peers as are wanted.
    async fn leave(&self, origin: &Incarnation, bills: &[Bill]) -> bool {
        let encode = |bill: &Bill| serde_json::to_vec(bill).expect("a bill is plain data");
        let request = HoldRequest {
            origin: origin.to_string(),
            bills: bills.iter().map(encode).collect(),
            done: Vec::new(),
        };
        let mut copies = 0;
        for (_, known) in self.living(Instant::now()) {
            let mut client = known.client;
            copies += usize::from(client.hold(request.clone()).await.is_ok());
            if copies == COPIES {
                break;
            }
        }
        copies > 0
    }

    /// Passes on what this router holds for others, and `own` bills, before it
    /// ends.
    pub async fn hand_over_copies(&self, state: &State, own: &[Bill]) -> bool {
        let held = lock(&self.held).all();
        let mut passed = own.is_empty() || self.leave(&state.me, own).await;
        for (origin, bills) in held {
            passed &= self.leave(&origin, &bills).await;
        }
        passed
    }

    /// The copy of a request's bill, where one is held here.
    pub fn bill_copy(&self, id: &RequestId) -> Option<Bill> {
        lock(&self.held).bill(id)
    }

    /// Tells peers that a bill is durable and needs no copy any more.
    pub async fn discard_copies(&self, state: &State, id: &RequestId) {
        let request = HoldRequest {
            origin: state.me.to_string(),
            bills: Vec::new(),
            done: vec![id.to_string()],
        };
        for (_, known) in self.all() {
            let mut client = known.client;
            // A copy that stays is found to be billed when it is flushed.
            let _ = client.hold(request.clone()).await;
        }
    }
}
