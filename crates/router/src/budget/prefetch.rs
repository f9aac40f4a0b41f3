//! Draws a small grant of each workspace's budget before its first request.
//!
//! Without it, a router that holds nothing when the platform goes down would
//! have to refuse a workspace although most of its budget is unspent.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::state::State;

/// Time over which one round over all workspaces is spread.
const ROUND_TIME: Duration = Duration::from_secs(1);
/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// With more workspaces than this, grants are drawn only for those that have
/// requests: the draws ahead of all routers together would load the table.
const MAX_WORKSPACES: usize = 64;

/// Draws ahead for each configured workspace, round after round.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(ROUND_PAUSE).await;
        let config = state.config();
        if config.workspaces.len() > MAX_WORKSPACES || !state.is_ready() {
            continue;
        }
        // A random order keeps routers that start together from all drawing on
        // the same budget at once.
        let mut workspaces: Vec<_> = config.workspaces.iter().collect();
        workspaces.shuffle(&mut rand::rng());
        let pause = ROUND_TIME / workspaces.len().max(1) as u32;
        for workspace in workspaces {
            state
                .budgets
                .draw_ahead(&workspace.name, state.row_version());
            tokio::time::sleep(pause).await;
        }
    }
}
