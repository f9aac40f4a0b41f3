//! Lifecycle of a relay: it starts, follows the platform's settings, and stops
//! without cutting requests off.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_platform::settings::{self, Settings};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::lifecycle::{Error, bind};
use crate::metrics;
use crate::relay::paths::tunnel;
use crate::relay::state::Relay;
use crate::relay::{capacity, crashes, gossip, limits, listeners, streams, watch};

/// Port of the metrics page. The deploy file names the same port.
pub const METRICS_PORT: u16 = 9464;
/// How long a stopping router still accepts connections. The load balancer
/// checks once a second and stops sending connections after the second failed
/// check.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3200);
/// Time for requests that are abandoned to end, and for the messages that settle their
/// leases.
const ABANDON_TIME: Duration = Duration::from_millis(150);
/// Part of the grace period that is kept for the exit itself.
const EXIT_RESERVE: Duration = Duration::from_millis(150);
/// How often the settings file is read; it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Runs a relay until SIGTERM or SIGINT.
///
/// # Errors
/// [`Error`] if it can't start.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Error> {
    let recorder = metrics::install().map_err(|e| Error::Metrics(e.to_string()))?;
    let mut callers = settings.callers;
    let mut readiness = settings.readiness;
    let mut metrics_page = SocketAddr::new(settings.ip, METRICS_PORT);
    let callers = bind("callers", &mut callers).await?;
    let readiness = bind("readiness", &mut readiness).await?;
    log::info("relay started")
        .with("router", &settings.name)
        .with("centre", &settings.centre)
        .with("callers", settings.callers)
        .with("store", settings.store)
        .write();
    let relay = Relay::new(settings);
    let stop = CancellationToken::new();
    match bind("metrics", &mut metrics_page).await {
        Ok(listener) => {
            tokio::spawn(listeners::serve_metrics(
                listener,
                relay.clone(),
                recorder,
                stop.clone(),
            ));
        }
        // Requests are served without the metrics page.
        Err(why) => log::warn("metrics page disabled").reason(why).write(),
    }
    tokio::spawn(watch::configuration(relay.clone()));
    tokio::spawn(watch::server_list(relay.clone()));
    tokio::spawn(watch::crash_reports(relay.clone()));
    tokio::spawn(crashes::table::write(relay.clone()));
    tokio::spawn(watch::limits(relay.clone()));
    tokio::spawn(limits::run(relay.clone()));
    tokio::spawn(streams::table::run(relay.clone()));
    tokio::spawn(gossip::run(relay.clone()));
    tokio::spawn(capacity::watch_timers(relay.capacity.clone()));
    tokio::spawn(tunnel::run(relay.clone()));
    let leases = SocketAddr::new(relay.settings.ip, relay.settings.internal_ports.1);
    match tokio::net::UdpSocket::bind(leases).await {
        Ok(socket) => {
            tokio::spawn(relay.budgets.clone().run_lending(socket));
        }
        // Requests are then served from this router's own holding only.
        Err(why) => log::error("leases disabled").reason(why).write(),
    }
    let budgets = relay.budgets.clone();
    let state = relay.clone();
    let budget_task = tokio::spawn(budgets.run(move || state.deployment()));
    tokio::spawn(listeners::serve_readiness(
        readiness,
        relay.clone(),
        CancellationToken::new(),
    ));
    let caller_task = tokio::spawn(listeners::serve_callers(
        callers,
        relay.clone(),
        stop.clone(),
    ));
    tokio::spawn(follow_settings(relay.clone(), path));
    wait_for_stop_signal().await?;
    let began = Instant::now();
    let stop_plan = relay.begin_stop(began);
    relay.budgets.begin_stop();
    log::info("relay stopping")
        .with("open", relay.open_requests())
        .write();
    let deadline = stop_plan.deadline();
    drain(&relay, began, deadline, stop).await;
    // Requests that are still open at the deadline are abandoned; the
    // platform's SIGKILL would cut them off anyway.
    let left = deadline.saturating_duration_since(Instant::now());
    let _ = tokio::time::timeout(left, caller_task).await;
    settle(&relay, deadline).await;
    budget_task.abort();
    let left = stop_plan
        .kill_time()
        .saturating_duration_since(Instant::now());
    relay
        .budgets
        .return_unspent(left.saturating_sub(EXIT_RESERVE))
        .await;
    log::info("relay stopped")
        .with("open", relay.open_requests())
        .write();
    Ok(())
}

/// Accepts connections for as long as the load balancer may send them, then
/// waits until no request is open, but not beyond `deadline`.
async fn drain(relay: &Arc<Relay>, began: Instant, deadline: Instant, stop: CancellationToken) {
    tokio::time::sleep_until((began + ACCEPT_AFTER_STOP).into()).await;
    let idle = relay.wait_idle();
    let _ = tokio::time::timeout_at(deadline.into(), idle).await;
    stop.cancel();
}

/// Ends the requests that are open, so that what they have not used is returned, and
/// waits until leases have ended, too, but not much beyond `deadline`.
async fn settle(relay: &Arc<Relay>, deadline: Instant) {
    relay.callers.abandoned.cancel();
    let until = deadline.max(Instant::now() + ABANDON_TIME);
    let settled = async {
        relay.wait_idle().await;
        relay.budgets.wait_leases_settled().await;
    };
    if tokio::time::timeout_at(until.into(), settled)
        .await
        .is_err()
    {
        log::info("requests or leases open at the end of a stop")
            .with("requests", relay.open_requests())
            .with("leases", relay.budgets.open_leases())
            .write();
    }
}

async fn wait_for_stop_signal() -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Applies changed settings, on SIGHUP or when a read of the file finds a
/// change.
async fn follow_settings(relay: Arc<Relay>, path: PathBuf) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(why) => {
            log::error("can't listen for SIGHUP").reason(why).write();
            return;
        }
    };
    let mut previous = read_text(&path);
    loop {
        let _ = tokio::time::timeout(SETTINGS_PERIOD, hup.recv()).await;
        let current = read_text(&path);
        if current == previous {
            continue;
        }
        match current.as_deref().map(Settings::parse) {
            Some(Ok(settings)) => {
                relay.reload(&settings);
                log::info("settings reloaded").write();
            }
            Some(Err(why)) => log::error("changed settings invalid").reason(why).write(),
            None => log::error("settings file unreadable").write(),
        }
        previous = current;
    }
}

fn read_text(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}

/// Loads the settings file that the platform provides; returns its path too.
///
/// # Errors
/// [`settings::Error`] if the file can't be used.
pub fn load_settings() -> Result<(PathBuf, Settings), settings::Error> {
    let path = settings::path()?;
    let settings = Settings::open(&path)?;
    Ok((path, settings))
}
