//! Recent usage of each workspace, over all priorities.
//!
//! Priority takes precedence over fairness between workspaces, so a burst of
//! urgent requests would keep other workspaces' less urgent requests waiting.
//! The usage shows which workspaces are over their share: those that were served
//! far more than an even share. Their requests are deprioritised.

use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Time constant with which recorded usage decays exponentially.
const WINDOW: Duration = Duration::from_secs(10);

/// Time after which weights are scaled back to the present.
const RENORMALISE_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of an even share below which an idle workspace is removed.
const MIN_SHARE: f64 = 0.05;

/// Multiple of an even share above which a workspace is over its share.
const OVER_SHARE_FACTOR: f64 = 1.5;

/// Minimum fraction of the window over which a rate is computed.
const MIN_SPAN_FRACTION: f64 = 0.05;

/// Usage of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct WorkspaceUsage {
    /// Weighted number of tokens served.
    ///
    /// Instead of reducing the weight of earlier tokens, later ones get a higher one.
    weight: f64,
    /// Number of queued entries.
    queued: usize,
}

/// Usage of the workspaces that were served recently or have queued entries.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    workspaces: SortedVec<Name, WorkspaceUsage>,
    total: f64,
    /// Time at which a served token has weight 1.
    epoch: Option<Instant>,
    /// When the first token was served.
    first_served: Option<Instant>,
}

impl Usage {
    /// Counts an entry that was queued.
    pub(super) fn add_queued(&mut self, workspace: &Name) {
        let usage = self
            .workspaces
            .get_or_insert_with(workspace.clone(), WorkspaceUsage::default);
        usage.queued += 1;
    }

    /// Counts an entry that left the queue, whether or not it was served.
    pub(super) fn remove_queued(&mut self, workspace: &str) {
        if let Some(usage) = self.workspaces.get_mut(workspace) {
            usage.queued -= 1;
        }
    }

    /// Records `cost` tokens as served to a workspace.
    pub(super) fn record_served(&mut self, workspace: &str, cost: u32, now: Instant) {
        let epoch = *self.epoch.get_or_insert(now);
        self.first_served.get_or_insert(now);
        let scale = windows_between(epoch, now).exp();
        if let Some(usage) = self.workspaces.get_mut(workspace) {
            usage.weight += f64::from(cost) * scale;
            self.total += f64::from(cost) * scale;
        }
        if now >= epoch + RENORMALISE_INTERVAL {
            self.renormalise(scale);
            self.epoch = Some(now);
        }
    }

    /// Returns the number of entries that a workspace has queued.
    pub(super) fn queued(&self, workspace: &str) -> usize {
        self.workspaces.get(workspace).map_or(0, |s| s.queued)
    }

    /// Whether a workspace was served far more than an even share.
    pub(super) fn is_over_share(&self, workspace: &str) -> bool {
        let weight = self.workspaces.get(workspace).map_or(0.0, |s| s.weight);
        weight * self.workspaces.len() as f64 > OVER_SHARE_FACTOR * self.total
    }

    /// Returns the rate at which a workspace was served, in tokens per second.
    pub(super) fn rate(&self, workspace: &str, now: Instant) -> f64 {
        let (Some(epoch), Some(first_served)) = (self.epoch, self.first_served) else {
            return 0.0;
        };
        let weight = self.workspaces.get(workspace).map_or(0.0, |s| s.weight);
        let tokens = weight * (-windows_between(epoch, now)).exp();
        let span = 1.0 - (-windows_between(first_served, now)).exp();
        tokens / (WINDOW.as_secs_f64() * span.max(MIN_SPAN_FRACTION))
    }

    /// Divides all weights by `scale` and removes idle workspaces with little usage.
    ///
    /// Otherwise workspaces that were busy some time ago would reduce the even share.
    fn renormalise(&mut self, scale: f64) {
        let min_weight = MIN_SHARE * self.total / self.workspaces.len().max(1) as f64;
        self.workspaces
            .retain(|_, s| s.queued > 0 || s.weight >= min_weight);
        self.total = 0.0;
        for (_, usage) in self.workspaces.iter_mut() {
            usage.weight /= scale;
            self.total += usage.weight;
        }
    }
}

/// Returns the time between two instants, in units of [`WINDOW`].
fn windows_between(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() / WINDOW.as_secs_f64()
}
