//! Which backend server gets a request: homes for shared prompts.
//!
//! Each long shared prompt has a home among the live engines of its service,
//! the same on every router without a message, by rendezvous hashing. A
//! request goes there unless the work ahead of it exceeds what reading the
//! shared part again would take elsewhere. Short prompts and plain calls go
//! to the least loaded server, with a preference for the own data centre.

use crate::id::Name;
use crate::route::server::HealthState;

/// Shared prompts below this many tokens have no home: reading them again
/// takes less than a wait of a few steps.
pub const MIN_SHARED_TOKENS: u64 = 800;
/// How many times the reading of the shared part the wait at its home may be:
/// elsewhere the part is fetched from the home, in a third of that time.
const STAY: f64 = 0.8;
/// Work in prompt tokens that a request which is running stands for: it slows
/// each step and its memory is read in each.
const RUNNING: f64 = 60.0;
/// Work in prompt tokens that a request which waits at the server stands for.
const WAITING: f64 = 2_000.0;
/// Work in prompt tokens that staying in the data centre is worth.
const NEAR: f64 = 800.0;
/// Work that a server which is being probed has to be better by.
const PROBE: f64 = 100_000.0;

/// A server that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its identity.
    pub id: Name,
    /// Whether it is in the own data centre.
    pub same_centre: bool,
    /// Requests there, of this router and as the others told.
    pub in_flight: u32,
    /// Prompt tokens of these that have no first token yet.
    pub prefill_tokens: u64,
    /// Requests that it last said it runs, from all routers.
    pub running: u32,
    /// Requests that it last said wait there.
    pub waiting: u32,
    /// Whether health lets requests through.
    pub health: HealthState,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Identity of the shared prompt.
    pub prompt_id: u64,
    /// Its length in tokens.
    pub shared_tokens: u64,
    /// Servers that were tried.
    pub tried: &'a [Name],
    /// A draw from 0 to 1 that separates equals.
    pub random: f64,
}

/// A choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The server.
    pub id: Name,
    /// Whether it is the home of the shared prompt.
    pub is_home: bool,
    /// The home, where it is another server.
    pub home_server: Option<Name>,
    /// Work ahead of the request there, in prompt tokens.
    pub work: f64,
}

fn work(candidate: &Candidate) -> f64 {
    let running = f64::from(candidate.running.max(candidate.in_flight));
    let probed = if candidate.health == HealthState::Healthy {
        0.0
    } else {
        PROBE
    };
    candidate.prefill_tokens as f64
        + RUNNING * running
        + WAITING * f64::from(candidate.waiting)
        + probed
}

/// Weight of a server for a shared prompt; the greatest is its home.
fn weight(shared: u64, id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), shared)
}

/// The home of a shared prompt among these servers.
pub fn home_server<'a>(shared: u64, ids: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    ids.into_iter().max_by_key(|id| weight(shared, id))
}

/// Chooses a server; `None` where none may be used.
///
/// Servers that are ejected or were tried are used only where no other is left.
pub fn choose(candidates: &[Candidate], ask: &Query<'_>) -> Option<Choice> {
    let fresh = |c: &&Candidate| !ask.tried.contains(&c.id);
    let sound = |c: &&Candidate| c.health != HealthState::Ejected;
    let mut usable: Vec<&Candidate> = candidates.iter().filter(fresh).filter(sound).collect();
    if usable.is_empty() {
        usable = candidates.iter().filter(fresh).collect();
    }
    if usable.is_empty() {
        usable = candidates.iter().collect();
    }
    let has_home = ask.shared_tokens >= MIN_SHARED_TOKENS;
    let ids = usable.iter().map(|c| &c.id);
    let home = if has_home {
        home_server(ask.prompt_id, ids)
    } else {
        None
    };
    pick(&usable, home, ask)
}

fn pick(usable: &[&Candidate], home: Option<&Name>, ask: &Query<'_>) -> Option<Choice> {
    let turn = (ask.random * usable.len() as f64) as usize;
    let mut best: Option<(f64, Choice)> = None;
    for at in 0..usable.len() {
        let candidate = usable[(at + turn) % usable.len()];
        let is_home = home == Some(&candidate.id);
        let work = work(candidate);
        let mut cost = work;
        if is_home {
            cost -= STAY * ask.shared_tokens as f64;
        }
        if candidate.same_centre {
            cost -= NEAR;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let id = candidate.id.clone();
            let choice = Choice {
                id,
                is_home,
                home_server: home.filter(|_| !is_home).cloned(),
                work,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}
