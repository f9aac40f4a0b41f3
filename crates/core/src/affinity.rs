//! Prefix-affinity routing: which backend server gets a request.
//!
//! Each long shared prompt prefix has a home server among the live engines of
//! its service. Rendezvous hashing gives the same home on every router, without
//! messages between them. A request goes to the home, where the prefix is in
//! the cache, unless the work queued there costs more than a prefill of the
//! prefix elsewhere. Short prompts and calls of plain services go to the least
//! loaded server, with a preference for the router's own data centre.

use crate::completion::Outlook;
use crate::id::Name;
use crate::route::server::HealthState;

/// Shared prefixes with fewer tokens have no home: their prefill takes less time
/// than a wait of a few engine steps.
pub const MIN_SHARED_TOKENS: u64 = 800;
/// Cost advantage of the home, as a multiple of the prefill of the shared prefix.
/// It is below 1 since another server fetches the prefix from the home in a
/// third of the time of a prefill.
const HOME_ADVANTAGE: f64 = 0.8;
/// Work of a running request in prompt tokens: it slows down each step, and its
/// memory is read in each.
const RUNNING_WORK: f64 = 60.0;
/// Work of a request that waits at the server, in prompt tokens.
const WAITING_WORK: f64 = 2_000.0;
/// Cost advantage of a server in the same data centre, in prompt tokens.
const CENTRE_ADVANTAGE: f64 = 800.0;
/// Work added to a server that is not healthy, in prompt tokens: it is chosen
/// only if every healthy one has that much more work.
const UNHEALTHY_WORK: f64 = 100_000.0;

/// A server that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its identity.
    pub id: Name,
    /// Whether it is in the router's data centre.
    pub same_centre: bool,
    /// Requests there from this router, and from the others as they reported.
    pub in_flight: u32,
    /// Prompt tokens of the requests in flight that have no first token yet.
    pub prefill_tokens: u64,
    /// Running requests of all routers, from its last load report.
    pub running: u32,
    /// Waiting requests of all routers, from its last load report.
    pub waiting: u32,
    /// Its health.
    pub health: HealthState,
    /// Whether it gets requests only if no other server is left.
    pub last_resort: bool,
    /// What a prediction of completion needs; `None` if there is none.
    pub outlook: Option<Outlook>,
}

/// What the choice needs to know about the request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Identity of the shared prefix.
    pub prompt_id: u64,
    /// Length of the shared prefix in tokens.
    pub shared_tokens: u64,
    /// Servers that the request was sent to before.
    pub tried: &'a [Name],
    /// A random draw from 0 to 1 that breaks ties.
    pub random: f64,
}

/// The chosen server.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Its identity.
    pub id: Name,
    /// Whether it is the home of the shared prefix.
    pub is_home: bool,
    /// The home of the shared prefix, if that is another server.
    pub home_server: Option<Name>,
    /// Work ahead of the request there, in prompt tokens.
    pub work: f64,
    /// Predicted time to completion in milliseconds, if the choice was made by it.
    pub completion_ms: Option<f64>,
}

/// Work at a server, in prompt tokens.
pub(crate) fn work(candidate: &Candidate) -> f64 {
    let running = f64::from(candidate.running.max(candidate.in_flight));
    let penalty = if candidate.health == HealthState::Healthy {
        0.0
    } else {
        UNHEALTHY_WORK
    };
    candidate.prefill_tokens as f64
        + RUNNING_WORK * running
        + WAITING_WORK * f64::from(candidate.waiting)
        + penalty
}

/// Weight of a server in rendezvous hashing; the home has the greatest.
pub(crate) fn weight(prompt_id: u64, id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), prompt_id)
}

/// The home of a shared prefix among these servers.
pub fn home_server<'a>(
    prompt_id: u64,
    ids: impl IntoIterator<Item = &'a Name>,
) -> Option<&'a Name> {
    ids.into_iter().max_by_key(|id| weight(prompt_id, id))
}

/// The candidates that may be used: servers that are a last resort or were tried before
/// only if no other is left.
pub(crate) fn usable<'a>(candidates: &'a [Candidate], query: &Query<'_>) -> Vec<&'a Candidate> {
    let untried = |c: &&Candidate| !query.tried.contains(&c.id);
    let preferred = |c: &&Candidate| !c.last_resort;
    let mut usable: Vec<&Candidate> = candidates
        .iter()
        .filter(untried)
        .filter(preferred)
        .collect();
    if usable.is_empty() {
        usable = candidates.iter().filter(untried).collect();
    }
    if usable.is_empty() {
        usable = candidates.iter().collect();
    }
    usable
}

/// Chooses a server; `None` if there are no candidates.
///
/// Servers that are a last resort or were tried before are used only if no other is
/// left.
pub fn choose(candidates: &[Candidate], query: &Query<'_>) -> Option<Choice> {
    let usable = usable(candidates, query);
    let has_home = query.shared_tokens >= MIN_SHARED_TOKENS;
    let ids = usable.iter().map(|c| &c.id);
    let home = if has_home {
        home_server(query.prompt_id, ids)
    } else {
        None
    };
    pick(&usable, home, query)
}

fn pick(usable: &[&Candidate], home: Option<&Name>, query: &Query<'_>) -> Option<Choice> {
    let start = (query.random * usable.len() as f64) as usize;
    let mut best: Option<(f64, Choice)> = None;
    for at in 0..usable.len() {
        let candidate = usable[(at + start) % usable.len()];
        let is_home = home == Some(&candidate.id);
        let work = work(candidate);
        let mut cost = work;
        if is_home {
            cost -= HOME_ADVANTAGE * query.shared_tokens as f64;
        }
        if candidate.same_centre {
            cost -= CENTRE_ADVANTAGE;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let id = candidate.id.clone();
            let choice = Choice {
                id,
                is_home,
                home_server: home.filter(|_| !is_home).cloned(),
                work,
                completion_ms: None,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}
