//! Holds a little of each workspace's budget before its first request.
//!
//! A router that holds nothing when the platform goes down would have to refuse
//! a workspace whose budget is hardly touched.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::state::State;

/// How long one round over the workspaces takes.
const EVERY: Duration = Duration::from_secs(1);
/// Pause between rounds.
const PAUSE: Duration = Duration::from_millis(50);
/// Workspaces beyond which only those with requests are drawn for: the sum over
/// all routers would otherwise be a load on the table of its own.
const WORKSPACES_MOST: usize = 64;

/// Draws ahead for each configured workspace, again and again.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        let config = state.config();
        if config.workspaces.len() > WORKSPACES_MOST || !state.is_ready() {
            continue;
        }
        // Routers that start together must not all draw on the same budget.
        let mut workspaces: Vec<_> = config.workspaces.iter().collect();
        workspaces.shuffle(&mut rand::rng());
        let pause = EVERY / workspaces.len().max(1) as u32;
        for workspace in workspaces {
            state.budgets.draw_ahead(&workspace.name, state.router());
            tokio::time::sleep(pause).await;
        }
    }
}
