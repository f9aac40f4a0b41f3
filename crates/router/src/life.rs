//! A router's life: it registers, works, and ends by a graceful shutdown.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::platform::{Commit, Error as PlatformError, client};
use poplar_core::bill::{RouterRow, Stage};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::id::Incarnation;
use tokio::signal::unix::{SignalKind, signal};

use crate::budget::biller::Rows;
use crate::server::Server;
use crate::settings::Settings;
use crate::state::State;
use crate::{admin, backends, conf, door, metrics, peers};

/// Wait between tries to register.
const REGISTER_WAIT: Duration = Duration::from_millis(500);
/// How long the last bills and returns may take at the end.
const LAST_WRITES: Duration = Duration::from_secs(10);

/// Why a router could not start.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind(&'static str, std::io::Error),
    /// Metrics could not be set up.
    Metrics(String),
    /// The system's signals could not be heard.
    Signals(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(what, why) => write!(f, "can't bind the address {what}: {why}"),
            Self::Metrics(why) => write!(f, "can't set metrics up: {why}"),
            Self::Signals(why) => write!(f, "can't hear signals: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs a router until SIGTERM, SIGINT or a drain over the admin page.
///
/// # Errors
/// Where it can't start.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let recorder = metrics::open().map_err(|e| Error::Metrics(e.to_string()))?;
    let me = Incarnation::new(&settings.name, rand::random());
    let platform = client::open(settings.platform.address, settings.platform.timeout);
    let state = State::new(settings, me, platform);
    let bind = |what| move |why| Error::Bind(what, why);
    let settings = &state.settings;
    peers::bind(&state, settings.peer)
        .await
        .map_err(bind("peer"))?;
    let admin = Server::bind(settings.admin, admin::routes(&state, recorder.clone()));
    let admin = admin.await.map_err(bind("admin"))?;
    let door = Server::bind(settings.listen, door::routes(&state));
    let door = door.await.map_err(bind("listen"))?;
    log::info("listening")
        .with("router", &state.me)
        .with("callers", door.address())
        .with("admin", admin.address())
        .write();
    spawn_workers(&state);
    tokio::spawn(upkeep(recorder));
    wait_for_end(&state).await?;
    end(&state, door).await;
    Ok(())
}

async fn upkeep(recorder: metrics_exporter_prometheus::PrometheusHandle) {
    loop {
        tokio::time::sleep(metrics::UPKEEP).await;
        recorder.run_upkeep();
    }
}

fn spawn_workers(state: &Arc<State>) {
    tokio::spawn(backends::roster::watch_hosts(state.clone()));
    tokio::spawn(backends::roster::watch_load(state.clone()));
    tokio::spawn(backends::roster::tick(state.clone()));
    tokio::spawn(work(state.clone()));
}

/// Registers, and then does what needs the own row.
async fn work(state: Arc<State>) {
    register(&state).await;
    tokio::spawn(conf::watch(state.clone()));
    tokio::spawn(peers::discover(state.clone()));
    tokio::spawn(peers::gossip(state.clone()));
    tokio::spawn(peers::flush_orphans(state.clone()));
    let rows = Rows {
        me: state.me.clone(),
        router: state.router(),
    };
    state.biller.run(&state.platform, rows).await;
    log::error("sealed").with("router", &state.me).write();
    state.seal();
}

fn row(state: &State, stage: Stage) -> RouterRow {
    RouterRow {
        address: state.settings.peer.to_string().into(),
        admin: state.settings.admin.to_string().into(),
        centre: state.settings.centre.clone(),
        stage,
    }
}

/// Writes the own row; a router that can't is not ready.
async fn register(state: &Arc<State>) {
    let key = incarnation_key(&state.me);
    let mine = row(state, Stage::Active);
    loop {
        let commit = Commit::default().check(&key, 0).write(&key, &mine);
        let written = match (state.platform.commit)(commit).await {
            Ok(version) => Some(version),
            // An earlier try whose answer was lost.
            Err(PlatformError::Conflict(rows)) => rows.first().map(|r| r.version),
            Err(why) => {
                log::warn("register").reason(why).write();
                None
            }
        };
        if let Some(version) = written {
            state.registered(version);
            log::info("registered").with("router", &state.me).write();
            return;
        }
        tokio::time::sleep(REGISTER_WAIT).await;
    }
}

async fn wait_for_end(state: &Arc<State>) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let drained = async {
        while !state.is_draining() {
            state.refresh.notified().await;
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = drained => {}
    }
    Ok(())
}

/// Ends without cutting a request: the balancer learns first, then the door
/// closes, then streams end, then bills and tokens go back.
async fn end(state: &Arc<State>, door: Server) {
    log::info("draining").with("router", &state.me).write();
    state.drain();
    tokio::time::sleep(state.settings.stop.linger).await;
    let most = state.settings.stop.drain;
    // What is still under way after that is cut, and said so.
    if tokio::time::timeout(most, door.drain()).await.is_err() {
        log::error("drain")
            .with("cut", state.open.count())
            .reason("requests were still under way")
            .write();
    }
    state.open.wait_none(most).await;
    if tokio::time::timeout(LAST_WRITES, last_writes(state))
        .await
        .is_err()
    {
        log::error("drain")
            .with("bills", state.biller.waiting())
            .reason("the platform did not take the last writes")
            .write();
    }
    log::info("ended").with("router", &state.me).write();
}

async fn last_writes(state: &Arc<State>) {
    state.biller.flushed().await;
    state.bank.return_all(state.router()).await;
    let key = incarnation_key(&state.me);
    let mine = row(state, Stage::Sealed);
    let commit = Commit::default()
        .check(&key, state.router())
        .write(&key, &mine);
    if let Err(why) = (state.platform.commit)(commit).await {
        log::warn("seal").reason(why).write();
    }
}
