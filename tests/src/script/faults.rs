//! Commands that inject faults.

use std::time::Duration;

use http::StatusCode;
use poplar_core::bill::{RouterRow, Stage};
use serde_json::{Value, json};

use super::Scenario;
use super::arguments::Arguments;
use crate::error::{Error, Result};
use crate::platform::decode;
use crate::relay::{Mode, Rule};
use crate::{wait, web};

impl Scenario {
    /// `kill`, `stop`, `cont` and `term`: send signals to processes.
    pub(super) async fn signal(&mut self, verb: &str, args: &mut Arguments) -> Result<String> {
        let fleet = self.fleet()?;
        for name in args.bare_words() {
            match verb {
                "kill" => fleet.kill(&name).await?,
                verb => fleet.with_process(&name, |p| p.signal(&verb.to_uppercase()))?,
            }
        }
        Ok(String::new())
    }

    /// `ended`: waits until processes have exited by themselves.
    pub(super) async fn ended(&mut self, args: &mut Arguments) -> Result<String> {
        let mut text = String::new();
        for name in args.bare_words() {
            let fleet = self.fleet()?;
            let exited = wait::until(format!("the end of {name}"), async || {
                fleet
                    .with_process(&name, |p| Ok(p.exit_status()))
                    .ok()
                    .flatten()
            });
            let status = exited.await?;
            fleet.set_expected_up(&name, false);
            text.push_str(&format!("{name} {status}\n"));
        }
        Ok(text)
    }

    /// `start`: restarts routers.
    pub(super) async fn start(&mut self, args: &mut Arguments) -> Result<String> {
        let unready = args.flag("unready");
        for name in args.bare_words() {
            self.fleet()?.start_router(&name).await?;
            if !unready {
                self.fleet()?.wait_ready(&name).await?;
                self.fleet()?.wait_for_peers(&name).await?;
            }
        }
        Ok(String::new())
    }

    /// `cut`, `delay` and `heal`: add and remove faults of the relays.
    pub(super) async fn change_relays(
        &mut self,
        verb: &str,
        args: &mut Arguments,
    ) -> Result<String> {
        let from = args.optional("from")?.unwrap_or_else(|| "all".to_owned());
        let to = args.optional("to")?.unwrap_or_else(|| "all".to_owned());
        let both = args.flag("both");
        let mode = match verb {
            "delay" => Mode::Delay(Duration::from_millis(args.required_number("ms")?)),
            _ if args.flag("reset") => Mode::Reset,
            _ => Mode::Hold,
        };
        let relays = &self.fleet()?.relays;
        let mut directions = vec![(from.clone(), to.clone())];
        if both {
            directions.push((to, from));
        }
        for (from, to) in directions {
            match verb {
                "heal" => relays.remove_rules(&from, &to),
                _ => relays.add_rule(Rule { from, to, mode }),
            }
        }
        Ok(String::new())
    }

    /// `control`: sends a control call to stand-ins.
    pub(super) async fn control(&mut self, args: &mut Arguments, input: &str) -> Result<String> {
        let body: Value = serde_json::from_str(input).map_err(|e| Error::new("control", e))?;
        for name in args.bare_words() {
            let to = self.fleet()?.control_address(&name)?;
            let answer = web::post(to, "/control", &body).await?;
            if answer.status != StatusCode::OK {
                return Err(Error::new(name, String::from_utf8_lossy(&answer.body)));
            }
        }
        Ok(String::new())
    }

    /// `host`: changes the state of a host in the platform's list.
    pub(super) async fn host(&mut self, args: &mut Arguments) -> Result<String> {
        let state = args.required("state")?;
        for name in args.bare_words() {
            self.fleet()?.platform.set_host_state(&name, &state).await?;
        }
        Ok(String::new())
    }

    /// `seal-dead`: seals all router incarnations but those that are running.
    pub(super) async fn seal_dead(&mut self) -> Result<String> {
        let fleet = self.fleet()?;
        let mut live_rows = Vec::new();
        for router in fleet.live_routers() {
            let page: Value = web::get(router.admin, "/v1/status").await?;
            let incarnation = page["incarnation"].as_str().unwrap_or_default();
            live_rows.push(format!("router/{incarnation}"));
        }
        for row in fleet.platform.rows().await? {
            if row.key.starts_with("router/") && !live_rows.contains(&row.key) {
                fleet.platform.update_row(&row.key, sealed).await?;
            }
        }
        Ok(String::new())
    }

    /// `seal`: seals the latest incarnation of a router, as an operator does.
    pub(super) async fn seal(&mut self, args: &mut Arguments) -> Result<String> {
        let platform = &self.fleet()?.platform;
        for name in args.bare_words() {
            let prefix = format!("router/{name}.");
            let rows = platform.rows().await?;
            let incarnations = rows.iter().filter(|r| r.key.starts_with(&prefix));
            let open = |r: &&poplar_base::platform::wire::RowWire| {
                decode::<RouterRow>(r).is_ok_and(|row| row.stage != Stage::Sealed)
            };
            let newest = incarnations.filter(open).max_by_key(|r| r.version);
            let row =
                newest.ok_or_else(|| Error::new(&name, "no incarnation that is not sealed"))?;
            platform.update_row(&row.key, sealed).await?;
        }
        Ok(String::new())
    }
}

/// Returns a router's row with its stage set to sealed.
fn sealed(value: &Value) -> Value {
    let mut next = value.clone();
    next["stage"] = json!("sealed");
    next
}
