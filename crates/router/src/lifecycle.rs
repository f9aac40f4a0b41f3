//! Start, background tasks and graceful shutdown of a router process.
//!
//! A router registers by writing its own row to the platform's table. Everything
//! that it writes later checks this row. If another router or an operator seals
//! the row, the router can write nothing more and stops.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::platform::{Commit, Error as PlatformError, client};
use poplar_core::bill::{RouterRow, Stage};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::claim::group;
use poplar_core::id::Incarnation;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::budget::bill_writer::BillWriter;
use crate::budget::{prefetch, transfer};
use crate::server::Server;
use crate::settings::{Platform, Settings};
use crate::state::State;
use crate::{admin, api, backends, claims, config_sync, metrics, peers, predecessors};

/// Wait between attempts to register.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Connections that may wait to be accepted; many callers reconnect at once.
const LISTEN_BACKLOG: u32 = 4096;
/// How often the drain and sealed flags are checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts to seal the own row and leave the group, since other routers may
/// change the group's row at the same time; also attempts to hand copies over.
const SEAL_ATTEMPTS: usize = 10;
/// Wait between attempts to seal; attempts to hand copies over wait ten times
/// as long.
const SEAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long writing the last bills and returning tokens may take at shutdown.
const FINAL_WRITES_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a router could not start, or stopped with a failure.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind(&'static str, std::io::Error),
    /// The metrics recorder could not be installed.
    Metrics(String),
    /// The router's row was sealed, so it can write nothing more; it has to be
    /// restarted.
    Sealed,
    /// The signal handlers could not be installed.
    Signals(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(what, why) => write!(f, "can't bind the address {what}: {why}"),
            Self::Metrics(why) => write!(f, "can't install the metrics recorder: {why}"),
            Self::Sealed => f.write_str("the router was sealed; restart it"),
            Self::Signals(why) => write!(f, "can't install signal handlers: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs a router until SIGTERM, SIGINT or a drain request to the admin address.
///
/// # Errors
/// Fails if the router can't start, or if it was sealed while it ran.
pub async fn run(mut settings: Settings) -> Result<(), Error> {
    let recorder = metrics::install().map_err(|e| Error::Metrics(e.to_string()))?;
    let api_listener = bind("listen", &mut settings.listen).await?;
    let admin_listener = bind("admin", &mut settings.admin).await?;
    let peer_listener = bind("peer", &mut settings.peer).await?;
    report_addresses(&settings);
    let incarnation = Incarnation::new(&settings.name, rand::random());
    let Platform {
        address, timeout, ..
    } = settings.platform;
    let platform = client::open_as(&settings.name, address, timeout);
    let state = State::new(settings, incarnation, platform);
    peers::spawn(&state, peer_listener);
    let _admin_server = Server::spawn(admin_listener, admin::routes(&state, recorder.clone()));
    let api_server = Server::spawn(api_listener, api::routes(&state));
    spawn_workers(&state);
    tokio::spawn(run_metrics_upkeep(recorder));
    wait_for_stop(&state).await?;
    shut_down(&state, api_server).await;
    if state.is_sealed() {
        return Err(Error::Sealed);
    }
    Ok(())
}

/// Binds an address; port 0 is replaced by the port that the system assigned.
pub(crate) async fn bind(
    what: &'static str,
    address: &mut SocketAddr,
) -> Result<TcpListener, Error> {
    let failed = |why| Error::Bind(what, why);
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(*address).map_err(failed)?;
    let listener = socket.listen(LISTEN_BACKLOG).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// Logs the listening addresses, and prints them on standard output for the
/// process that started this one.
fn report_addresses(settings: &Settings) {
    let Settings {
        listen,
        admin,
        peer,
        ..
    } = settings;
    println!("listening {listen} admin {admin} peer {peer}");
    log::info("listening")
        .with("router", &settings.name)
        .with("callers", listen)
        .with("admin", admin)
        .with("peer", peer)
        .write();
}

async fn run_metrics_upkeep(recorder: metrics_exporter_prometheus::PrometheusHandle) {
    loop {
        tokio::time::sleep(metrics::UPKEEP_INTERVAL).await;
        recorder.run_upkeep();
    }
}

fn spawn_workers(state: &Arc<State>) {
    tokio::spawn(backends::monitor::watch_hosts(state.clone()));
    tokio::spawn(backends::monitor::watch_load(state.clone()));
    tokio::spawn(backends::monitor::assign_queued(state.clone()));
    tokio::spawn(register_and_work(state.clone()));
}

/// Registers, then starts the tasks that need the router's row, and writes
/// bills until the router is sealed.
async fn register_and_work(state: Arc<State>) {
    register(&state).await;
    tokio::spawn(config_sync::watch(state.clone()));
    tokio::spawn(predecessors::seal_and_release(state.clone()));
    tokio::spawn(peers::discover(state.clone()));
    tokio::spawn(peers::gossip(state.clone()));
    tokio::spawn(peers::flush_orphaned_bills(state.clone()));
    tokio::spawn(transfer::run(state.clone()));
    tokio::spawn(prefetch::run(state.clone()));
    tokio::spawn(claims::group::maintain_membership(state.clone()));
    tokio::spawn(claims::reconcile::run(state.clone()));
    let State {
        platform,
        budgets,
        bill_queue,
        incarnation,
        ..
    } = &*state;
    let writer = BillWriter::new(
        platform,
        budgets,
        bill_queue,
        incarnation,
        state.row_version(),
    );
    writer.run().await;
    log::error("router sealed")
        .with("router", &state.incarnation)
        .write();
    state.mark_sealed();
}

fn router_row(state: &State, stage: Stage) -> RouterRow {
    RouterRow {
        address: state.settings.advertised().to_string().into(),
        admin: state.settings.admin.to_string().into(),
        centre: state.settings.centre.clone(),
        stage,
    }
}

/// Writes the router's own row; the router is not ready until that succeeds.
async fn register(state: &Arc<State>) {
    let key = incarnation_key(&state.incarnation);
    let own_row = router_row(state, Stage::Active);
    loop {
        let commit = Commit::default().check(&key, 0).write(&key, &own_row);
        let written = match (state.platform.commit)(commit).await {
            Ok(version) => Some(version),
            // An earlier attempt took effect, but its answer was lost.
            Err(PlatformError::Conflict(rows)) => rows.first().map(|r| r.version),
            Err(why) => {
                log::warn("registration failed").reason(why).write();
                None
            }
        };
        if let Some(version) = written {
            state.set_row_version(version);
            log::info("registered")
                .with("router", &state.incarnation)
                .write();
            return;
        }
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
}

async fn wait_for_stop(state: &Arc<State>) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let stopped = async {
        while !state.is_draining() && !state.is_sealed() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = stopped => {}
    }
    Ok(())
}

/// Shuts down without cutting off requests.
///
/// The router first reports that it is not ready, so that the balancer sends
/// no more requests, then stops accepting connections and waits for the open
/// requests, and then writes the last bills and returns unused tokens.
async fn shut_down(state: &Arc<State>, api_server: Server) {
    log::info("drain started")
        .with("router", &state.incarnation)
        .write();
    state.start_drain();
    tokio::time::sleep(state.settings.stop.linger).await;
    let drain_timeout = state.settings.stop.drain_timeout;
    // Requests that are still open after the time-out are cut off and logged.
    if tokio::time::timeout(drain_timeout, api_server.drain())
        .await
        .is_err()
    {
        log::error("drain timed out")
            .with("cut", state.open_requests.count())
            .reason("requests were still open")
            .write();
    }
    state.open_requests.wait_until_empty(drain_timeout).await;
    hand_over_copies(state).await;
    if state.is_sealed() {
        return;
    }
    if tokio::time::timeout(FINAL_WRITES_TIMEOUT, final_writes(state))
        .await
        .is_err()
    {
        log::error("final writes timed out")
            .with("bills", state.bill_queue.pending_count())
            .reason("the platform did not take the last writes")
            .write();
    }
    log::info("router stopped")
        .with("router", &state.incarnation)
        .write();
}

/// Hands over to peers the bills that would be lost with this process: copies
/// of other routers' bills and, if this router was sealed, its own bills for
/// answers that were sent before the bill was durable.
async fn hand_over_copies(state: &Arc<State>) {
    let unbilled = state.bill_queue.unbilled_answers();
    for _ in 0..SEAL_ATTEMPTS {
        if state.peers.hand_over_copies(state, &unbilled).await {
            return;
        }
        tokio::time::sleep(SEAL_RETRY_DELAY * 10).await;
    }
    log::error("bill copies lost")
        .with("unbilled", unbilled.len())
        .reason("no peer accepted the copies")
        .write();
}

async fn final_writes(state: &Arc<State>) {
    state.bill_queue.wait_until_flushed().await;
    claims::group::wait_until_written(state).await;
    if let Err(why) = state.budgets.close(state.row_version()).await {
        log::warn("grants not returned").reason(why).write();
    }
    for _ in 0..SEAL_ATTEMPTS {
        match seal_own_row(state).await {
            Ok(_) => return,
            Err(why) => log::warn("sealing the own row failed").reason(why).write(),
        }
        tokio::time::sleep(SEAL_RETRY_DELAY).await;
    }
}

/// Seals the router's own row and leaves the group in the same transaction.
async fn seal_own_row(state: &State) -> Result<u64, PlatformError> {
    let key = incarnation_key(&state.incarnation);
    let own_row = router_row(state, Stage::Sealed);
    let mut commit = Commit::default()
        .check(&key, state.row_version())
        .write(&key, &own_row);
    if let Some((version, group)) = claims::group::leave(state).await {
        commit = commit
            .check(group::ROW_KEY, version)
            .write(group::ROW_KEY, &group);
    }
    (state.platform.commit)(commit).await
}
