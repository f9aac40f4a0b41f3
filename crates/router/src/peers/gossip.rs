//! Discovery of other routers, and periodic exchange of state with them: the
//! configuration, liveness and sightings of crashes.

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
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// How often the table is scanned for routers. A router registers before its
/// first scan, so of two routers that start together one finds the other.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(10);

/// Periodically scans the table for other routers.
pub async fn discover(state: Arc<State>) {
    loop {
        if let Ok(rows) = (state.platform.scan)("router/".to_owned()).await {
            for row in rows {
                let router = Incarnation(row.key["router/".len()..].into());
                let Ok(Some(found)) = row.decode::<RouterRow>() else {
                    continue;
                };
                update_peer(&state, router, &found);
            }
        }
        tokio::time::sleep(DISCOVERY_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

fn update_peer(state: &State, router: Incarnation, row: &RouterRow) {
    if row.stage == Stage::Sealed {
        state.peers.remove(&router);
    } else if router != state.incarnation
        && let Ok(address) = row.address.parse::<SocketAddr>()
    {
        state.peers.add(router, address);
    }
}

/// Calls every peer periodically, and at once when this router's state changed.
pub async fn gossip(state: Arc<State>) {
    loop {
        let started = Instant::now();
        let peers = state.peers.all();
        join_all(
            peers
                .iter()
                .map(|(router, peer)| exchange(&state, router, peer)),
        )
        .await;
        let live = state.peers.live_count(Instant::now());
        state.dispatcher.set_router_count(live as u32 + 1);
        let rest = GOSSIP_INTERVAL.saturating_sub(started.elapsed());
        tokio::select! {
            () = tokio::time::sleep(rest) => {}
            () = state.gossip_wake.notified() => {}
        }
    }
}

async fn exchange(state: &Arc<State>, router: &Incarnation, peer: &PeerEntry) {
    let config = state.config();
    let behind = peer.generation < config.generation;
    let request = GossipRequest {
        sender: Some(describe_self(state)),
        sightings: state.crashes.export_sightings(Instant::now()),
        config: if behind {
            encode_config(&config)
        } else {
            Vec::new()
        },
    };
    let mut client = peer.client.clone();
    // A router that no longer answers stays listed until it is sealed.
    let Ok(reply) = client.gossip(request).await else {
        return;
    };
    let reply = reply.into_inner();
    let now = Instant::now();
    // Another incarnation may listen at the address by now.
    if let Some(sender) = reply.sender.filter(|s| s.incarnation == *router.0) {
        state.peers.record_contact(&sender, now);
    }
    state.crashes.merge_sightings(reply.sightings, now);
    apply_config(state, &reply.config);
}

/// Describes this router to a peer.
pub(super) fn describe_self(state: &State) -> Member {
    Member {
        incarnation: state.incarnation.to_string(),
        address: state.settings.advertised().to_string(),
        centre: state.settings.centre.to_string(),
        generation: state.config().generation,
        draining: state.is_draining(),
    }
}

/// Encodes the configuration for a peer.
pub(super) fn encode_config(config: &Config) -> Vec<u8> {
    serde_json::to_vec(&ConfigWire::from(config)).expect("a configuration is plain data")
}

/// Applies a configuration that a peer sent, if it is newer. An invalid one is
/// ignored.
pub(super) fn apply_config(state: &State, config: &[u8]) {
    if config.is_empty() {
        return;
    }
    let wire = serde_json::from_slice::<ConfigWire>(config).ok();
    let config = wire.and_then(|wire| Config::try_from(wire).ok());
    if let Some(config) = config {
        crate::config_sync::apply(state, config, Source::Peer);
    }
}
