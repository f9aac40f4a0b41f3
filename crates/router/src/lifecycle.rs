//! A router's life: it registers, works, and ends by a graceful shutdown.

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
use crate::{admin, backends, claims, config_sync, door, metrics, peers, predecessors};

/// Wait between tries to register.
const REGISTER_WAIT: Duration = Duration::from_millis(500);
/// Connections that may wait to be accepted; callers come back all at once.
const BACKLOG: u32 = 4096;
/// How often it is looked whether the end has come.
const LOOK: Duration = Duration::from_millis(100);
/// Tries to leave the group against others' changes of it.
const SEAL_TRIES: usize = 10;
/// Wait between them.
const SEAL_WAIT: Duration = Duration::from_millis(50);
/// How long the last bills and returns may take at the end.
const LAST_WRITES: Duration = Duration::from_secs(10);

/// Why a router could not start.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind(&'static str, std::io::Error),
    /// Metrics could not be set up.
    Metrics(String),
    /// Somebody sealed this router, so that it can do no more; start it anew.
    Sealed,
    /// The system's signals could not be heard.
    Signals(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(what, why) => write!(f, "can't bind the address {what}: {why}"),
            Self::Metrics(why) => write!(f, "can't set metrics up: {why}"),
            Self::Sealed => f.write_str("the router was sealed; start it anew"),
            Self::Signals(why) => write!(f, "can't hear signals: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs a router until SIGTERM, SIGINT or a drain over the admin page.
///
/// # Errors
/// Where it can't start.
pub async fn run(mut settings: Settings) -> Result<(), Error> {
    let recorder = metrics::open().map_err(|e| Error::Metrics(e.to_string()))?;
    let door = bind("listen", &mut settings.listen).await?;
    let pages = bind("admin", &mut settings.admin).await?;
    let peer = bind("peer", &mut settings.peer).await?;
    announce(&settings);
    let me = Incarnation::new(&settings.name, rand::random());
    let Platform {
        address, timeout, ..
    } = settings.platform;
    let platform = client::open_as(&settings.name, address, timeout);
    let state = State::new(settings, me, platform);
    peers::spawn(&state, peer);
    let _pages = Server::spawn(pages, admin::routes(&state, recorder.clone()));
    let door = Server::spawn(door, door::routes(&state));
    spawn_workers(&state);
    tokio::spawn(upkeep(recorder));
    wait_for_end(&state).await?;
    end(&state, door).await;
    if state.is_sealed() {
        return Err(Error::Sealed);
    }
    Ok(())
}

/// Binds an address; port 0 is replaced by the one that was given.
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
    let listener = socket.listen(BACKLOG).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// Says on standard output where it listens, for whoever started it.
fn announce(settings: &Settings) {
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
        me,
        ..
    } = &*state;
    let writer = BillWriter::new(platform, budgets, bill_queue, me, state.router());
    writer.run().await;
    log::error("sealed").with("router", &state.me).write();
    state.seal();
}

fn row(state: &State, stage: Stage) -> RouterRow {
    RouterRow {
        address: state.settings.advertised().to_string().into(),
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
    let ended = async {
        while !state.is_draining() && !state.is_sealed() {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = ended => {}
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
    pass_on(state).await;
    if state.is_sealed() {
        return;
    }
    if tokio::time::timeout(LAST_WRITES, last_writes(state))
        .await
        .is_err()
    {
        log::error("drain")
            .with("bills", state.bill_queue.pending_count())
            .reason("the platform did not take the last writes")
            .write();
    }
    log::info("ended").with("router", &state.me).write();
}

/// Leaves with peers what would be lost with this process: copies of others'
/// bills and, where it was sealed, own bills of answers that went out.
async fn pass_on(state: &Arc<State>) {
    let left = state.bill_queue.unbilled_answers();
    for _ in 0..SEAL_TRIES {
        if state.peers.hand_over_copies(state, &left).await {
            return;
        }
        tokio::time::sleep(SEAL_WAIT * 10).await;
    }
    log::error("bills")
        .with("left", left.len())
        .reason("no peer took the copies over")
        .write();
}

async fn last_writes(state: &Arc<State>) {
    state.bill_queue.wait_until_flushed().await;
    claims::group::wait_until_written(state).await;
    if let Err(why) = state.budgets.close(state.router()).await {
        log::warn("close").reason(why).write();
    }
    for _ in 0..SEAL_TRIES {
        match seal(state).await {
            Ok(_) => return,
            Err(why) => log::warn("seal").reason(why).write(),
        }
        tokio::time::sleep(SEAL_WAIT).await;
    }
}

/// Seals the own row, and leaves the group in the same transaction.
async fn seal(state: &State) -> Result<u64, PlatformError> {
    let key = incarnation_key(&state.me);
    let mine = row(state, Stage::Sealed);
    let mut commit = Commit::default()
        .check(&key, state.router())
        .write(&key, &mine);
    if let Some((version, group)) = claims::group::leave(state).await {
        commit = commit
            .check(group::ROW_KEY, version)
            .write(group::ROW_KEY, &group);
    }
    (state.platform.commit)(commit).await
}
