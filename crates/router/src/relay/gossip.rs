//! Exchanges load information between routers over UDP.
//!
//! Each router sends the others the requests that it has at backend servers,
//! the servers that hold shared prompts in their caches, reports of crashes,
//! limits that servers named, servers that leave, and streams that began. It sends one datagram to
//! each router several times a second while it has something to say. A lost
//! datagram is not sent again: the next one replaces the load, each report goes
//! into several, and streams are in the store, too. The load expires after a
//! short time, so that the requests of a router that has stopped sending no
//! longer count.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::cold;
use poplar_core::id::Name;
use poplar_core::poison::Report;
use poplar_core::software::Begun;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::relay::crashes::Source;
use crate::relay::crashes::wire::ReportsWire;
use crate::relay::limits::LimitNewsWire;
use crate::relay::servers::MESSAGE_LIFETIME;
use crate::relay::servers::limits::LimitNews;
use crate::relay::state::Relay;
use crate::relay::streams::wire::StreamsWire;

/// Shortest time between two messages; the prefill of a long prompt takes
/// longer.
const MIN_PERIOD: Duration = Duration::from_millis(60);
/// Bytes a second that a router sends to all others together: about a twentieth
/// of the smallest link, which the requests need at a router with many callers.
const MAX_BYTES_PER_S: f64 = 64_000.0;
/// The same for load alone in a fleet so large that a message expires before the next
/// one comes. Servers are then chosen by the load that they report and by this
/// router's own requests.
const MAX_STALE_BYTES_PER_S: f64 = 6_000.0;
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Largest datagram that can be received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Most servers in one message. Those with the most prefill tokens come first;
/// the others hardly affect the placement of prompts. Where the memory of engines is
/// accounted for, [`crate::relay::servers`] chooses them.
const MAX_SERVERS: usize = 16;

/// The requests of one router at one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerWork {
    /// The server.
    pub server: Name,
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens of those that have not had their first event yet.
    pub prefill_tokens: u64,
    /// Work that is left of them, in milliseconds of a server at its usual pace; 0 if
    /// unknown.
    pub left_ms: u64,
    /// Tokens that they hold in the server's memory, at most; 0 if unknown.
    pub held_tokens: u64,
}

impl ServerWork {
    /// Whether it states what is ahead at the server.
    fn states_ahead(&self) -> bool {
        self.left_ms > 0 || self.held_tokens > 0
    }
}

/// A message from one router to another.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadMessage {
    /// The sender's requests at servers.
    pub work: Vec<ServerWork>,
    /// Shared prompts, by hash, and the servers that have just processed them.
    pub holders: Vec<(u64, Name)>,
    /// Crashes that the sender has seen.
    pub reports: Vec<Report>,
    /// What the sender knows of limits of servers.
    pub limits: LimitNews,
    /// Streams that the sender began, by the client's attempt.
    pub streams: Vec<(Name, Begun)>,
    /// Servers that told the sender that they leave, with the start times of their
    /// processes in Unix milliseconds.
    pub leaving: Vec<(Name, u64)>,
    /// Servers that stated to the sender that they are cold.
    pub cold: Vec<cold::Report>,
}

impl LoadMessage {
    /// The datagram for a message that is sent at `now`.
    pub fn encode(self, now: Instant) -> Vec<u8> {
        let wire = LoadMessageWire::encode(self, now);
        serde_json::to_vec(&wire).expect("a load message can be serialized")
    }

    /// The message in a datagram that arrived at `now`.
    ///
    /// # Errors
    /// If it is not valid JSON, lacks a field or has one of another type.
    pub fn decode(datagram: &[u8], now: Instant) -> Result<Self, serde_json::Error> {
        let wire: LoadMessageWire = serde_json::from_slice(datagram)?;
        Ok(wire.decode(now))
    }
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct LoadMessageWire {
    work: Vec<(Name, u32, u64)>,
    held: Vec<(u64, Name)>,
    #[serde(flatten)]
    reports: ReportsWire,
    #[serde(flatten)]
    limits: LimitNewsWire,
    #[serde(flatten)]
    streams: StreamsWire,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    leaving: Vec<(Name, u64)>,
    /// Work left in milliseconds and tokens held, by server. Builds before this field
    /// neither send nor read it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    ahead: Vec<(Name, u64, u64)>,
    /// Cold servers, the start times of their processes, and the milliseconds for which
    /// they stay cold. Builds that don't know it neither send nor read it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    cold: Vec<(Name, u64, u64)>,
}

fn encode_cold(report: cold::Report) -> (Name, u64, u64) {
    let left_ms = report.left.as_millis() as u64;
    (report.server, report.process, left_ms)
}

fn decode_cold((server, process, left_ms): (Name, u64, u64)) -> cold::Report {
    cold::Report {
        server,
        process,
        left: Duration::from_millis(left_ms),
    }
}

impl LoadMessageWire {
    /// Encodes a message that is sent at `now`.
    fn encode(message: LoadMessage, now: Instant) -> Self {
        let entry = |w: ServerWork| (w.server, w.requests, w.prefill_tokens);
        let known = message.work.iter().filter(|w| w.states_ahead());
        let ahead = known.map(|w| (w.server.clone(), w.left_ms, w.held_tokens));
        Self {
            ahead: ahead.collect(),
            work: message.work.into_iter().map(entry).collect(),
            held: message.holders,
            reports: ReportsWire::encode(&message.reports, now),
            limits: LimitNewsWire::encode(message.limits, now),
            streams: StreamsWire::encode(message.streams),
            leaving: message.leaving,
            cold: message.cold.into_iter().map(encode_cold).collect(),
        }
    }

    /// The message, which arrived at `now`.
    fn decode(self, now: Instant) -> LoadMessage {
        let ahead: SortedVec<Name, (u64, u64)> = self
            .ahead
            .into_iter()
            .map(|(server, left_ms, held_tokens)| (server, (left_ms, held_tokens)))
            .collect();
        let entry = |(server, requests, prefill_tokens): (Name, u32, u64)| {
            let (left_ms, held_tokens) = ahead.get(&*server).copied().unwrap_or_default();
            ServerWork {
                server,
                requests,
                prefill_tokens,
                left_ms,
                held_tokens,
            }
        };
        LoadMessage {
            work: self.work.into_iter().map(entry).collect(),
            holders: self.held,
            reports: self.reports.decode(now),
            limits: self.limits.decode(now),
            streams: self.streams.decode(now),
            leaving: self.leaving,
            cold: self.cold.into_iter().map(decode_cold).collect(),
        }
    }
}

/// Sends messages to the other routers and receives theirs until the process
/// ends.
pub async fn run(relay: Arc<Relay>) {
    let address = SocketAddr::new(relay.settings.ip, relay.settings.internal_ports.0);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        // Servers are then chosen by this router's own requests and the load
        // that they report.
        Err(why) => return log::error("load gossip disabled").reason(why).write(),
    };
    tokio::spawn(send(relay.clone(), socket.clone()));
    receive(relay, socket).await;
}

async fn send(relay: Arc<Relay>, socket: Arc<UdpSocket>) {
    let mut last_had_content = false;
    let mut pause = MIN_PERIOD;
    let mut next_load = Instant::now();
    loop {
        tokio::time::sleep(pause).await;
        let peers = relay.budgets.peers();
        // What is announced waits until there is a router to tell.
        if peers.is_empty() {
            continue;
        }
        let now = Instant::now();
        let mut message = news(&relay, now);
        if message == LoadMessage::default() && now < next_load {
            continue;
        }
        message.work = relay
            .servers
            .work_to_tell(MAX_SERVERS, message_bytes(peers.len()), now);
        message.holders = relay.servers.take_unannounced();
        let empty = message == LoadMessage::default();
        // One empty message says that the last requests have ended.
        if !std::mem::replace(&mut last_had_content, !empty) && empty {
            continue;
        }
        let bytes = encode_in_time(message, peers.len(), Instant::now());
        pause = period(bytes.len(), peers.len(), true);
        next_load = now + period(bytes.len(), peers.len(), false);
        for peer in peers {
            let to = SocketAddr::new(peer, relay.settings.internal_ports.0);
            // The next message replaces one that is not sent.
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

/// The datagram for a message, with as many servers as may be sent to this many peers
/// before the message expires. Those with the least work are left out. If it expires
/// without any, or states nothing of what is ahead at servers, all stay.
pub fn encode_in_time(message: LoadMessage, peers: usize, now: Instant) -> Vec<u8> {
    let fits = |bytes: &[u8]| period(bytes.len(), peers, false) <= MESSAGE_LIFETIME;
    let states_ahead = message.work.iter().any(ServerWork::states_ahead);
    let all = message.clone().encode(now);
    if !states_ahead {
        return all;
    }
    let mut short = message;
    loop {
        let bytes = short.clone().encode(now);
        if fits(&bytes) {
            return bytes;
        }
        if short.work.pop().is_none() {
            return all;
        }
    }
}

/// What the other routers have to learn soon: all but the load.
fn news(relay: &Relay, now: Instant) -> LoadMessage {
    let clock = relay.servers.store_clock(now);
    LoadMessage {
        reports: relay.crashes.take_unsent(now),
        limits: relay.servers.take_limit_news(now),
        streams: clock.map_or_else(Vec::new, |clock| relay.streams.take_unannounced(clock)),
        leaving: relay.servers.take_leaving_reports(),
        cold: relay.servers.take_cold_reports(now),
        ..LoadMessage::default()
    }
}

/// Bytes of a message that all of this many peers can get before the one before it
/// expires.
fn message_bytes(peers: usize) -> usize {
    let bytes = MAX_BYTES_PER_S * MESSAGE_LIFETIME.as_secs_f64() / peers as f64;
    (bytes as usize).saturating_sub(HEADER_BYTES)
}

/// Pause after a message of `bytes` to this many peers, which keeps to the rate, until
/// the next one with news or until the next one without. The latter is not worth the
/// full rate if it expires before another one comes.
pub fn period(bytes: usize, peers: usize, has_news: bool) -> Duration {
    let sent = ((bytes + HEADER_BYTES) * peers) as f64;
    let period = MIN_PERIOD.max(Duration::from_secs_f64(sent / MAX_BYTES_PER_S));
    if has_news || period <= MESSAGE_LIFETIME {
        return period;
    }
    Duration::from_secs_f64(sent / MAX_STALE_BYTES_PER_S)
}

async fn receive(relay: Arc<Relay>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(MIN_PERIOD).await;
            continue;
        };
        let now = Instant::now();
        match LoadMessage::decode(&buffer[..length], now) {
            Ok(mut message) => {
                let reports = std::mem::take(&mut message.reports);
                let limits = std::mem::take(&mut message.limits);
                let leaving = std::mem::take(&mut message.leaving);
                relay.streams.merge(std::mem::take(&mut message.streams));
                relay.servers.merge_leaving_reports(leaving, now);
                relay
                    .servers
                    .merge_cold_reports(std::mem::take(&mut message.cold), now);
                relay.servers.record_peer_message(from.ip(), message, now);
                relay.crashes.merge(reports, Source::Peer, now);
                relay.servers.merge_limit_news(from.ip(), limits);
            }
            Err(why) => log::debug("gossip message invalid").reason(why).write(),
        }
    }
}
