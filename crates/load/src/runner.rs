//! Carries out a run: sends the scheduled requests and aggregates their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use poplar_base::http::Client;
use poplar_burn::gather::gather;
use poplar_burn::report::{Report, report};
use poplar_ctl::error::Result;
use poplar_ctl::fleet::Fleet;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep_until;

use crate::balancer::Balancer;
use crate::caller::{self, RequestEnd, RunContext};
use crate::options::Options;
use crate::run_result::{BudgetReport, RunResult};
use crate::schedule::{Arrival, schedule};
use crate::tally::Tally;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the channel from the request tasks to the counting task.
const OUTCOME_QUEUE_LEN: usize = 1024;

/// Carries out a run.
///
/// # Errors
/// Errors of the platform's calls, if its address was given.
pub async fn run(options: &Options) -> Result<RunResult> {
    let before = fetch_report(options.platform).await?;
    let tally = send_all(options).await;
    let after = fetch_report(options.platform).await?;
    let budgets = before.zip(after).map(|(before, after)| BudgetReport {
        overspend: after.overspend,
        false_refusals: after.false_refusals.saturating_sub(before.false_refusals),
        billed: billed_requests(&after),
    });
    Ok(run_result(options, &tally, budgets))
}

async fn fetch_report(platform: Option<SocketAddr>) -> Result<Option<Report>> {
    let Some(address) = platform else {
        return Ok(None);
    };
    let fleet = Fleet::open(address, PLATFORM_TIMEOUT);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or(Duration::ZERO).as_millis() as u64;
    Ok(Some(report(&gather(&fleet, now).await?, now)))
}

fn billed_requests(report: &Report) -> u64 {
    let class_sums = report.rows.iter().filter(|r| &*r.workspace == "*");
    class_sums
        .filter_map(|r| r.windows.last())
        .map(|w| w.met + w.missed)
        .sum()
}

async fn send_all(options: &Options) -> Tally {
    let arrivals = schedule(&options.mix, &options.plan);
    let client = Client::open();
    let context = Arc::new(RunContext {
        mix: options.mix.clone(),
        balancer: Balancer::spawn(&options.targets, &client),
        client,
        policy: options.policy,
        key_prefix: options.key_prefix.clone(),
        always_keyed: options.always_keyed,
        direct_model: options.direct_model.clone(),
    });
    let (sender, receiver) = mpsc::channel(OUTCOME_QUEUE_LEN);
    let rush = options.plan.rush.as_ref();
    let rushing_sender = rush.and_then(|rush| options.mix.sender_index(&rush.workspace));
    let tally = Tally::new(&options.mix, options.verify, rushing_sender);
    let count_task = tokio::spawn(count(receiver, tally, options.warm_up));
    dispatch(arrivals, context, options.max_streams, sender).await;
    count_task.await.expect("counting does not panic")
}

async fn count(
    mut receiver: mpsc::Receiver<caller::RequestOutcome>,
    mut tally: Tally,
    warm_up: Duration,
) -> Tally {
    while let Some(outcome) = receiver.recv().await {
        if outcome.arrival.at >= warm_up {
            tally.add(&outcome);
        }
    }
    tally
}

async fn dispatch(
    arrivals: Vec<Arrival>,
    context: Arc<RunContext>,
    max_streams: usize,
    sender: mpsc::Sender<caller::RequestOutcome>,
) {
    let start = Instant::now();
    let permits = Arc::new(Semaphore::new(max_streams));
    for arrival in arrivals {
        let arrived = start + arrival.at;
        sleep_until(arrived.into()).await;
        let permit = permits.clone().try_acquire_owned();
        let (context, sender) = (context.clone(), sender.clone());
        tokio::spawn(async move {
            let outcome = match permit {
                Ok(_permit) => caller::send(context, arrival, arrived).await,
                Err(_) => shed_outcome(arrival),
            };
            // The counting task runs until every sender is dropped, so this can't fail.
            let _ = sender.send(outcome).await;
        });
    }
}

fn shed_outcome(arrival: Arrival) -> caller::RequestOutcome {
    caller::RequestOutcome {
        arrival,
        end: RequestEnd::Shed,
        send_delay: Duration::ZERO,
        attempts: 0,
        refusals: Vec::new(),
    }
}

fn run_result(options: &Options, tally: &Tally, budgets: Option<BudgetReport>) -> RunResult {
    let totals = tally.totals();
    let sent = totals.offered - totals.shed;
    let ratio = |part: u64, whole: u64| {
        if whole == 0 {
            0.0
        } else {
            part as f64 / whole as f64
        }
    };
    RunResult {
        name: options.name.clone(),
        mix: options.mix.name.to_owned(),
        seed: options.plan.seed,
        rate: options.plan.rate,
        seconds: options.plan.duration.as_secs_f64(),
        targets: options.targets.len(),
        on_target: ratio(totals.met, totals.offered),
        amplification: ratio(totals.attempts, sent),
        totals,
        compared: tally.compared,
        differing: tally.differing,
        miscounted: tally.miscounted,
        send_delay: (&tally.send_delay).into(),
        budgets,
        rows: tally.rows(),
    }
}
