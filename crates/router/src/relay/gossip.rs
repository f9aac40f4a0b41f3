//! Routers tell one another the work that they have at backend servers, and
//! where shared prompts were read.
//!
//! One datagram to each other router, several times a second while there is
//! work; a lost one is made good by the next. What a peer said counts for a
//! moment only, so that one that falls silent is forgotten.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::id::Name;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::relay::state::Relay;

/// Shortest time between two messages: less than the reading of a long prompt.
const PERIOD: Duration = Duration::from_millis(60);
/// Bytes a second that a router sends to all others together, about a twentieth
/// of the smallest link: at a router with many callers, the requests need it.
const RATE: f64 = 64_000.0;
/// Bytes of a datagram's headers on the link.
const HEADERS: usize = 28;
/// Largest datagram that is read, in bytes.
const MESSAGE: usize = 16 << 10;
/// Servers in one message at the most; those with the most to read go first,
/// the others matter little to where a prompt goes.
const SERVERS: usize = 16;

/// One router's work at one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerWork {
    /// The server.
    pub server: Name,
    /// Requests there.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub prefill_tokens: u64,
}

/// What one router tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadMessage {
    /// Its work at servers.
    pub work: Vec<ServerWork>,
    /// Servers at which shared prompts were just read.
    pub holders: Vec<(u64, Name)>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct LoadMessageWire {
    work: Vec<(Name, u32, u64)>,
    held: Vec<(u64, Name)>,
}

impl From<LoadMessage> for LoadMessageWire {
    fn from(message: LoadMessage) -> Self {
        let entry = |w: ServerWork| (w.server, w.requests, w.prefill_tokens);
        Self {
            work: message.work.into_iter().map(entry).collect(),
            held: message.holders,
        }
    }
}

impl From<LoadMessageWire> for LoadMessage {
    fn from(wire: LoadMessageWire) -> Self {
        let entry = |(server, requests, prefill_tokens)| ServerWork {
            server,
            requests,
            prefill_tokens,
        };
        Self {
            work: wire.work.into_iter().map(entry).collect(),
            holders: wire.held,
        }
    }
}

/// Tells the other routers, and listens to them, until the process ends.
pub async fn run(relay: Arc<Relay>) {
    let address = SocketAddr::new(relay.settings.ip, relay.settings.internal_ports.0);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        // Placement goes by the own work and the servers' word then.
        Err(why) => return log::error("no gossip").reason(why).write(),
    };
    tokio::spawn(tell(relay.clone(), socket.clone()));
    listen(relay, socket).await;
}

async fn tell(relay: Arc<Relay>, socket: Arc<UdpSocket>) {
    let mut told = false;
    let mut pause = PERIOD;
    loop {
        tokio::time::sleep(pause).await;
        let peers = relay.budgets.peers();
        let mut work = relay.servers.own_work();
        work.sort_by_key(|w| std::cmp::Reverse(w.prefill_tokens));
        work.truncate(SERVERS);
        let holders = relay.servers.take_unannounced();
        let message = LoadMessage { work, holders };
        let empty = message == LoadMessage::default();
        // The end of all work is told once.
        if !std::mem::replace(&mut told, !empty) && empty {
            continue;
        }
        let wire = LoadMessageWire::from(message);
        let bytes = serde_json::to_vec(&wire).expect("news are plain data");
        pause = period(bytes.len(), peers.len());
        for peer in peers {
            let to = SocketAddr::new(peer, relay.settings.internal_ports.0);
            // A lost datagram is made good by the next.
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

/// Time until the next message after one of `bytes` to so many peers.
fn period(bytes: usize, peers: usize) -> Duration {
    let sent = ((bytes + HEADERS) * peers) as f64;
    PERIOD.max(Duration::from_secs_f64(sent / RATE))
}

async fn listen(relay: Arc<Relay>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MESSAGE];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PERIOD).await;
            continue;
        };
        match serde_json::from_slice::<LoadMessageWire>(&buffer[..length]) {
            Ok(message) => {
                let from: IpAddr = from.ip();
                relay
                    .servers
                    .record_peer_message(from, message.into(), Instant::now());
            }
            Err(why) => log::debug("gossip unreadable").reason(why).write(),
        }
    }
}
