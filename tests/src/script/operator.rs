//! Commands that act as an operator: top-ups and configuration changes.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::Scenario;
use super::arguments::Arguments;
use crate::error::Result;
use crate::platform::CommitResult;
use crate::{audit, fleet, wait, web};

/// Time within which a configuration must be in force on all routers.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);

impl Scenario {
    /// `topup`: raises a limit; the limits are audited before.
    pub(super) async fn top_up(&mut self, args: &mut Arguments) -> Result<String> {
        let budget = args
            .optional("budget")?
            .unwrap_or_else(|| "rift".to_owned());
        let tokens = args.required_number("tokens")?;
        let fleet = self.fleet()?;
        let faults = audit::check_limits(fleet).await?;
        let raised = |value: &Value| {
            let mut next = value.clone();
            next["limit"] = json!(value["limit"].as_u64().unwrap_or(0) + tokens);
            next
        };
        let key = format!("budget/{budget}");
        fleet.platform.update_row(&key, raised).await?;
        Ok(faults.join("\n"))
    }

    async fn next_config(&self, cap: u64) -> Result<(u64, Value)> {
        let platform = &self.fleet()?.platform;
        let row = platform.row("config").await?;
        let mut next = row.value.clone();
        next["generation"] = json!(row.value["generation"].as_u64().unwrap_or(0) + 1);
        for class in next["classes"].as_array_mut().into_iter().flatten() {
            if class["kind"] == "model" {
                class["cap"] = json!(cap);
            }
        }
        Ok((row.version, next))
    }

    /// `apply`: commits a configuration with another output cap to the table.
    pub(super) async fn apply(&mut self, args: &mut Arguments) -> Result<String> {
        let cap = args.number("cap")?.unwrap_or(300);
        let (version, next) = self.next_config(cap).await?;
        let result = self.fleet()?.platform.commit("config", version, &next);
        Ok(format!("{:?}\n", result.await?))
    }

    /// `race`: two operators apply changes based on the same generation.
    pub(super) async fn race(&mut self) -> Result<String> {
        let (version, one) = self.next_config(301).await?;
        let (_, two) = self.next_config(302).await?;
        let platform = &self.fleet()?.platform;
        let first = platform.commit("config", version, &one);
        let second = platform.commit("config", version, &two);
        let result = [first.await?, second.await?];
        let count = |what| result.iter().filter(|d| **d == what).count();
        let (yes, conflict) = (count(CommitResult::Yes), count(CommitResult::Conflict));
        Ok(format!("{yes} accepted, {conflict} conflict\n"))
    }

    /// `in-force`: checks that all live routers apply a generation in time.
    pub(super) async fn in_force(&mut self, args: &mut Arguments) -> Result<String> {
        let wanted = args.required_number("generation")?;
        let start = Instant::now();
        let mut late = Vec::new();
        for router in self.fleet()?.live_routers() {
            let reached = wait::until("the generation", async || {
                let now = generation(router.admin).await;
                (now >= wanted || start.elapsed() > IN_FORCE_TIMEOUT).then_some(now)
            });
            if reached.await? < wanted {
                late.push(router.name);
            }
        }
        match late.is_empty() {
            true => Ok("within 4 s\n".to_owned()),
            false => Ok(format!("not within 4 s: {}\n", late.join(" "))),
        }
    }

    /// `generation`: prints the generations in force on routers.
    pub(super) async fn generation(&mut self, args: &mut Arguments) -> Result<String> {
        let mut text = String::new();
        for name in args.bare_words() {
            let admin = self.fleet()?.router(&name)?.admin;
            text.push_str(&format!("{name} {}\n", generation(admin).await));
        }
        Ok(text)
    }
}

async fn generation(admin: std::net::SocketAddr) -> u64 {
    let page: Value = web::get(admin, "/v1/status").await.unwrap_or_default();
    page["generation"].as_u64().unwrap_or(0)
}

/// Lists the names of a fleet's budgets, in order.
pub(super) async fn budget_names(fleet: &fleet::Fleet) -> Result<Vec<String>> {
    let budgets = fleet.platform.budgets().await?;
    Ok(budgets.into_iter().map(|b| b.name).collect())
}
