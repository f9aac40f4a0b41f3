//! A fleet on loopback: platform, engines, services and routers.

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
use crate::fault::{Fault, Result};
use crate::platform::Platform;
use crate::process::{self, Process};
use crate::relay::{Relay, Relays};
use crate::{wait, web};

/// The data centre of everything.
const CENTRE: &str = "nbo-a";
/// The model that engines offer.
const MODEL: &str = "riders";
/// The service that services offer.
const SERVICE: &str = "entries";

/// Set in the environment to keep settings and logs, and to time commands.
pub const KEEP: &str = "POPLAR_TESTS_KEEP";

/// What a fleet is made of.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// How many routers.
    pub routers: usize,
    /// How many engines.
    pub engines: usize,
    /// How many services.
    pub services: usize,
    /// Workspaces with their limits in tokens.
    pub workspaces: Vec<(String, u64)>,
    /// Settings of the routers: section, key and value.
    pub settings: Vec<(String, String, String)>,
    /// Options of every engine.
    pub engine: Vec<String>,
    /// Options of every service.
    pub service: Vec<String>,
    /// Whether engines and services stand behind relays, too.
    pub relayed: bool,
}

/// A router's place in the fleet, kept across its lives.
#[derive(Debug, Clone)]
pub struct Router {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its admin pages.
    pub admin: SocketAddr,
    /// Whether the test expects it to be running.
    pub up: bool,
    /// In front of its peer service.
    peer: Relay,
    /// Its way to the platform.
    platform: Relay,
}

/// An engine or a service.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Where its control pages are.
    pub address: SocketAddr,
    /// Whether it is an engine.
    pub engine: bool,
    /// Where routers are told to connect.
    shown: SocketAddr,
}

/// A running fleet; every process ends where it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The relays.
    pub relays: Relays,
    plan: Plan,
    folder: PathBuf,
    backends: Vec<Backend>,
    routers: Mutex<Vec<Router>>,
    dead: Mutex<Vec<(String, Count)>>,
    processes: Mutex<Vec<(String, Process)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn folder() -> Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("poplar-tests-{}-{next}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).map_err(|e| Fault::of("folder", e))?;
    Ok(folder)
}

/// Starts a fleet; its routers are ready.
///
/// # Errors
/// Where something does not start.
pub async fn open(plan: Plan) -> Result<Arc<Fleet>> {
    let folder = folder()?;
    let relays = Relays::default();
    let mut platform = process::spawn("fake-platform", &[], &folder, "platform")?;
    let address = process::address(&platform.listening().await?, 0)?;
    let mut fleet = Fleet {
        platform: Platform { address },
        relays,
        folder,
        backends: Vec::new(),
        routers: Mutex::default(),
        dead: Mutex::default(),
        processes: Mutex::new(vec![("platform".to_owned(), platform)]),
        plan,
    };
    fleet.fill_table().await?;
    fleet.open_backends().await?;
    for n in 1..=fleet.plan.routers {
        fleet.open_router(&format!("r{n}")).await?;
    }
    for router in fleet.routers() {
        fleet.ready(&router.name).await?;
        fleet.acquainted(&router.name).await?;
    }
    Ok(Arc::new(fleet))
}

impl Fleet {
    /// The routers, also those that are down.
    pub fn routers(&self) -> Vec<Router> {
        lock(&self.routers).clone()
    }

    /// The engines and services.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Finds a router.
    ///
    /// # Errors
    /// Where there is none of that name.
    pub fn router(&self, name: &str) -> Result<Router> {
        let found = self.routers().into_iter().find(|r| r.name == name);
        found.ok_or_else(|| Fault::of(name, "no such router"))
    }

    /// Where the control page of a stand-in is.
    ///
    /// # Errors
    /// Where there is none of that name.
    pub fn control(&self, name: &str) -> Result<SocketAddr> {
        if name == "platform" {
            return Ok(self.platform.address);
        }
        let found = self.backends.iter().find(|b| b.name == name);
        found
            .map(|b| b.address)
            .ok_or_else(|| Fault::of(name, "no such stand-in"))
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

    async fn open_backends(&mut self) -> Result<()> {
        let Plan {
            engines, services, ..
        } = self.plan;
        for n in 1..=engines {
            self.open_backend(&format!("e{n}"), true).await?;
        }
        for n in 1..=services {
            self.open_backend(&format!("s{n}"), false).await?;
        }
        let hosts: Vec<Value> = self.backends.iter().map(|b| self.host(b)).collect();
        self.platform.hosts(&hosts).await
    }

    async fn open_backend(&mut self, name: &str, engine: bool) -> Result<()> {
        let (program, offers, serves, extra) = match engine {
            true => ("fake-engine", "--model", MODEL, &self.plan.engine),
            false => ("fake-service", "--service", SERVICE, &self.plan.service),
        };
        let words = ["--name", name, offers, serves].map(str::to_owned);
        let words = [&words, extra.as_slice()].concat();
        let mut process = process::spawn(program, &words, &self.folder, name)?;
        let address = process::address(&process.listening().await?, 0)?;
        let mut shown = address;
        if self.plan.relayed {
            let relay = self.relays.open(None, name).await?;
            relay.aim(address);
            shown = relay.address;
        }
        lock(&self.processes).push((name.to_owned(), process));
        self.backends.push(Backend {
            name: name.to_owned(),
            address,
            engine,
            shown,
        });
        Ok(())
    }

    fn host(&self, backend: &Backend) -> Value {
        let (role, serves, options) = match backend.engine {
            true => ("engine", MODEL, &self.plan.engine),
            false => ("service", SERVICE, &self.plan.service),
        };
        let fenced = options.windows(2).any(|w| w == ["--fenced", "yes"]);
        json!({
            "name": backend.name, "address": backend.shown, "centre": CENTRE,
            "role": role, "serves": serves, "state": "live", "fenced": fenced,
        })
    }

    /// Starts a router, for the first time or again.
    ///
    /// # Errors
    /// Where it does not start.
    pub async fn open_router(&self, name: &str) -> Result<()> {
        let known = self.router(name).ok();
        let (peer, platform) = match known {
            Some(router) => (router.peer, router.platform),
            None => (
                self.relays.open(None, name).await?,
                self.relays.open(Some(name), "platform").await?,
            ),
        };
        platform.aim(self.platform.address);
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, self.settings(name, &peer, &platform)).map_err(|e| Fault::of(name, e))?;
        let words = ["--settings".to_owned(), path.display().to_string()];
        let life = format!("{name}-{}", lock(&self.processes).len());
        let mut process = process::spawn("poplar-router", &words, &self.folder, &life)?;
        self.relays.name(process.id(), name);
        let said = process.listening().await?;
        peer.aim(process::address(&said, 4)?);
        let router = Router {
            name: name.to_owned(),
            callers: process::address(&said, 0)?,
            admin: process::address(&said, 2)?,
            up: true,
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
    /// Where it does not become ready.
    pub async fn ready(&self, name: &str) -> Result<()> {
        let admin = self.router(name)?.admin;
        let ready = wait::until(format!("{name} ready"), async || {
            is_ready(admin).await.then_some(())
        });
        ready.await
    }

    /// Waits until a router has heard of every other one that is up.
    ///
    /// # Errors
    /// Where it does not hear of them.
    pub async fn acquainted(&self, name: &str) -> Result<()> {
        let admin = self.router(name)?.admin;
        let others = self.routers().iter().filter(|r| r.up).count() - 1;
        let heard = wait::until(format!("{name} to know the others"), async || {
            let page: Value = web::get(admin, "/v1/status").await.ok()?;
            let peers = page["peers"].as_array()?.iter();
            let heard = peers.filter(|p| p["age_ms"].as_u64().is_some_and(|ms| ms < 1500));
            (heard.count() >= others).then_some(())
        });
        heard.await
    }

    /// Does something to the newest process of `name`.
    ///
    /// # Errors
    /// Where there is none, or with `act`.
    pub fn process<T>(&self, name: &str, act: impl FnOnce(&mut Process) -> Result<T>) -> Result<T> {
        let mut processes = lock(&self.processes);
        let found = processes.iter_mut().rev().find(|(n, _)| n == name);
        let (_, process) = found.ok_or_else(|| Fault::of(name, "no such process"))?;
        act(process)
    }

    /// What every engine and service counted; the last count of a dead one.
    ///
    /// # Errors
    /// Where one that is not known to be dead does not answer.
    pub async fn counts(&self) -> Result<Vec<Count>> {
        let mut counts = Vec::new();
        for backend in &self.backends {
            let dead = lock(&self.dead)
                .iter()
                .find(|(n, _)| *n == backend.name)
                .cloned();
            counts.push(match dead {
                Some((_, count)) => count,
                None => self.count(backend).await?,
            });
        }
        Ok(counts)
    }

    /// Counts a backend server; one that crashed took its counts along.
    async fn count(&self, backend: &Backend) -> Result<Count> {
        let start = Instant::now();
        loop {
            let counted = audit::count(backend).await;
            if counted.is_ok() {
                return counted;
            }
            if self.has_ended(&backend.name) {
                return Ok(Count::none(backend.engine));
            }
            // It may refuse connections for a while on purpose.
            if start.elapsed() > wait::LONGEST {
                return counted;
            }
            tokio::time::sleep(wait::POLL).await;
        }
    }

    /// Whether the newest process of `name` has ended.
    pub fn has_ended(&self, name: &str) -> bool {
        let ended = self.process(name, |p| Ok(p.ended().is_some()));
        ended.unwrap_or(true)
    }

    /// The routers that are expected to run, and do.
    pub fn living(&self) -> Vec<Router> {
        let mut routers = self.routers();
        routers.retain(|r| r.up && !self.has_ended(&r.name));
        routers
    }

    /// Kills a process; an engine is frozen and counted before.
    ///
    /// # Errors
    /// Where it can't be counted or killed.
    pub async fn kill(&self, name: &str) -> Result<()> {
        if let Some(backend) = self.backends.iter().find(|b| b.name == name) {
            if backend.engine {
                let frozen = json!({"freeze_ms": 600_000});
                web::post(backend.address, "/control", &frozen).await?;
            }
            let count = audit::count(backend).await?;
            lock(&self.dead).push((name.to_owned(), count));
        }
        self.mark(name, false);
        self.process(name, |process| {
            process.kill();
            Ok(())
        })
    }

    /// Writes `what` into the folder, to be looked at where it is kept.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn keep(&self, name: &str, what: &impl Serialize) -> Result<()> {
        let bytes = serde_json::to_vec(what).map_err(|e| Fault::of(name, e))?;
        fs::write(self.folder.join(name), bytes).map_err(|e| Fault::of(name, e))
    }

    /// Notes whether a router is expected to be running.
    pub fn mark(&self, name: &str, up: bool) {
        for router in lock(&self.routers).iter_mut().filter(|r| r.name == name) {
            router.up = up;
        }
    }
}

/// Whether a router says that it is ready.
pub async fn is_ready(admin: SocketAddr) -> bool {
    let page = web::plain(admin, http::Method::GET, "/readyz", bytes::Bytes::new()).await;
    page.is_ok_and(|a| a.status.is_success())
}

/// The access key of a workspace.
pub fn access_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// The configuration row of a generation.
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
        if std::env::var_os(KEEP).is_none() {
            // A folder that stays harms nothing.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
