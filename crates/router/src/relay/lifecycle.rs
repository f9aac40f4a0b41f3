//! A relay's life: it starts, follows the platform, and stops without cutting
//! requests off.

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
use crate::relay::state::Relay;
use crate::relay::{gossip, listeners, watch};

/// Port of the metrics page; the deploy file names it too.
pub const METRICS_PORT: u16 = 9464;
/// How long a stopping router still takes connections: the balancer looks once
/// a second and believes the second miss.
const LINGER: Duration = Duration::from_millis(3200);
/// What is kept of the grace for the last writes and the exit.
const RESERVE: Duration = Duration::from_millis(900);
/// What is kept of the grace for the exit itself.
const EXIT: Duration = Duration::from_millis(150);
/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Runs a relay until SIGTERM or SIGINT.
///
/// # Errors
/// Where it can't start.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Error> {
    let recorder = metrics::open().map_err(|e| Error::Metrics(e.to_string()))?;
    let mut callers = settings.callers;
    let mut readiness = settings.readiness;
    let mut pages = SocketAddr::new(settings.ip, METRICS_PORT);
    let callers = bind("callers", &mut callers).await?;
    let readiness = bind("readiness", &mut readiness).await?;
    log::info("start")
        .with("router", &settings.name)
        .with("centre", &settings.centre)
        .with("callers", settings.callers)
        .with("store", settings.store)
        .write();
    let relay = Relay::new(settings);
    let stop = CancellationToken::new();
    match bind("metrics", &mut pages).await {
        Ok(pages) => {
            tokio::spawn(listeners::serve_metrics(
                pages,
                relay.clone(),
                recorder,
                stop.clone(),
            ));
        }
        // Requests are served without it.
        Err(why) => log::warn("no metrics page").reason(why).write(),
    }
    tokio::spawn(watch::configuration(relay.clone()));
    tokio::spawn(watch::server_list(relay.clone()));
    tokio::spawn(gossip::run(relay.clone()));
    let budgets = relay.budgets.clone();
    let of = relay.clone();
    let keeper = tokio::spawn(budgets.run(move || of.site()));
    tokio::spawn(listeners::serve_readiness(
        readiness,
        relay.clone(),
        CancellationToken::new(),
    ));
    let doors = tokio::spawn(listeners::serve_callers(
        callers,
        relay.clone(),
        stop.clone(),
    ));
    tokio::spawn(follow_settings(relay.clone(), path));
    wait_for_end().await?;
    let began = Instant::now();
    relay.begin_stop(began);
    relay.budgets.begin_stop();
    log::info("stopping")
        .with("open", relay.open_requests())
        .write();
    let last = began + relay.settings.stop_grace.saturating_sub(RESERVE);
    drain(&relay, began, last, stop).await;
    // What is still open then is cut off by the platform's SIGKILL anyway.
    let left = last.saturating_duration_since(Instant::now());
    let _ = tokio::time::timeout(left, doors).await;
    keeper.abort();
    let left = (began + relay.settings.stop_grace).saturating_duration_since(Instant::now());
    relay
        .budgets
        .return_unspent(left.saturating_sub(EXIT))
        .await;
    log::info("stopped")
        .with("open", relay.open_requests())
        .write();
    Ok(())
}

/// Waits until no request is under way after the time in which callers come.
async fn drain(relay: &Arc<Relay>, began: Instant, last: Instant, stop: CancellationToken) {
    tokio::time::sleep_until((began + LINGER).into()).await;
    let quiet = relay.wait_idle();
    let _ = tokio::time::timeout_at(last.into(), quiet).await;
    stop.cancel();
}

async fn wait_for_end() -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Takes changed settings over, told by SIGHUP or found by looking.
async fn follow_settings(relay: Arc<Relay>, path: PathBuf) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(why) => {
            log::error("can't hear SIGHUP").reason(why).write();
            return;
        }
    };
    let mut before = text(&path);
    loop {
        let _ = tokio::time::timeout(SETTINGS_PERIOD, hup.recv()).await;
        let now = text(&path);
        if now == before {
            continue;
        }
        match now.as_deref().map(Settings::parse) {
            Some(Ok(settings)) => {
                relay.reload(&settings);
                log::info("settings reloaded").write();
            }
            Some(Err(why)) => log::error("settings refused").reason(why).write(),
            None => log::error("settings unreadable").write(),
        }
        before = now;
    }
}

fn text(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}

/// Reads the settings that the platform hands over.
///
/// # Errors
/// As the settings'.
pub fn load_settings() -> Result<(PathBuf, Settings), settings::Error> {
    let path = settings::path()?;
    let settings = Settings::open(&path)?;
    Ok((path, settings))
}
