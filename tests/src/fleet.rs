//! Starts and controls a fleet on loopback: platform, engines, services and routers.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use poplar_core::config::hash_key;
use serde::Serialize;
use serde_json::{Value, json};

use crate::audit::{self, Count};
use crate::error::{Error, Result};
use crate::platform::Platform;
use crate::process::{self, Process};
use crate::relay::{Relay, Relays};
use crate::{wait, web};

/// Data centre of all processes.
const CENTRE: &str = "nbo-a";
/// Model that the engines serve.
const MODEL: &str = "riders";
/// Name that the plain services serve.
const SERVICE: &str = "entries";

/// Environment variable that keeps settings and logs, and prints command times.
pub const KEEP_VAR: &str = "POPLAR_TESTS_KEEP";

/// Composition and settings of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Workspaces, each with its budget limit in tokens.
    pub workspaces: Vec<(String, u64)>,
    /// Router settings: section, key and value.
    pub settings: Vec<(String, String, String)>,
    /// Command-line options of every engine.
    pub engine_options: Vec<String>,
    /// Command-line options of every service.
    pub service_options: Vec<String>,
    /// Whether engines and services are behind relays too.
    pub relay_backends: bool,
}

/// A router of the fleet; its name and relays stay the same across restarts.
#[derive(Debug, Clone)]
pub struct Router {
    /// Name of the router.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
    /// Whether the test expects the router to be running.
    pub expected_up: bool,
    /// Relay in front of its peer address.
    peer: Relay,
    /// Relay from this router to the platform.
    platform: Relay,
}

/// An engine or service stand-in.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Name of the stand-in.
    pub name: String,
    /// Address of the stand-in itself, which also serves its control calls.
    pub address: SocketAddr,
    /// Whether the stand-in is an engine.
    pub is_engine: bool,
    /// Address in the host list: that of its relay, or its own.
    advertised: SocketAddr,
}

/// A running fleet; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Access to the platform stand-in.
    pub platform: Platform,
    /// Relays between the processes.
    pub relays: Relays,
    plan: Plan,
    folder: PathBuf,
    backends: Vec<Backend>,
    routers: Mutex<Vec<Router>>,
    dead_counts: Mutex<Vec<(String, Count)>>,
    processes: Mutex<Vec<(String, Process)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn create_folder() -> Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("poplar-tests-{}-{next}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).map_err(|e| Error::new("folder", e))?;
    Ok(folder)
}

/// Starts a fleet and waits until its routers are ready and know each other.
///
/// # Errors
/// If a process does not start.
pub async fn start(plan: Plan) -> Result<Arc<Fleet>> {
    let folder = create_folder()?;
    let relays = Relays::default();
    let mut platform = process::spawn("fake-platform", &[], &folder, "platform")?;
    let address = process::parse_address(&platform.wait_listening().await?, 0)?;
    let mut fleet = Fleet {
        platform: Platform { address },
        relays,
        folder,
        backends: Vec::new(),
        routers: Mutex::default(),
        dead_counts: Mutex::default(),
        processes: Mutex::new(vec![("platform".to_owned(), platform)]),
        plan,
    };
    fleet.fill_table().await?;
    fleet.start_backends().await?;
    for n in 1..=fleet.plan.routers {
        fleet.start_router(&format!("r{n}")).await?;
    }
    for router in fleet.routers() {
        fleet.wait_ready(&router.name).await?;
        fleet.wait_for_peers(&router.name).await?;
    }
    Ok(Arc::new(fleet))
}

impl Fleet {
    /// Lists the routers, including those that are down.
    pub fn routers(&self) -> Vec<Router> {
        lock(&self.routers).clone()
    }

    /// Lists the engines and services.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Finds a router by name.
    ///
    /// # Errors
    /// If there is none of that name.
    pub fn router(&self, name: &str) -> Result<Router> {
        let found = self.routers().into_iter().find(|r| r.name == name);
        found.ok_or_else(|| Error::new(name, "no such router"))
    }

    /// Returns the address for control calls of a stand-in.
    ///
    /// # Errors
    /// If there is none of that name.
    pub fn control_address(&self, name: &str) -> Result<SocketAddr> {
        if name == "platform" {
            return Ok(self.platform.address);
        }
        let found = self.backends.iter().find(|b| b.name == name);
        found
            .map(|b| b.address)
            .ok_or_else(|| Error::new(name, "no such stand-in"))
    }

    async fn fill_table(&self) -> Result<()> {
        let config = config(1, 300, &self.plan.workspaces);
        self.platform.commit("config", 0, &config).await?;
        for (name, limit) in &self.plan.workspaces {
            let row = json!({"limit": limit, "granted": 0});
            let key = format!("budget/{name}");
            self.platform.commit(&key, 0, &row).await?;
        }
        Ok(())
    }

    async fn start_backends(&mut self) -> Result<()> {
        let Plan {
            engines, services, ..
        } = self.plan;
        for n in 1..=engines {
            self.start_backend(&format!("e{n}"), true).await?;
        }
        for n in 1..=services {
            self.start_backend(&format!("s{n}"), false).await?;
        }
        let hosts: Vec<Value> = self.backends.iter().map(|b| self.host_entry(b)).collect();
        self.platform.put_hosts(&hosts).await
    }

    async fn start_backend(&mut self, name: &str, is_engine: bool) -> Result<()> {
        let (program, offers, serves, options) = match is_engine {
            true => ("fake-engine", "--model", MODEL, &self.plan.engine_options),
            false => (
                "fake-service",
                "--service",
                SERVICE,
                &self.plan.service_options,
            ),
        };
        let words = ["--name", name, offers, serves].map(str::to_owned);
        let words = [&words, options.as_slice()].concat();
        let mut process = process::spawn(program, &words, &self.folder, name)?;
        let address = process::parse_address(&process.wait_listening().await?, 0)?;
        let mut advertised = address;
        if self.plan.relay_backends {
            let relay = self.relays.open(None, name).await?;
            relay.set_target(address);
            advertised = relay.address;
        }
        lock(&self.processes).push((name.to_owned(), process));
        self.backends.push(Backend {
            name: name.to_owned(),
            address,
            is_engine,
            advertised,
        });
        Ok(())
    }

    fn host_entry(&self, backend: &Backend) -> Value {
        let (role, serves, options) = match backend.is_engine {
            true => ("engine", MODEL, &self.plan.engine_options),
            false => ("service", SERVICE, &self.plan.service_options),
        };
        let fenced = options.windows(2).any(|w| w == ["--fenced", "yes"]);
        json!({
            "name": backend.name, "address": backend.advertised, "centre": CENTRE,
            "role": role, "serves": serves, "state": "live", "fenced": fenced,
        })
    }

    /// Starts or restarts a router.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn start_router(&self, name: &str) -> Result<()> {
        let existing = self.router(name).ok();
        let (peer, platform) = match existing {
            Some(router) => (router.peer, router.platform),
            None => (
                self.relays.open(None, name).await?,
                self.relays.open(Some(name), "platform").await?,
            ),
        };
        platform.set_target(self.platform.address);
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, self.settings(name, &peer, &platform)).map_err(|e| Error::new(name, e))?;
        let words = ["--settings".to_owned(), path.display().to_string()];
        let log_name = format!("{name}-{}", lock(&self.processes).len());
        let mut process = process::spawn("poplar-router", &words, &self.folder, &log_name)?;
        self.relays.register_process(process.id(), name);
        let addresses = process.wait_listening().await?;
        peer.set_target(process::parse_address(&addresses, 4)?);
        let router = Router {
            name: name.to_owned(),
            callers: process::parse_address(&addresses, 0)?,
            admin: process::parse_address(&addresses, 2)?,
            expected_up: true,
            peer,
            platform,
        };
        let mut routers = lock(&self.routers);
        routers.retain(|r| r.name != name);
        routers.push(router);
        routers.sort_by(|a, b| a.name.cmp(&b.name));
        lock(&self.processes).push((name.to_owned(), process));
        Ok(())
    }

    fn settings(&self, name: &str, peer: &Relay, platform: &Relay) -> String {
        let mut sections = vec![
            ("router", vec![("name", name.to_owned())]),
            ("platform", vec![("address", platform.address.to_string())]),
            ("log", vec![("level", "debug".to_owned())]),
        ];
        for key in ["listen", "admin", "peer"] {
            sections[0].1.push((key, "127.0.0.1:0".to_owned()));
        }
        sections[0].1.push(("centre", CENTRE.to_owned()));
        sections[0].1.push(("advertise", peer.address.to_string()));
        for (section, key, value) in &self.plan.settings {
            let at = sections.iter().position(|(s, _)| s == section);
            let at = at.unwrap_or_else(|| {
                sections.push((section, Vec::new()));
                sections.len() - 1
            });
            sections[at].1.push((key, value.clone()));
        }
        let mut text = String::new();
        for (section, pairs) in sections {
            let _ = writeln!(text, "[{section}]");
            for (key, value) in pairs {
                let _ = writeln!(text, "{key} = {value}");
            }
        }
        text
    }

    /// Waits until a router is ready.
    ///
    /// # Errors
    /// If it does not become ready within the time-out.
    pub async fn wait_ready(&self, name: &str) -> Result<()> {
        let admin = self.router(name)?.admin;
        let ready = wait::until(format!("{name} ready"), async || {
            is_ready(admin).await.then_some(())
        });
        ready.await
    }

    /// Waits until a router has recent gossip from every other one that is up.
    ///
    /// # Errors
    /// If it does not within the time-out.
    pub async fn wait_for_peers(&self, name: &str) -> Result<()> {
        let admin = self.router(name)?.admin;
        let others = self.routers().iter().filter(|r| r.expected_up).count() - 1;
        let peers_known = wait::until(format!("{name} to know the others"), async || {
            let page: Value = web::get(admin, "/v1/status").await.ok()?;
            let peers = page["peers"].as_array()?.iter();
            let known = peers.filter(|p| p["age_ms"].as_u64().is_some_and(|ms| ms < 1500));
            (known.count() >= others).then_some(())
        });
        peers_known.await
    }

    /// Calls `act` with the latest process of `name`.
    ///
    /// # Errors
    /// If there is none, or `act` fails.
    pub fn with_process<T>(
        &self,
        name: &str,
        act: impl FnOnce(&mut Process) -> Result<T>,
    ) -> Result<T> {
        let mut processes = lock(&self.processes);
        let found = processes.iter_mut().rev().find(|(n, _)| n == name);
        let (_, process) = found.ok_or_else(|| Error::new(name, "no such process"))?;
        act(process)
    }

    /// Reads the counts of all engines and services.
    ///
    /// Counts of a stand-in that the test killed are those from before the kill.
    ///
    /// # Errors
    /// If a stand-in that was not killed does not answer.
    pub async fn counts(&self) -> Result<Vec<Count>> {
        let mut counts = Vec::new();
        for backend in &self.backends {
            let dead = lock(&self.dead_counts)
                .iter()
                .find(|(n, _)| *n == backend.name)
                .cloned();
            counts.push(match dead {
                Some((_, count)) => count,
                None => self.read_count(backend).await?,
            });
        }
        Ok(counts)
    }

    /// Reads the counts of a backend server; they are lost if it crashed.
    async fn read_count(&self, backend: &Backend) -> Result<Count> {
        let start = Instant::now();
        loop {
            let counted = audit::read_count(backend).await;
            if counted.is_ok() {
                return counted;
            }
            if self.has_ended(&backend.name) {
                return Ok(Count::empty(backend.is_engine));
            }
            // A scenario may have made the stand-in refuse connections for a while.
            if start.elapsed() > wait::TIMEOUT {
                return counted;
            }
            tokio::time::sleep(wait::POLL_INTERVAL).await;
        }
    }

    /// Whether the latest process of `name` has exited.
    pub fn has_ended(&self, name: &str) -> bool {
        let ended = self.with_process(name, |p| Ok(p.exit_status().is_some()));
        ended.unwrap_or(true)
    }

    /// Lists the routers that are expected to run and do run.
    pub fn live_routers(&self) -> Vec<Router> {
        let mut routers = self.routers();
        routers.retain(|r| r.expected_up && !self.has_ended(&r.name));
        routers
    }

    /// Kills a process.
    ///
    /// The counts of a backend server are read before; an engine is frozen first, so
    /// that it does no work after the count.
    ///
    /// # Errors
    /// If the counts can't be read or the process can't be killed.
    pub async fn kill(&self, name: &str) -> Result<()> {
        if let Some(backend) = self.backends.iter().find(|b| b.name == name) {
            if backend.is_engine {
                let frozen = json!({"freeze_ms": 600_000});
                web::post(backend.address, "/control", &frozen).await?;
            }
            let count = audit::read_count(backend).await?;
            lock(&self.dead_counts).push((name.to_owned(), count));
        }
        self.set_expected_up(name, false);
        self.with_process(name, |process| {
            process.kill();
            Ok(())
        })
    }

    /// Writes `what` as JSON into the fleet's folder, for inspection after a test.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn save_artifact(&self, name: &str, what: &impl Serialize) -> Result<()> {
        let bytes = serde_json::to_vec(what).map_err(|e| Error::new(name, e))?;
        fs::write(self.folder.join(name), bytes).map_err(|e| Error::new(name, e))
    }

    /// Sets whether a router is expected to be running.
    pub fn set_expected_up(&self, name: &str, expected_up: bool) {
        for router in lock(&self.routers).iter_mut().filter(|r| r.name == name) {
            router.expected_up = expected_up;
        }
    }
}

/// Whether a router's `/readyz` reports ready.
pub async fn is_ready(admin: SocketAddr) -> bool {
    let page = web::request(admin, http::Method::GET, "/readyz", bytes::Bytes::new()).await;
    page.is_ok_and(|a| a.status.is_success())
}

/// Returns the access key of a workspace.
pub fn access_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Builds the configuration row of a generation.
pub fn config(generation: u64, cap: u64, workspaces: &[(String, u64)]) -> Value {
    let class = |name: &str, kind: &str, finish: u64, repeat: bool, price: u64| {
        let model = kind == "model";
        json!({
            "name": name, "kind": kind, "serves": if model { MODEL } else { SERVICE },
            "first_ms": null, "finish_ms": finish, "objective": 0.999,
            "repeat": repeat, "price": price, "cap": if model { cap } else { 1 },
        })
    };
    let spaces = workspaces.iter().map(|(name, _)| {
        let secret = hash_key(&access_key(name));
        json!({"name": name, "secret": secret})
    });
    json!({
        "generation": generation,
        "classes": [
            class("bib-lookup", "service", 10_000, true, 1),
            class("payment", "service", 10_000, false, 1),
            class("rider-chat", "model", 60_000, true, 0),
        ],
        "workspaces": spaces.collect::<Vec<_>>(),
    })
}

impl Drop for Fleet {
    fn drop(&mut self) {
        lock(&self.processes).clear();
        if std::env::var_os(KEEP_VAR).is_none() {
            // A folder that can't be removed does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
