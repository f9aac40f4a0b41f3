//! Many callers at once, drawn from a seed.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::caller::{self, Ask, What};
use crate::fault::{Fault, Result};
use crate::fleet::{self, Fleet};
use crate::record::{Outcome, Record, Records};
use crate::wait;

/// How often the balancer asks who is ready.
const READY: Duration = Duration::from_millis(100);
/// Pause before a caller tries again.
const RETRY: Duration = Duration::from_millis(100);
/// Refusals after which callers don't try again.
const FINAL: [&str; 2] = ["budget_exhausted", "outcome_unknown"];

/// What a load consists of.
#[derive(Debug, Clone)]
pub struct Load {
    /// Names the load in its keys.
    pub name: String,
    /// Routers that callers go to in turn.
    pub at: Vec<String>,
    /// Requests in all; without it they go on until the load is stopped.
    pub count: Option<usize>,
    /// Callers at once.
    pub width: usize,
    /// Seed of texts, lengths and modes.
    pub seed: u64,
    /// Shortest and longest answer in tokens.
    pub tokens: (u32, u32),
    /// Class of work.
    pub class: String,
    /// Whose requests they are, in turn.
    pub workspaces: Vec<String>,
    /// Whether requests carry keys.
    pub keyed: bool,
    /// How often a caller tries again elsewhere.
    pub retries: usize,
    /// Whether a balancer that follows `/readyz` picks the router.
    pub balanced: bool,
    /// Pause of each caller between two requests.
    pub pace: Duration,
}

/// A running load.
#[derive(Debug)]
pub struct Running {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    lanes: Vec<JoinHandle<Result<Vec<Record>>>>,
    balancer: Option<JoinHandle<()>>,
}

/// Routers that the balancer sends to.
type Ready = Arc<Mutex<Vec<String>>>;

/// Starts a load.
pub async fn spawn(fleet: &Arc<Fleet>, records: &Arc<Records>, load: Load) -> Running {
    let ready: Ready = Arc::new(Mutex::new(look(fleet, &load.at).await));
    let balancer = load.balanced.then(|| {
        let (fleet, at, ready) = (fleet.clone(), load.at.clone(), ready.clone());
        tokio::spawn(async move {
            loop {
                let found = look(&fleet, &at).await;
                *ready.lock().unwrap_or_else(|e| e.into_inner()) = found;
                tokio::time::sleep(READY).await;
            }
        })
    });
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicUsize::new(0));
    let load = Arc::new(load);
    let lane = |number| Lane {
        fleet: fleet.clone(),
        records: records.clone(),
        load: load.clone(),
        ready: ready.clone(),
        stop: stop.clone(),
        done: done.clone(),
        number,
    };
    let lanes = (0..load.width).map(|n| tokio::spawn(lane(n).run()));
    Running {
        lanes: lanes.collect(),
        stop,
        done,
        balancer,
    }
}

async fn look(fleet: &Fleet, at: &[String]) -> Vec<String> {
    let mut ready = Vec::new();
    for name in at {
        let Ok(router) = fleet.router(name) else {
            continue;
        };
        let asked = tokio::time::timeout(READY * 5, fleet::is_ready(router.admin)).await;
        if asked.unwrap_or(false) {
            ready.push(name.clone());
        }
    }
    ready
}

impl Running {
    /// A single request in the background.
    pub fn single(task: JoinHandle<Result<Vec<Record>>>) -> Self {
        Self {
            stop: Arc::default(),
            done: Arc::default(),
            lanes: vec![task],
            balancer: None,
        }
    }

    /// Requests that came to their end.
    pub fn done(&self) -> usize {
        self.done.load(Ordering::Acquire)
    }

    /// Lets no new requests begin, and waits for those under way.
    ///
    /// # Errors
    /// Where the test itself went wrong.
    pub async fn join(self, stop: bool) -> Result<Vec<Record>> {
        self.stop.store(stop, Ordering::Release);
        let mut all = Vec::new();
        for lane in self.lanes {
            let ended = tokio::time::timeout(wait::LONGEST * 2, lane).await;
            let ended = ended.map_err(|_| Fault::from("a caller hangs"))?;
            all.extend(ended.map_err(|e| Fault::of("caller", e))??);
        }
        if let Some(balancer) = self.balancer {
            balancer.abort();
        }
        Ok(all)
    }
}

/// One of the callers.
struct Lane {
    fleet: Arc<Fleet>,
    records: Arc<Records>,
    load: Arc<Load>,
    ready: Ready,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    number: usize,
}

impl Lane {
    async fn run(self) -> Result<Vec<Record>> {
        let seed = self.load.seed * 1000 + self.number as u64;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut all = Vec::new();
        let mut next = self.number;
        while !self.stop.load(Ordering::Acquire) && self.load.count.is_none_or(|c| next < c) {
            let ask = self.ask(next, &mut rng);
            all.extend(self.request(ask, next).await?);
            self.done.fetch_add(1, Ordering::AcqRel);
            next += self.load.width;
            tokio::time::sleep(self.load.pace).await;
        }
        Ok(all)
    }

    fn ask(&self, number: usize, rng: &mut StdRng) -> Ask {
        let load = &self.load;
        let tokens = rng.random_range(load.tokens.0..=load.tokens.1);
        let name = format!("{}-{number}", load.name);
        let what = match load.class.as_str() {
            "rider-chat" => What::Chat {
                text: format!("{name} asks [tokens={tokens}]"),
                stream: rng.random(),
                cap: Some(load.tokens.1),
            },
            _ => What::Call {
                path: format!("do/{name}"),
                body: "{}".to_owned(),
            },
        };
        Ask {
            at: String::new(),
            workspace: load.workspaces[number % load.workspaces.len()].clone(),
            class: load.class.clone(),
            key: load.keyed.then_some(name),
            what,
        }
    }

    async fn pick(&self, turn: usize) -> Result<String> {
        if !self.load.balanced {
            return Ok(self.load.at[turn % self.load.at.len()].clone());
        }
        let start = Instant::now();
        while start.elapsed() < wait::LONGEST {
            let ready = self.ready.lock().unwrap_or_else(|e| e.into_inner()).clone();
            if !ready.is_empty() {
                return Ok(ready[turn % ready.len()].clone());
            }
            tokio::time::sleep(wait::POLL).await;
        }
        Err("no router is ready".into())
    }

    async fn request(&self, mut ask: Ask, number: usize) -> Result<Vec<Record>> {
        let mut all = Vec::new();
        for turn in 0..=self.load.retries {
            ask.at = self.pick(number + turn).await?;
            let mut record = caller::ask(&self.fleet, &ask).await?;
            record.retried = turn < self.load.retries && again(&record.outcome);
            let retried = record.retried;
            self.records.add(record.clone());
            all.push(record);
            if !retried {
                break;
            }
            tokio::time::sleep(RETRY).await;
        }
        Ok(all)
    }
}

fn again(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Whole | Outcome::Wrong(_) => false,
        Outcome::Refused { code, .. } => !FINAL.contains(&code.as_str()),
        Outcome::Cut | Outcome::Silent | Outcome::Unreachable => true,
    }
}
