//! Holds a little of each workspace's budget before its first request.
//!
//! A router that holds nothing when the platform goes down would have to refuse
//! a workspace whose budget is hardly touched.

use std::sync::Arc;
use std::time::Duration;

use crate::state::State;

/// How often holdings are looked at.
const EVERY: Duration = Duration::from_secs(1);
/// Workspaces beyond which only those with requests are drawn for: the sum over
/// all routers would otherwise be a load on the table of its own.
const WORKSPACES_MOST: usize = 64;

/// Draws ahead for each configured workspace, again and again.
pub async fn keep(state: Arc<State>) {
    loop {
        tokio::time::sleep(EVERY.mul_f64(rand::random_range(0.5..1.5))).await;
        let config = state.config();
        if config.workspaces.len() > WORKSPACES_MOST || !state.is_ready() {
            continue;
        }
        for workspace in &config.workspaces {
            state.bank.draw_ahead(&workspace.name, state.router());
        }
    }
}
