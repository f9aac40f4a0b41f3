//! Commands that bring failures about.

use std::time::Duration;

use http::StatusCode;
use poplar_core::bill::{RouterRow, Stage};
use serde_json::{Value, json};

use super::World;
use super::words::Words;
use crate::fault::{Fault, Result};
use crate::platform::decode;
use crate::relay::{Mode, Rule};
use crate::{wait, web};

impl World {
    /// `kill`, `stop`, `cont` and `term`: signals to processes.
    pub(super) async fn signal(&mut self, verb: &str, words: &mut Words) -> Result<String> {
        let fleet = self.fleet()?;
        for name in words.names() {
            match verb {
                "kill" => fleet.kill(&name).await?,
                verb => fleet.process(&name, |p| p.signal(&verb.to_uppercase()))?,
            }
        }
        Ok(String::new())
    }

    /// `ended`: waits for processes to end by themselves.
    pub(super) async fn ended(&mut self, words: &mut Words) -> Result<String> {
        let mut text = String::new();
        for name in words.names() {
            let fleet = self.fleet()?;
            let ended = wait::until(format!("the end of {name}"), async || {
                fleet.process(&name, |p| Ok(p.ended())).ok().flatten()
            });
            let status = ended.await?;
            fleet.mark(&name, false);
            text.push_str(&format!("{name} {status}\n"));
        }
        Ok(text)
    }

    /// `start`: starts routers again.
    pub(super) async fn start(&mut self, words: &mut Words) -> Result<String> {
        let unready = words.flag("unready");
        for name in words.names() {
            self.fleet()?.open_router(&name).await?;
            if !unready {
                self.fleet()?.ready(&name).await?;
                self.fleet()?.acquainted(&name).await?;
            }
        }
        Ok(String::new())
    }

    /// `cut`, `delay` and `heal`: what relays do.
    pub(super) async fn edge(&mut self, verb: &str, words: &mut Words) -> Result<String> {
        let from = words.text("from")?.unwrap_or_else(|| "all".to_owned());
        let to = words.text("to")?.unwrap_or_else(|| "all".to_owned());
        let both = words.flag("both");
        let mode = match verb {
            "delay" => Mode::Delay(Duration::from_millis(words.need_number("ms")?)),
            _ if words.flag("reset") => Mode::Reset,
            _ => Mode::Hole,
        };
        let relays = &self.fleet()?.relays;
        let mut edges = vec![(from.clone(), to.clone())];
        if both {
            edges.push((to, from));
        }
        for (from, to) in edges {
            match verb {
                "heal" => relays.heal(&from, &to),
                _ => relays.add(Rule { from, to, mode }),
            }
        }
        Ok(String::new())
    }

    /// `control`: sets switches of stand-ins.
    pub(super) async fn control(&mut self, words: &mut Words, input: &str) -> Result<String> {
        let body: Value = serde_json::from_str(input).map_err(|e| Fault::of("control", e))?;
        for name in words.names() {
            let to = self.fleet()?.control(&name)?;
            let answer = web::post(to, "/control", &body).await?;
            if answer.status != StatusCode::OK {
                return Err(Fault::of(name, String::from_utf8_lossy(&answer.body)));
            }
        }
        Ok(String::new())
    }

    /// `host`: changes the state of a host in the platform's list.
    pub(super) async fn host(&mut self, words: &mut Words) -> Result<String> {
        let state = words.need("state")?;
        for name in words.names() {
            self.fleet()?.platform.host(&name, &state).await?;
        }
        Ok(String::new())
    }

    /// `seal-dead`: shuts off every life of a router but those that are up.
    pub(super) async fn seal_dead(&mut self) -> Result<String> {
        let fleet = self.fleet()?;
        let mut lives = Vec::new();
        for router in fleet.living() {
            let page: Value = web::get(router.admin, "/v1/status").await?;
            let life = page["incarnation"].as_str().unwrap_or_default();
            lives.push(format!("router/{life}"));
        }
        for row in fleet.platform.rows().await? {
            if row.key.starts_with("router/") && !lives.contains(&row.key) {
                fleet.platform.change(&row.key, sealed).await?;
            }
        }
        Ok(String::new())
    }

    /// `seal`: shuts the newest life of a router off, as an operator does.
    pub(super) async fn seal(&mut self, words: &mut Words) -> Result<String> {
        let platform = &self.fleet()?.platform;
        for name in words.names() {
            let prefix = format!("router/{name}.");
            let rows = platform.rows().await?;
            let lives = rows.iter().filter(|r| r.key.starts_with(&prefix));
            let open = |r: &&poplar_base::platform::wire::RowWire| {
                decode::<RouterRow>(r).is_ok_and(|row| row.stage != Stage::Sealed)
            };
            let newest = lives.filter(open).max_by_key(|r| r.version);
            let row = newest.ok_or_else(|| Fault::of(&name, "no open life"))?;
            platform.change(&row.key, sealed).await?;
        }
        Ok(String::new())
    }
}

/// A router's row, sealed.
fn sealed(value: &Value) -> Value {
    let mut next = value.clone();
    next["stage"] = json!("sealed");
    next
}
