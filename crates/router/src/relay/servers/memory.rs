//! Memory of engines: what requests hold there, see [`poplar_core::engine_memory`].
//!
//! An account changes only for services whose engines have a limited memory, so that
//! the messages and choices of all others stay as they are without it.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::time::Instant;

use poplar_core::affinity::Query;
use poplar_core::engine_memory::Need;

use super::{Demand, InFlight, ServerState, Servers, State};
use crate::relay::gossip::{LoadMessage, ServerWork};
use crate::sync::lock;

/// Bytes of a message without entries for servers, about.
const MESSAGE_BASE_BYTES: usize = 130;
/// Bytes of a server's entries in both lists of a message, besides its name: figures of
/// up to seven digits and punctuation.
const ENTRY_BYTES: usize = 36;
/// Fewest servers in a message, also if it then takes longer to be repeated.
const MIN_SERVERS: usize = 4;

/// What a request needs at an engine.
pub(super) fn need(query: &Query<'_>, demand: &Demand) -> Need {
    Need {
        prompt: demand.prompt_tokens,
        shared_id: query.prompt_id,
        shared: query.shared_tokens.min(demand.prompt_tokens),
        hint: demand.output_hint,
        output: demand.output_tokens,
        done: demand.done_tokens,
    }
}

/// Whether a server has room for a request.
pub(super) fn has_room(
    server: &mut Option<&mut ServerState>,
    need: &Need,
    capacity: u64,
    now: Instant,
) -> bool {
    let server = server.as_mut();
    server.is_none_or(|server| server.memory.has_room(need, capacity, now))
}

/// Records what another router says that it holds. `is_first` tells whether it has the
/// lower address: it then counts the shared prompts that it announces.
pub(super) fn record_message(
    state: &mut State,
    from: IpAddr,
    message: &LoadMessage,
    is_first: bool,
    now: Instant,
) {
    if message.work.is_empty() {
        for (_, known) in state.states.iter_mut() {
            known.memory.record_peer(from, 0, now);
        }
    }
    for work in &message.work {
        let known = state.states.get_mut(&*work.server);
        // No tokens of some requests mean that the router does not know them.
        let known = known.filter(|_| work.held_tokens > 0 || work.requests == 0);
        if let Some(known) = known {
            known.memory.record_peer(from, work.held_tokens, now);
        }
    }
    for (prompt_id, server) in message.holders.iter().filter(|_| is_first) {
        if let Some(known) = state.states.get_mut(&**server) {
            known.memory.record_announcement(*prompt_id, now);
        }
    }
}

impl Servers {
    /// This router's requests at servers, as the next message to the other routers says:
    /// at most `most` servers, and where they hold memory, no more than fit into a
    /// message of `bytes`.
    pub fn work_to_tell(&self, most: usize, bytes: usize, now: Instant) -> Vec<ServerWork> {
        let mut work = self.own_work(now);
        let mut state = lock(&self.state);
        if !state
            .states
            .iter()
            .any(|(_, known)| known.memory.has_news())
        {
            work.sort_by_key(|w| Reverse((w.prefill_tokens, w.left_ms)));
            work.truncate(most);
            return work;
        }
        let urgency = |w: &ServerWork| {
            let known = state.states.get(&*w.server);
            known.map_or(0, |known| known.memory.urgency(now))
        };
        work.sort_by_cached_key(|w| Reverse(w.prefill_tokens.saturating_add(urgency(w))));
        let mut left = bytes.saturating_sub(MESSAGE_BASE_BYTES);
        let fitting = work.iter().take(most).take_while(|w| {
            let entry = 2 * w.server.len() + ENTRY_BYTES;
            let fits = entry <= left;
            left = left.saturating_sub(entry);
            fits
        });
        let count = fitting.count().max(MIN_SERVERS);
        work.truncate(count);
        // The choices until the next message then need not add them up.
        for (_, known) in state.states.iter_mut() {
            known.memory.refresh(now);
        }
        for w in &work {
            if let Some(known) = state.states.get_mut(&*w.server) {
                known.memory.record_told(now);
            }
        }
        work
    }

    /// Tokens that this router's requests hold at all engines, and the most that all
    /// routers' requests hold at one of them, for the metrics.
    pub fn held_tokens(&self, now: Instant) -> (u64, u64) {
        let mut state = lock(&self.state);
        let accounts = state.states.iter_mut().map(|(_, known)| &mut known.memory);
        accounts.fold((0, 0), |(own, most), account| {
            let held = account.held(now);
            (account.own().saturating_add(own), held.max(most))
        })
    }
}

impl InFlight {
    /// Records that output tokens came, which the server holds.
    pub fn record_output(&mut self, tokens: u64) {
        let growth = self.memory.add_output(tokens);
        if growth == 0 {
            return;
        }
        let mut state = lock(&self.servers.state);
        if let Some(known) = state.states.get_mut(&*self.server.id) {
            known.memory.grow(growth);
        }
    }
}
