//! Exchanges with peers what each side knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplar_core::bill::{RouterRow, Stage};
use poplar_core::config::{Config, ConfigWire};
use poplar_core::generation::Source;
use poplar_core::id::Incarnation;
use poplar_peer::generated::{GossipRequest, Member};

use super::PeerEntry;
use crate::state::State;

/// How often each peer is called.
const EVERY: Duration = Duration::from_millis(500);
/// How often the table is asked for routers. A router registers before it asks
/// for the first time, so that of two that start together one finds the other.
const DISCOVER: Duration = Duration::from_secs(10);

/// Looks for other routers in the table again and again.
pub async fn discover(state: Arc<State>) {
    loop {
        if let Ok(rows) = (state.platform.scan)("router/".to_owned()).await {
            for row in rows {
                let of = Incarnation(row.key["router/".len()..].into());
                let Ok(Some(router)) = row.decode::<RouterRow>() else {
                    continue;
                };
                meet(&state, of, &router);
            }
        }
        tokio::time::sleep(DISCOVER.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

fn meet(state: &State, of: Incarnation, router: &RouterRow) {
    if router.stage == Stage::Sealed {
        state.peers.forget(&of);
    } else if of != state.me
        && let Ok(address) = router.address.parse::<SocketAddr>()
    {
        state.peers.met(of, address);
    }
}

/// Calls every peer again and again, and at once when something changed.
pub async fn gossip(state: Arc<State>) {
    loop {
        let started = Instant::now();
        let peers = state.peers.all();
        join_all(peers.iter().map(|(of, known)| exchange(&state, of, known))).await;
        let live = state.peers.live_count(Instant::now());
        state.dispatch.shared_by(live as u32 + 1);
        let rest = EVERY.saturating_sub(started.elapsed());
        tokio::select! {
            () = tokio::time::sleep(rest) => {}
            () = state.refresh.notified() => {}
        }
    }
}

async fn exchange(state: &Arc<State>, of: &Incarnation, known: &PeerEntry) {
    let config = state.config();
    let behind = known.generation < config.generation;
    let request = GossipRequest {
        sender: Some(member(state)),
        sightings: state.crashes.told(Instant::now()),
        config: if behind { encode(&config) } else { Vec::new() },
    };
    let mut client = known.client.clone();
    // A router that answers no more is forgotten once it is sealed.
    let Ok(reply) = client.gossip(request).await else {
        return;
    };
    let reply = reply.into_inner();
    let now = Instant::now();
    // Another life may listen where the known one did.
    if let Some(sender) = reply.sender.filter(|s| s.incarnation == *of.0) {
        state.peers.heard(&sender, now);
    }
    state.crashes.hear(reply.sightings, now);
    learn(state, &reply.config);
}

/// What this router says of itself.
pub(super) fn member(state: &State) -> Member {
    Member {
        incarnation: state.me.to_string(),
        address: state.settings.advertised().to_string(),
        centre: state.settings.centre.to_string(),
        generation: state.config().generation,
        draining: state.is_draining(),
    }
}

/// The configuration as it goes to a peer.
pub(super) fn encode(config: &Config) -> Vec<u8> {
    serde_json::to_vec(&ConfigWire::from(config)).expect("a configuration is plain data")
}

/// Applies a configuration that came from a peer, where it is newer.
pub(super) fn learn(state: &State, config: &[u8]) {
    if config.is_empty() {
        return;
    }
    let wire = serde_json::from_slice::<ConfigWire>(config).ok();
    let config = wire.and_then(|wire| Config::try_from(wire).ok());
    if let Some(config) = config {
        crate::config_sync::apply(state, config, Source::Peer);
    }
}
