//! The choice of a server for a request.

use std::sync::Arc;
use std::time::Instant;

use poplar_core::affinity::{self, Candidate, Choice, Query};
use poplar_core::availability::Availability;
use poplar_core::completion;
use poplar_core::cost::Work;
use poplar_core::deployment::Server;
use poplar_core::engine_memory::Reservation;
use poplar_core::evacuation;
use poplar_core::id::Name;

use super::availability::{Intakes, availability, health_state};
use super::pace::{Progress, ServicePace, micros};
use super::{InFlight, Requirement, ServerState, Servers, State, Unavailable, limits, memory};
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
    /// Tokens of its output that are likely.
    pub likely_output: u64,
    /// Time that it is likely to take in microseconds, if it has no tokens.
    pub call_us: u64,
    /// Output tokens that the client expects.
    pub output_hint: Option<u64>,
    /// Output tokens that another server sent already.
    pub done_tokens: u64,
    /// Tokens that the memory of each server holds; 0 if that is no limit.
    pub kv_capacity: u64,
}

impl Demand {
    /// The work of the request if this many tokens of its prompt may be cached.
    fn work(&self, shared_tokens: u64) -> Work {
        Work {
            prompt_tokens: self.prompt_tokens.saturating_sub(shared_tokens),
            shared_tokens: shared_tokens.min(self.prompt_tokens),
            output_tokens: self.likely_output,
            call_ms: self.call_us as f64 / 1e3,
        }
    }
}

/// Decides whether a request may choose a data centre that gets a part of them.
/// Requests with the same shared prompt decide alike, so that its home changes once.
fn draw(query: &Query<'_>) -> f64 {
    if query.shared_tokens < affinity::MIN_SHARED_TOKENS {
        return rand::random();
    }
    evacuation::draw_of(query.prompt_id)
}

impl Servers {
    /// Chooses a server of `service` that meets the requirement, and counts a request
    /// with this demand there.
    ///
    /// # Errors
    /// [`Unavailable`] if no server takes it now, or ever.
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
            paces,
            holders,
            limits,
            notices,
            ended,
            evacuations,
            cold,
            ..
        } = &mut *state;
        let need = memory::need(query, &demand);
        if need.fits_nowhere(demand.kv_capacity) {
            return Err(Unavailable::TooLarge);
        }
        let mut is_full = false;
        limits.record_request(service, now);
        peers.expire(now);
        let pace = paces.get_or_insert_with(service.clone(), ServicePace::default);
        let mut listed: Vec<&Server> = list.of_service(service, now).collect();
        requirement.apply(&mut listed, ended)?;
        let draw = draw(query);
        let mut candidates = Vec::with_capacity(listed.len());
        let mut closed = Vec::new();
        for server in &listed {
            let intakes = Intakes::of((evacuations, cold), limits, server, draw, now);
            let availability = availability(limits, health, notices, server, intakes, now);
            if let Availability::Closed { reason, wait } = availability {
                closed.push((*server, reason, wait));
                continue;
            }
            let mut known = states.get_mut(&*server.id);
            if !memory::has_room(&mut known, &need, demand.kv_capacity, now) {
                is_full = true;
                continue;
            }
            let known = known.map(|known| &*known);
            let load = known.and_then(|k| k.load);
            let others = peers.at(&server.id);
            candidates.push(Candidate {
                id: server.id.clone(),
                same_centre: server.centre == self.centre,
                in_flight: others.requests + known.map_or(0, |k| k.requests),
                prefill_tokens: others.prefill_tokens + known.map_or(0, |k| k.prefill_tokens),
                running: load.map_or(0, |l| l.running),
                waiting: load.map_or(0, |l| l.waiting),
                health: health_state(health, server, now),
                last_resort: matches!(availability, Availability::LastResort(_)),
                outlook: Some(pace.outlook(known, &others, server.slots, now)),
            });
        }
        if candidates.is_empty() && is_full {
            return Err(Unavailable::Full);
        }
        if candidates.is_empty() {
            return Err(limits::unavailable(limits, &closed));
        }
        let shared_work = demand.work(query.shared_tokens);
        let Choice {
            id,
            is_home,
            home_server,
            work,
            completion_ms,
        } = completion::choose(&candidates, query, &shared_work, now)
            .ok_or(Unavailable::NoServer)?;
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
        // A fetch is work for the server that holds the prompt.
        let source = holder.and_then(|id| find(&id));
        let source = source.filter(|s| !evacuations.is_evacuated(&s.centre));
        let fetch_from = source.map(|server| server.address);
        // A part that is fetched counts only for the time that the fetch takes; one
        // whose home is this server does not count.
        let cached = match fetch_from {
            Some(_) => query.shared_tokens - query.shared_tokens / FETCH_SPEEDUP,
            None if is_home => query.shared_tokens,
            None => 0,
        };
        let prefill_tokens = demand.prompt_tokens.saturating_sub(cached);
        let work_there = Work {
            prompt_tokens: prefill_tokens,
            ..demand.work(query.shared_tokens)
        };
        let share_ms = work_there.share_ms(server.slots);
        pace.record_request(share_ms);
        let known = states.get_or_insert_with(id, ServerState::default);
        let others = peers.at(&server.id);
        let is_free = known
            .load
            .is_none_or(|l| l.waiting == 0 && l.running < server.slots);
        let mut progress = Progress::new(work_there, micros(share_ms), completion_ms, now);
        progress.ahead = is_free.then_some(known.prefill_tokens + others.prefill_tokens);
        progress.pace = known.pace.slow();
        known.requests += 1;
        known.prefill_tokens += prefill_tokens;
        known.left_us += progress.left_us;
        let memory = match demand.kv_capacity {
            0 => Reservation::default(),
            _ => known.memory.reserve(&need),
        };
        Ok(InFlight {
            servers: self.clone(),
            server,
            is_home,
            fetch_from,
            work_ahead: work,
            prompt_id: (query.shared_tokens >= affinity::MIN_SHARED_TOKENS)
                .then_some(query.prompt_id),
            prefill_tokens,
            progress,
            memory,
        })
    }
}
