//! The test language: the commands of the script files.
//!
//! `docs/developers/scenarios.md` lists them. Outputs are counts and words that
//! are the same in each run, never times.

mod asking;
mod checking;
mod faults;
mod table;
mod words;

use std::sync::Arc;
use std::time::Instant;

use datadriven::{TestCase, TestFile};

use crate::fault::{Fault, Result};
use crate::fleet::{self, Fleet, KEEP, Plan};
use crate::load::Running;
use crate::record::{Record, Records};
use crate::{audit, gate, wait};
use words::Words;

/// Threads that a scenario's callers and relays run on.
const THREADS: usize = 2;

/// A scenario in progress.
#[derive(Default)]
struct World {
    fleet: Option<Arc<Fleet>>,
    records: Arc<Records>,
    running: Vec<(String, Running)>,
}

/// Runs every command of a file.
pub fn run(file: &mut TestFile) {
    let place = gate::enter();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .expect("a runtime of two threads");
    let mut world = World::default();
    file.run(|case| {
        let start = Instant::now();
        let done = runtime.block_on(world.command(case));
        if std::env::var_os(KEEP).is_some() {
            eprintln!("{} {:?}: {:?}", case.directive, case.args, start.elapsed());
        }
        // A fault of the test shows where its output was expected.
        done.unwrap_or_else(|fault| format!("fault: {fault}\n"))
    });
    drop(world);
    drop(place);
}

impl World {
    async fn command(&mut self, case: &mut TestCase) -> Result<String> {
        let mut words = Words::new(case);
        let done = match case.directive.as_str() {
            "fleet" => self.open(&mut words).await,
            "chat" | "call" => self.ask(&case.directive, &mut words, &case.input).await,
            "raw" => self.raw(&mut words, &case.input).await,
            "load" => self.load(&mut words).await,
            "progress" => self.progress(&mut words).await,
            "join" => self.join(&mut words).await,
            "kill" | "stop" | "cont" | "term" => self.signal(&case.directive, &mut words).await,
            "ended" => self.ended(&mut words).await,
            "start" => self.start(&mut words).await,
            "cut" | "delay" | "heal" => self.edge(&case.directive, &mut words).await,
            "control" => self.control(&mut words, &case.input).await,
            "pause" => pause(&mut words).await,
            "host" => self.host(&mut words).await,
            "seal" => self.seal(&mut words).await,
            "seal-dead" => self.seal_dead().await,
            "topup" => self.top_up(&mut words).await,
            "apply" => self.apply(&mut words).await,
            "race" => self.race().await,
            "in-force" => self.in_force(&mut words).await,
            "generation" => self.generation(&mut words).await,
            "count" => self.count(&mut words, false).await,
            "await" => self.count(&mut words, true).await,
            "settle" => self.settle().await,
            "audit" => self.audit(&mut words).await,
            "false-refusals" => Ok(self.false_refusals()),
            "bills" => self.bills().await,
            "left" => self.left().await,
            "spent" => self.spent(&mut words).await,
            other => Err(Fault::of(other, "no such command")),
        };
        let done = done?;
        words.finish()?;
        Ok(done)
    }

    fn fleet(&self) -> Result<&Arc<Fleet>> {
        self.fleet.as_ref().ok_or_else(|| "no fleet yet".into())
    }

    fn all(&self) -> Vec<Record> {
        self.records.all()
    }

    async fn open(&mut self, words: &mut Words) -> Result<String> {
        let limit = words.number("limit")?.unwrap_or(1_000_000);
        let names = words.many("workspaces");
        let names = match names.is_empty() {
            true => vec!["rift".to_owned()],
            false => names,
        };
        let setting = |word: &String| {
            let mut parts = word.splitn(3, '.').map(str::to_owned);
            match (parts.next(), parts.next(), parts.next()) {
                (Some(section), Some(key), Some(value)) => Ok((section, key, value)),
                _ => Err(Fault::of(word, "not section.key.value")),
            }
        };
        let settings = words.many("set");
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
            routers: words.number("routers")?.unwrap_or(1) as usize,
            engines: words.number("engines")?.unwrap_or(0) as usize,
            services: words.number("services")?.unwrap_or(0) as usize,
            workspaces: names.into_iter().map(|name| (name, limit)).collect(),
            settings: settings.iter().map(setting).collect::<Result<_>>()?,
            engine: options(words.many("engine")),
            service: options(words.many("service")),
            relayed: words.flag("relayed"),
        };
        self.fleet = Some(fleet::open(plan).await?);
        Ok("ready\n".to_owned())
    }

    /// `audit`: what must always hold; `eventually` waits for bills on the way.
    async fn audit(&self, words: &mut Words) -> Result<String> {
        let (fleet, records) = (self.fleet()?, self.all());
        if words.flag("eventually") {
            let sound = wait::until("the bills", async || {
                let found = audit::audit(fleet, &records).await.ok()?;
                (!found.contains("without a bill")).then_some(())
            });
            // What is still wrong after that is shown by the audit.
            let _ = sound.await;
        }
        let found = audit::audit(fleet, &records).await?;
        fleet.keep("table.json", &fleet.platform.rows().await?)?;
        Ok(found)
    }

    fn false_refusals(&self) -> String {
        let falsely = self.all().iter().filter(|r| r.falsely).count();
        format!("{falsely}\n")
    }
}

async fn pause(words: &mut Words) -> Result<String> {
    let ms = words.need_number("ms")?;
    tokio::time::sleep(std::time::Duration::from_millis(ms)).await;
    Ok(String::new())
}
