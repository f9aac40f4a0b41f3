//! Commands of operators: budgets and the configuration.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::World;
use super::words::Words;
use crate::fault::Result;
use crate::platform::Committed;
use crate::{audit, fleet, wait, web};

/// Time within which a configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

impl World {
    /// `topup`: raises a limit, after a look at what holds before.
    pub(super) async fn top_up(&mut self, words: &mut Words) -> Result<String> {
        let budget = words.text("budget")?.unwrap_or_else(|| "rift".to_owned());
        let tokens = words.need_number("tokens")?;
        let fleet = self.fleet()?;
        let faults = audit::limits(fleet).await?;
        let raised = |value: &Value| {
            let mut next = value.clone();
            next["limit"] = json!(value["limit"].as_u64().unwrap_or(0) + tokens);
            next
        };
        let key = format!("budget/{budget}");
        fleet.platform.change(&key, raised).await?;
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

    /// `apply`: puts a configuration with another cap into the table.
    pub(super) async fn apply(&mut self, words: &mut Words) -> Result<String> {
        let cap = words.number("cap")?.unwrap_or(300);
        let (version, next) = self.next_config(cap).await?;
        let done = self.fleet()?.platform.commit("config", version, &next);
        Ok(format!("{:?}\n", done.await?))
    }

    /// `race`: two operators apply at once, from the same generation.
    pub(super) async fn race(&mut self) -> Result<String> {
        let (version, one) = self.next_config(301).await?;
        let (_, two) = self.next_config(302).await?;
        let platform = &self.fleet()?.platform;
        let first = platform.commit("config", version, &one);
        let second = platform.commit("config", version, &two);
        let done = [first.await?, second.await?];
        let count = |what| done.iter().filter(|d| **d == what).count();
        let (yes, conflict) = (count(Committed::Yes), count(Committed::Conflict));
        Ok(format!("{yes} accepted, {conflict} conflict\n"))
    }

    /// `in-force`: whether every live router has a generation in time.
    pub(super) async fn in_force(&mut self, words: &mut Words) -> Result<String> {
        let wanted = words.need_number("generation")?;
        let start = Instant::now();
        let mut late = Vec::new();
        for router in self.fleet()?.living() {
            let reached = wait::until("the generation", async || {
                let now = generation(router.admin).await;
                (now >= wanted || start.elapsed() > IN_FORCE).then_some(now)
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

    /// `generation`: the generations in force on routers.
    pub(super) async fn generation(&mut self, words: &mut Words) -> Result<String> {
        let mut text = String::new();
        for name in words.names() {
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

/// The budgets' names of a fleet, in order.
pub(super) async fn names(fleet: &fleet::Fleet) -> Result<Vec<String>> {
    let budgets = fleet.platform.budgets().await?;
    Ok(budgets.into_iter().map(|b| b.name).collect())
}
