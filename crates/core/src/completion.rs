//! The choice of a server by the predicted time to completion: its load is requests of
//! uneven cost at servers of uneven pace.
//!
//! It applies to a service of which a server states the time that work takes there. The
//! servers of any other service are chosen by [`affinity`].
//!
//! Many routers decide from the same reports. So that they do not all choose the same
//! server, each considers half of a large group of servers, drawn for each request, and
//! adds some random time to each.

use std::time::Instant;

use crate::affinity::{self, Candidate, Choice, MIN_SHARED_TOKENS, Query};
use crate::cost::{Work, prefill_ms};
use crate::pace::Pace;
use crate::route::rng::SplitMix64;
use crate::route::server::HealthState;

/// Share of the prefill of a shared prefix that it costs elsewhere than at its home. It
/// is below 1 since another server fetches the prefix from the home.
const HOME_ADVANTAGE: f64 = 0.8;
/// Factor on the time at a server in another data centre: traffic between them is
/// expensive, so that it is worth it only for requests that end much earlier.
const CENTRE_FACTOR: f64 = 1.4;
/// Time added for a server in another data centre.
const CENTRE_MS: f64 = 15.0;
/// Time added for a server that is not healthy: it is chosen only if every healthy one
/// takes that much longer.
const UNHEALTHY_MS: f64 = 2_000.0;
/// Most random time added, as a share of the predicted one.
const RANDOM_SHARE: f64 = 0.1;
/// Largest group of servers, in the own data centre or elsewhere, of which all are
/// considered.
const MAX_WHOLE_GROUP: usize = 4;

/// What is known of the work at a server and of its pace.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outlook {
    /// Work left there of all routers, in milliseconds at pace 1.
    pub left_ms: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its pace.
    pub pace: Pace,
}

/// The candidates, as one request sees them.
struct View<'a> {
    usable: Vec<&'a Candidate>,
    home: Option<&'a Candidate>,
    work: &'a Work,
    now: Instant,
}

/// Chooses a server; `None` if there are no candidates.
pub fn choose(
    candidates: &[Candidate],
    query: &Query<'_>,
    work: &Work,
    now: Instant,
) -> Option<Choice> {
    let is_stated = |c: &Candidate| c.outlook.is_some_and(|outlook| outlook.pace.is_stated());
    if !candidates.iter().any(is_stated) {
        return affinity::choose(candidates, query);
    }
    let usable = affinity::usable(candidates, query);
    let has_home = query.shared_tokens >= MIN_SHARED_TOKENS;
    let home = has_home.then(|| home(query.prompt_id, &usable)).flatten();
    let view = View {
        usable,
        home,
        work,
        now,
    };
    view.pick(query.random)
}

/// The home of a shared prefix: rendezvous hashing, weighted by the class of the pace.
fn home<'a>(prompt_id: u64, usable: &[&'a Candidate]) -> Option<&'a Candidate> {
    let mut best: Option<(f64, u64, &Candidate)> = None;
    for candidate in usable {
        let hash = affinity::weight(prompt_id, &candidate.id);
        let share = (hash as f64 + 0.5) / 2f64.powi(64);
        let weight = candidate.outlook.map_or(1.0, |o| o.pace.home_weight());
        let score = share.ln() / weight;
        let is_better = |(most, tie, _): &(f64, u64, _)| (score, hash) > (*most, *tie);
        if best.as_ref().is_none_or(is_better) {
            best = Some((score, hash, candidate));
        }
    }
    best.map(|(_, _, candidate)| candidate)
}

impl View<'_> {
    fn pick(&self, random: f64) -> Option<Choice> {
        let mut rng = SplitMix64::new(random.to_bits());
        let group = |same: bool| self.usable.iter().filter(|c| c.same_centre == same).count();
        let (near, far) = (group(true), group(false));
        let mut best: Option<(f64, f64, &Candidate)> = None;
        let mut skipped: Option<(f64, f64, &Candidate)> = None;
        for candidate in &self.usable {
            let group = if candidate.same_centre { near } else { far };
            let is_drawn = rng.next_u64() >> 63 == 0;
            let completion = self.completion_ms(candidate);
            let cost = penalized(candidate, completion) * (1.0 + RANDOM_SHARE * rng.next_f64());
            let is_considered = is_drawn || group <= MAX_WHOLE_GROUP || self.is_home(candidate);
            let least = if is_considered {
                &mut best
            } else {
                &mut skipped
            };
            if least.is_none_or(|(known, _, _)| cost < known) {
                *least = Some((cost, completion, candidate));
            }
        }
        let (_, completion, chosen) = best.or(skipped)?;
        let is_home = self.is_home(chosen);
        Some(Choice {
            id: chosen.id.clone(),
            is_home,
            home_server: self.home.filter(|_| !is_home).map(|c| c.id.clone()),
            work: affinity::work(chosen),
            completion_ms: Some(completion),
        })
    }

    fn is_home(&self, candidate: &Candidate) -> bool {
        self.home.is_some_and(|home| std::ptr::eq(home, candidate))
    }

    /// Predicted time until a server completes the request.
    fn completion_ms(&self, candidate: &Candidate) -> f64 {
        let outlook = candidate.outlook.unwrap_or_default();
        let running = candidate.running.max(candidate.in_flight);
        let mut work = outlook.left_ms.max(0.0) + self.work.alone_ms(running, outlook.slots);
        if !self.is_home(candidate) {
            work += HOME_ADVANTAGE * prefill_ms(self.work.shared_tokens);
        }
        outlook.pace.time_ms(work, self.now)
    }
}

/// The predicted time, with what is added against a server.
fn penalized(candidate: &Candidate, completion: f64) -> f64 {
    let mut cost = completion;
    if !candidate.same_centre {
        cost = cost * CENTRE_FACTOR + CENTRE_MS;
    }
    if candidate.health != HealthState::Healthy {
        cost += UNHEALTHY_MS;
    }
    cost
}
