//! Sends the schedule and counts what becomes of it.

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
use crate::caller::{self, End, Shared};
use crate::options::Options;
use crate::outcome::{Ledger, Outcome};
use crate::schedule::{Arrival, schedule};
use crate::tally::Tally;

/// How long a call of the platform may take.
const PLATFORM: Duration = Duration::from_secs(5);
/// Outcomes that may wait to be counted.
const QUEUE: usize = 1024;

/// Carries out a run.
///
/// # Errors
/// Those of the platform, where it is asked.
pub async fn run(options: &Options) -> Result<Outcome> {
    let before = look(options.platform).await?;
    let tally = send_all(options).await;
    let after = look(options.platform).await?;
    let ledger = before.zip(after).map(|(before, after)| Ledger {
        overspend: after.overspend,
        false_refusals: after.false_refusals.saturating_sub(before.false_refusals),
        billed: billed(&after),
    });
    Ok(outcome(options, &tally, ledger))
}

async fn look(platform: Option<SocketAddr>) -> Result<Option<Report>> {
    let Some(address) = platform else {
        return Ok(None);
    };
    let fleet = Fleet::open(address, PLATFORM);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or(Duration::ZERO).as_millis() as u64;
    Ok(Some(report(&gather(&fleet, now).await?, now)))
}

fn billed(report: &Report) -> u64 {
    let sums = report.rows.iter().filter(|r| &*r.workspace == "*");
    sums.filter_map(|r| r.windows.last())
        .map(|w| w.met + w.missed)
        .sum()
}

async fn send_all(options: &Options) -> Tally {
    let arrivals = schedule(&options.mix, &options.plan);
    let client = Client::open();
    let shared = Arc::new(Shared {
        mix: options.mix.clone(),
        balancer: Balancer::spawn(&options.targets, &client),
        client,
        policy: options.policy,
        run: options.run.clone(),
        keyed: options.keyed,
        direct: options.direct.clone(),
    });
    let (sender, receiver) = mpsc::channel(QUEUE);
    let rush = options.plan.rush.as_ref();
    let rushing = rush.and_then(|rush| options.mix.sender(&rush.workspace));
    let tally = Tally::new(&options.mix, options.verify, rushing);
    let counting = tokio::spawn(count(receiver, tally, options.skip));
    dispatch(arrivals, shared, options.streams, sender).await;
    counting.await.expect("counting does not panic")
}

async fn count(
    mut receiver: mpsc::Receiver<caller::Outcome>,
    mut tally: Tally,
    skip: Duration,
) -> Tally {
    while let Some(outcome) = receiver.recv().await {
        if outcome.arrival.at >= skip {
            tally.add(&outcome);
        }
    }
    tally
}

async fn dispatch(
    arrivals: Vec<Arrival>,
    shared: Arc<Shared>,
    streams: usize,
    sender: mpsc::Sender<caller::Outcome>,
) {
    let start = Instant::now();
    let places = Arc::new(Semaphore::new(streams));
    for arrival in arrivals {
        let arrived = start + arrival.at;
        sleep_until(arrived.into()).await;
        let place = places.clone().try_acquire_owned();
        let (shared, sender) = (shared.clone(), sender.clone());
        tokio::spawn(async move {
            let outcome = match place {
                Ok(_place) => caller::send(shared, arrival, arrived).await,
                Err(_) => shed(arrival),
            };
            // The counter lives until every sender is gone.
            let _ = sender.send(outcome).await;
        });
    }
}

fn shed(arrival: Arrival) -> caller::Outcome {
    caller::Outcome {
        arrival,
        end: End::Shed,
        late: Duration::ZERO,
        attempts: 0,
        refusals: Vec::new(),
    }
}

fn outcome(options: &Options, tally: &Tally, ledger: Option<Ledger>) -> Outcome {
    let totals = tally.totals();
    let sent = totals.offered - totals.shed;
    let share = |part: u64, whole: u64| {
        if whole == 0 {
            0.0
        } else {
            part as f64 / whole as f64
        }
    };
    Outcome {
        name: options.name.clone(),
        mix: options.mix.name.to_owned(),
        seed: options.plan.seed,
        rate: options.plan.rate,
        seconds: options.plan.duration.as_secs_f64(),
        targets: options.targets.len(),
        on_target: share(totals.met, totals.offered),
        amplification: share(totals.attempts, sent),
        totals,
        compared: tally.compared,
        differing: tally.differing,
        miscounted: tally.miscounted,
        late: (&tally.late).into(),
        ledger,
        rows: tally.rows(),
    }
}
