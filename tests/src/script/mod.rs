//! The test language: executes the commands of the scenario files.
//!
//! `docs/developers/scenarios.md` lists the commands. Their outputs are counts
//! and words that are the same in every run, never times.

mod arguments;
mod checks;
mod faults;
mod operator;
mod requests;

use std::sync::Arc;
use std::time::Instant;

use datadriven::{TestCase, TestFile};

use crate::error::{Error, Result};
use crate::fleet::{self, Fleet, KEEP_VAR, Plan};
use crate::load::Running;
use crate::record::{Record, Records};
use crate::{audit, concurrency, wait};
use arguments::Arguments;

/// Worker threads for the callers and relays of a scenario.
const WORKER_THREADS: usize = 2;

/// State of a running scenario.
#[derive(Default)]
struct Scenario {
    fleet: Option<Arc<Fleet>>,
    records: Arc<Records>,
    running: Vec<(String, Running)>,
}

/// Executes all commands of a scenario file.
pub fn run(file: &mut TestFile) {
    let permit = concurrency::acquire();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .expect("a runtime of two threads");
    let mut scenario = Scenario::default();
    file.run(|case| {
        let start = Instant::now();
        let output = runtime.block_on(scenario.command(case));
        if std::env::var_os(KEEP_VAR).is_some() {
            eprintln!("{} {:?}: {:?}", case.directive, case.args, start.elapsed());
        }
        // An error of the harness becomes the command's output, so that the
        // comparison with the expected output fails.
        output.unwrap_or_else(|fault| format!("fault: {fault}\n"))
    });
    drop(scenario);
    drop(permit);
}

impl Scenario {
    async fn command(&mut self, case: &mut TestCase) -> Result<String> {
        let mut args = Arguments::new(case);
        let output = match case.directive.as_str() {
            "fleet" => self.start_fleet(&mut args).await,
            "chat" | "call" => self.request(&case.directive, &mut args, &case.input).await,
            "raw" => self.raw(&mut args, &case.input).await,
            "load" => self.load(&mut args).await,
            "progress" => self.progress(&mut args).await,
            "join" => self.join(&mut args).await,
            "kill" | "stop" | "cont" | "term" => self.signal(&case.directive, &mut args).await,
            "ended" => self.ended(&mut args).await,
            "start" => self.start(&mut args).await,
            "cut" | "delay" | "heal" => self.change_relays(&case.directive, &mut args).await,
            "control" => self.control(&mut args, &case.input).await,
            "pause" => pause(&mut args).await,
            "host" => self.host(&mut args).await,
            "seal" => self.seal(&mut args).await,
            "seal-dead" => self.seal_dead().await,
            "topup" => self.top_up(&mut args).await,
            "apply" => self.apply(&mut args).await,
            "race" => self.race().await,
            "in-force" => self.in_force(&mut args).await,
            "generation" => self.generation(&mut args).await,
            "count" => self.count(&mut args, false).await,
            "await" => self.count(&mut args, true).await,
            "settle" => self.settle().await,
            "audit" => self.audit(&mut args).await,
            "false-refusals" => Ok(self.false_refusals()),
            "bills" => self.bills().await,
            "left" => self.left().await,
            "spent" => self.spent(&mut args).await,
            other => Err(Error::new(other, "no such command")),
        };
        let output = output?;
        args.reject_unused()?;
        Ok(output)
    }

    fn fleet(&self) -> Result<&Arc<Fleet>> {
        self.fleet
            .as_ref()
            .ok_or_else(|| "there is no fleet yet".into())
    }

    fn records(&self) -> Vec<Record> {
        self.records.all()
    }

    async fn start_fleet(&mut self, args: &mut Arguments) -> Result<String> {
        let limit = args.number("limit")?.unwrap_or(1_000_000);
        let names = args.values("workspaces");
        let names = match names.is_empty() {
            true => vec!["rift".to_owned()],
            false => names,
        };
        let setting = |word: &String| {
            let mut parts = word.splitn(3, '.').map(str::to_owned);
            match (parts.next(), parts.next(), parts.next()) {
                (Some(section), Some(key), Some(value)) => Ok((section, key, value)),
                _ => Err(Error::new(word, "not section.key.value")),
            }
        };
        let settings = args.values("set");
        let options = |all: Vec<String>| {
            let pairs = all.chunks(2).map(|pair| pair.to_vec());
            pairs
                .flat_map(|pair| match pair.as_slice() {
                    [name, value] => vec![format!("--{name}"), value.clone()],
                    _ => Vec::new(),
                })
                .collect::<Vec<_>>()
        };
        let plan = Plan {
            routers: args.number("routers")?.unwrap_or(1) as usize,
            engines: args.number("engines")?.unwrap_or(0) as usize,
            services: args.number("services")?.unwrap_or(0) as usize,
            workspaces: names.into_iter().map(|name| (name, limit)).collect(),
            settings: settings.iter().map(setting).collect::<Result<_>>()?,
            engine_options: options(args.values("engine")),
            service_options: options(args.values("service")),
            relay_backends: args.flag("relayed"),
        };
        self.fleet = Some(fleet::start(plan).await?);
        Ok("ready\n".to_owned())
    }

    /// `audit`: checks the invariants; `eventually` waits first until all answers are billed.
    async fn audit(&self, args: &mut Arguments) -> Result<String> {
        let (fleet, records) = (self.fleet()?, self.records());
        if args.flag("eventually") {
            let sound = wait::until("the bills", async || {
                let found = audit::audit(fleet, &records).await.ok()?;
                (!found.contains("without a bill")).then_some(())
            });
            // If the wait timed out, the audit below reports what is missing.
            let _ = sound.await;
        }
        let found = audit::audit(fleet, &records).await?;
        fleet.save_artifact("table.json", &fleet.platform.rows().await?)?;
        Ok(found)
    }

    fn false_refusals(&self) -> String {
        let count = self.records().iter().filter(|r| r.false_refusal).count();
        format!("{count}\n")
    }
}

async fn pause(args: &mut Arguments) -> Result<String> {
    let ms = args.required_number("ms")?;
    tokio::time::sleep(std::time::Duration::from_millis(ms)).await;
    Ok(String::new())
}
