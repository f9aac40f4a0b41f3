//! Generates requests of concurrent callers from a seed.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::caller::{self, CallerRequest, Payload};
use crate::error::{Error, Result};
use crate::fleet::{self, Fleet};
use crate::record::{Outcome, Record, Records};
use crate::wait;

/// Pause between two readiness checks of the balancer.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of a caller before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Refusal codes after which callers don't retry.
const FINAL_REFUSALS: [&str; 2] = ["budget_exhausted", "outcome_unknown"];

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Name of the load, and prefix of its idempotency keys.
    pub name: String,
    /// Routers that callers use in turn.
    pub routers: Vec<String>,
    /// Number of requests; `None` continues until the load is stopped.
    pub count: Option<usize>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Seed of answer lengths and of the choice between streamed and plain answers.
    pub seed: u64,
    /// Minimum and maximum length of answers, in tokens.
    pub answer_tokens: (u32, u32),
    /// Class of the requests.
    pub class: String,
    /// Workspaces that send the requests, in turn.
    pub workspaces: Vec<String>,
    /// Whether requests carry idempotency keys.
    pub keyed: bool,
    /// Limit on retries of a request, each at the next router.
    pub retries: usize,
    /// Whether only routers whose `/readyz` reports ready are used.
    pub balanced: bool,
    /// Pause of a caller between two requests.
    pub pause: Duration,
}

/// A running load.
#[derive(Debug)]
pub struct Running {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<Result<Vec<Record>>>>,
    balancer: Option<JoinHandle<()>>,
}

/// Names of the routers that were ready at the last check.
type ReadyRouters = Arc<Mutex<Vec<String>>>;

/// Starts a load.
pub async fn spawn(fleet: &Arc<Fleet>, records: &Arc<Records>, load: Load) -> Running {
    let ready: ReadyRouters = Arc::new(Mutex::new(ready_routers(fleet, &load.routers).await));
    let balancer = load.balanced.then(|| {
        let (fleet, names, ready) = (fleet.clone(), load.routers.clone(), ready.clone());
        tokio::spawn(async move {
            loop {
                let found = ready_routers(&fleet, &names).await;
                *ready.lock().unwrap_or_else(|e| e.into_inner()) = found;
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        })
    });
    let stop = Arc::new(AtomicBool::new(false));
    let completed = Arc::new(AtomicUsize::new(0));
    let load = Arc::new(load);
    let task = |number| CallerTask {
        fleet: fleet.clone(),
        records: records.clone(),
        load: load.clone(),
        ready: ready.clone(),
        stop: stop.clone(),
        completed: completed.clone(),
        number,
    };
    let tasks = (0..load.callers).map(|n| tokio::spawn(task(n).run()));
    Running {
        tasks: tasks.collect(),
        stop,
        completed,
        balancer,
    }
}

async fn ready_routers(fleet: &Fleet, names: &[String]) -> Vec<String> {
    let mut ready = Vec::new();
    for name in names {
        let Ok(router) = fleet.router(name) else {
            continue;
        };
        let answered =
            tokio::time::timeout(READY_POLL_INTERVAL * 5, fleet::is_ready(router.admin)).await;
        if answered.unwrap_or(false) {
            ready.push(name.clone());
        }
    }
    ready
}

impl Running {
    /// Wraps the task of a single request in the background.
    pub fn single(task: JoinHandle<Result<Vec<Record>>>) -> Self {
        Self {
            stop: Arc::default(),
            completed: Arc::default(),
            tasks: vec![task],
            balancer: None,
        }
    }

    /// Number of requests that have ended, with or without an answer.
    pub fn completed(&self) -> usize {
        self.completed.load(Ordering::Acquire)
    }

    /// Waits for the callers to finish; with `stop`, they start no new requests.
    ///
    /// # Errors
    /// If a caller does not finish within the time-out, or the harness fails.
    pub async fn join(self, stop: bool) -> Result<Vec<Record>> {
        self.stop.store(stop, Ordering::Release);
        let mut all = Vec::new();
        for task in self.tasks {
            let ended = tokio::time::timeout(wait::TIMEOUT * 2, task).await;
            let ended = ended.map_err(|_| Error::from("a caller hangs"))?;
            all.extend(ended.map_err(|e| Error::new("caller", e))??);
        }
        if let Some(balancer) = self.balancer {
            balancer.abort();
        }
        Ok(all)
    }
}

/// One concurrent caller.
struct CallerTask {
    fleet: Arc<Fleet>,
    records: Arc<Records>,
    load: Arc<Load>,
    ready: ReadyRouters,
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    number: usize,
}

impl CallerTask {
    async fn run(self) -> Result<Vec<Record>> {
        let seed = self.load.seed * 1000 + self.number as u64;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut all = Vec::new();
        let mut next = self.number;
        while !self.stop.load(Ordering::Acquire) && self.load.count.is_none_or(|c| next < c) {
            let request = self.build_request(next, &mut rng);
            all.extend(self.send_with_retries(request, next).await?);
            self.completed.fetch_add(1, Ordering::AcqRel);
            next += self.load.callers;
            tokio::time::sleep(self.load.pause).await;
        }
        Ok(all)
    }

    fn build_request(&self, number: usize, rng: &mut StdRng) -> CallerRequest {
        let load = &self.load;
        let tokens = rng.random_range(load.answer_tokens.0..=load.answer_tokens.1);
        let name = format!("{}-{number}", load.name);
        let payload = match load.class.as_str() {
            "rider-chat" => Payload::Chat {
                text: format!("{name} asks [tokens={tokens}]"),
                stream: rng.random(),
                cap: Some(load.answer_tokens.1),
            },
            _ => Payload::Call {
                path: format!("do/{name}"),
                body: "{}".to_owned(),
            },
        };
        CallerRequest {
            router: String::new(),
            workspace: load.workspaces[number % load.workspaces.len()].clone(),
            class: load.class.clone(),
            key: load.keyed.then_some(name),
            payload,
        }
    }

    async fn pick(&self, turn: usize) -> Result<String> {
        if !self.load.balanced {
            return Ok(self.load.routers[turn % self.load.routers.len()].clone());
        }
        let start = Instant::now();
        while start.elapsed() < wait::TIMEOUT {
            let ready = self.ready.lock().unwrap_or_else(|e| e.into_inner()).clone();
            if !ready.is_empty() {
                return Ok(ready[turn % ready.len()].clone());
            }
            tokio::time::sleep(wait::POLL_INTERVAL).await;
        }
        Err("no router is ready".into())
    }

    async fn send_with_retries(
        &self,
        mut request: CallerRequest,
        number: usize,
    ) -> Result<Vec<Record>> {
        let mut all = Vec::new();
        for attempt in 0..=self.load.retries {
            request.router = self.pick(number + attempt).await?;
            let mut record = caller::send(&self.fleet, &request).await?;
            record.retried = attempt < self.load.retries && should_retry(&record.outcome);
            let retried = record.retried;
            self.records.add(record.clone());
            all.push(record);
            if !retried {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Ok(all)
    }
}

fn should_retry(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Complete | Outcome::Wrong(_) => false,
        Outcome::Refused { code, .. } => !FINAL_REFUSALS.contains(&code.as_str()),
        Outcome::Cut | Outcome::TimedOut | Outcome::Unreachable => true,
    }
}
