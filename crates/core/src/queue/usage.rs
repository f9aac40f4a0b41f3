//! What each workspace was served lately, over all priorities.
//!
//! Priorities go before fairness between workspaces, so a rush of urgent work
//! would keep other workspaces' less urgent work waiting. What is kept here
//! tells whose requests have to stand back: those of a workspace that was
//! served far more than an even part.

use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Time over which what was served is forgotten.
const WINDOW: Duration = Duration::from_secs(10);

/// Time after which weights are brought up to date.
const TIDY: Duration = Duration::from_secs(1);

/// Part of an even part below which a workspace counts as not served.
const LITTLE: f64 = 0.05;

/// How many times an even part is far more than it.
const FAR: f64 = 1.5;

/// Least part of the window over which a rate is taken.
const SHORTEST: f64 = 0.05;

/// One workspace's standing.
#[derive(Debug, Clone, Copy, Default)]
struct Standing {
    /// Tokens served; later ones weigh more, in place of earlier ones less.
    weight: f64,
    /// Entries queued.
    queued: usize,
}

/// Standings of the workspaces that were served lately or have entries.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    standings: SortedVec<Name, Standing>,
    total: f64,
    /// When a token weighs one.
    base: Option<Instant>,
    /// When the first one was served.
    since: Option<Instant>,
}

impl Usage {
    /// Counts an entry that was queued.
    pub(super) fn push(&mut self, workspace: &Name) {
        let standing = self.standings.entry(workspace.clone(), Standing::default);
        standing.queued += 1;
    }

    /// Counts an entry that was taken out without being served.
    pub(super) fn pop(&mut self, workspace: &str) {
        if let Some(standing) = self.standings.get_mut(workspace) {
            standing.queued -= 1;
        }
    }

    /// Counts tokens that a workspace was served.
    pub(super) fn served(&mut self, workspace: &str, cost: u32, now: Instant) {
        let base = *self.base.get_or_insert(now);
        self.since.get_or_insert(now);
        let scale = windows(base, now).exp();
        if let Some(standing) = self.standings.get_mut(workspace) {
            standing.weight += f64::from(cost) * scale;
            self.total += f64::from(cost) * scale;
        }
        if now >= base + TIDY {
            self.tidy(scale);
            self.base = Some(now);
        }
    }

    /// Entries that a workspace has queued.
    pub(super) fn queued(&self, workspace: &str) -> usize {
        self.standings.get(workspace).map_or(0, |s| s.queued)
    }

    /// Whether a workspace was served far more than an even part.
    pub(super) fn stands_back(&self, workspace: &str) -> bool {
        let weight = self.standings.get(workspace).map_or(0.0, |s| s.weight);
        weight * self.standings.len() as f64 > FAR * self.total
    }

    /// Tokens a second that a workspace was served.
    pub(super) fn rate(&self, workspace: &str, now: Instant) -> f64 {
        let (Some(base), Some(since)) = (self.base, self.since) else {
            return 0.0;
        };
        let weight = self.standings.get(workspace).map_or(0.0, |s| s.weight);
        let tokens = weight * (-windows(base, now)).exp();
        let span = 1.0 - (-windows(since, now)).exp();
        tokens / (WINDOW.as_secs_f64() * span.max(SHORTEST))
    }

    /// Divides all weights, and forgets workspaces that ask for little.
    ///
    /// Otherwise those that were busy some time ago would make an even part
    /// look small.
    fn tidy(&mut self, scale: f64) {
        let least = LITTLE * self.total / self.standings.len().max(1) as f64;
        self.standings
            .retain(|_, s| s.queued > 0 || s.weight >= least);
        self.total = 0.0;
        for (_, standing) in self.standings.iter_mut() {
            standing.weight /= scale;
            self.total += standing.weight;
        }
    }
}

/// Windows between two times.
fn windows(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() / WINDOW.as_secs_f64()
}
