//! The choice of a server for a request.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use poplar_core::affinity::{self, Candidate, Choice, Query};
use poplar_core::availability::Availability;
use poplar_core::deployment::Server;
use poplar_core::id::Name;

use super::availability::{availability, health_state};
use super::{
    InFlight, MESSAGE_LIFETIME, Peers, Requirement, ServerState, Servers, State, Unavailable,
    limits,
};
use crate::relay::gossip::ServerWork;
use crate::sync::lock;

/// How many times faster the cache of a prompt part is fetched from another
/// engine than computed.
const FETCH_SPEEDUP: u64 = 3;

/// What a request asks of the server that gets it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Most tokens of its output.
    pub output_tokens: u64,
}

/// Requests that the other routers have at a server, and their prefill tokens.
fn peer_work(peers: &Peers, id: &str, now: Instant) -> (u32, u64) {
    let is_current =
        |(_, (at, _)): &(&IpAddr, &(Instant, Vec<ServerWork>))| now < *at + MESSAGE_LIFETIME;
    let work = peers.iter().filter(is_current);
    let work = work.flat_map(|(_, (_, work))| work);
    let here = work.filter(|w| *w.server == *id);
    here.fold((0, 0), |sum, w| {
        (sum.0 + w.requests, sum.1 + w.prefill_tokens)
    })
}

impl Servers {
    /// Chooses a server of `service` that meets the requirement, and counts a request
    /// with this demand there.
    ///
    /// # Errors
    /// [`Unavailable`] if no server takes it now.
    pub fn choose(
        self: &Arc<Self>,
        service: &Name,
        requirement: Requirement<'_>,
        query: &Query<'_>,
        demand: Demand,
        now: Instant,
    ) -> Result<InFlight, Unavailable> {
        let mut state = lock(&self.state);
        let State {
            list,
            health,
            states,
            peers,
            holders,
            limits,
            notices,
            ended,
            ..
        } = &mut *state;
        limits.record_request(service, now);
        let mut listed: Vec<&Server> = list.of_service(service, now).collect();
        requirement.apply(&mut listed, ended)?;
        let mut candidates = Vec::with_capacity(listed.len());
        let mut closed = Vec::new();
        for server in &listed {
            let availability = availability(limits, health, notices, server, now);
            if let Availability::Closed { reason, wait } = availability {
                closed.push((*server, reason, wait));
                continue;
            }
            let known = states.get(&*server.id);
            let load = known.and_then(|k| k.load);
            let (requests, prefill_tokens) = peer_work(peers, &server.id, now);
            candidates.push(Candidate {
                id: server.id.clone(),
                same_centre: server.centre == self.centre,
                in_flight: requests + known.map_or(0, |k| k.requests),
                prefill_tokens: prefill_tokens + known.map_or(0, |k| k.prefill_tokens),
                running: load.map_or(0, |l| l.running),
                waiting: load.map_or(0, |l| l.waiting),
                health: health_state(health, server, now),
                last_resort: matches!(availability, Availability::LastResort(_)),
            });
        }
        if candidates.is_empty() {
            return Err(limits::unavailable(limits, &closed));
        }
        let Choice {
            id,
            is_home,
            home_server,
            work,
        } = affinity::choose(&candidates, query).ok_or(Unavailable::NoServer)?;
        let find = |id: &Name| listed.iter().copied().find(|s| s.id == *id && s.ready);
        let server = find(&id).ok_or(Unavailable::NoServer)?.clone();
        limits.take_permit(&id);
        let recorded = holders.get(&query.prompt_id).cloned();
        let holder = match recorded {
            _ if query.shared_tokens < affinity::MIN_SHARED_TOKENS => None,
            Some(holder) if holder == id => None,
            Some(holder) => Some(holder),
            None => home_server,
        };
        let fetch_from = holder.and_then(|id| Some(find(&id)?.address));
        // A part that is fetched counts only for the time that the fetch takes; one
        // whose home is this server does not count.
        let cached = match fetch_from {
            Some(_) => query.shared_tokens - query.shared_tokens / FETCH_SPEEDUP,
            None if is_home => query.shared_tokens,
            None => 0,
        };
        let prefill_tokens = demand.prompt_tokens.saturating_sub(cached);
        let known = states.get_or_insert_with(id, ServerState::default);
        known.requests += 1;
        known.prefill_tokens += prefill_tokens;
        Ok(InFlight {
            servers: self.clone(),
            server,
            is_home,
            fetch_from,
            work_ahead: work,
            prompt_id: (query.shared_tokens >= affinity::MIN_SHARED_TOKENS)
                .then_some(query.prompt_id),
            prefill_tokens,
        })
    }
}
