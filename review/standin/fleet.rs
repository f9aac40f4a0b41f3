//! Routers as processes of their own, started as the deploy file says, and the load
//! balancer before them.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

pub const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
/// Time between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(8);
/// Time between two checks of a router.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// A router's machine.
#[derive(Debug)]
pub struct Router {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    /// A file with the id of the process.
    pid: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the load balancer sends it new connections.
    in_rotation: AtomicBool,
}

impl Router {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT_PORT)
    }

    /// Starts a process.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("--platform").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("POPLARREEL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = command.spawn()?;
        std::fs::write(&self.pid, child.id().to_string())?;
        *self.child.lock().unwrap_or_else(|e| e.into_inner()) = Some(child);
        Ok(())
    }

    /// Sends a signal to the process by its name.
    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(child) = &*child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Stops the process as the platform does, and starts another one.
    pub fn restart(&self) -> io::Result<()> {
        self.signal("TERM");
        let until = Instant::now() + GRACE;
        loop {
            {
                let mut child = self.child.lock().unwrap_or_else(|e| e.into_inner());
                let Some(running) = &mut *child else { break };
                if Instant::now() >= until {
                    running.kill()?;
                    running.wait()?;
                }
                if running.try_wait()?.is_some() {
                    std::fs::remove_file(&self.pid)?;
                    *child = None;
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(RESTART_DELAY);
        self.start()
    }

    fn is_ready(&self) -> bool {
        let at = SocketAddr::new(self.ip.into(), READY_PORT);
        let host = [("Host", "ready")];
        let limit = Duration::from_millis(800);
        http::ask(at, "GET", "/api/readiness", &host, b"", limit).status == 200
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(child) = &mut *child {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(&self.pid);
        }
    }
}

/// The routers of a deployment.
#[derive(Debug)]
pub struct Fleet {
    pub routers: Vec<Arc<Router>>,
    next: AtomicUsize,
}

impl Fleet {
    /// Writes the settings files of the routers at these addresses; starts none. The first
    /// one and the others get an address of the store and internal ports.
    pub fn new(
        addresses: &[Ipv4Addr],
        first: (SocketAddr, &str),
        others: (SocketAddr, &str),
        program: &Path,
        folder: &Path,
    ) -> io::Result<Self> {
        let zones = ["depot-north", "depot-south", "civic-hall", "harbour-hall"];
        let seeds: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{CONTROL_PORT}"))
            .collect();
        let mut routers = Vec::new();
        for (n, ip) in addresses.iter().enumerate() {
            let zone = zones[n % zones.len()];
            let (store, ports) = if n == 0 { first } else { others };
            let mut text = format!(
                "node_name=front-{zone}-{n}\nrole=router\nmachine_class=front\nserves=front\n\
                 ip={ip}\nzone={zone}\nregion=waiharakeke\n"
            );
            for zone in zones {
                text.push_str(&format!("zones.{zone}=waiharakeke\n"));
            }
            text.push_str(&format!(
                "listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
                 listen.control={ip}:{CONTROL_PORT}\ninternal_ports={ports}\nseeds={}\n\
                 bootstrap=true\ntolerance_member=false\nlimits.cpu_share=0.25\n\
                 limits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\n\
                 limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
                 heartbeat_ms=1200\n\
                 contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
                 fault_tolerance.machines=1\nfault_tolerance.zones=0\n\
                 fault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_s=2\n\
                 bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\n\
                 bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
                 bounds.config_apply_ms=2000\nbounds.downgrade_ms=250\n\
                 bounds.stretch_ms=5000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\n\
                 bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=56\n\
                 bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.reuse_window_s=9.5\n\
                 bounds.settle_ms=1500\nplatform.address={store}\nplatform.form=table\n\
                 platform.writes_per_s=800\nplatform.reads_per_s=2000\nplatform.tx_ms=3.0\n\
                 platform.part_writes_per_s=300\nplatform.row_bytes=65536\n\
                 platform.across=true\nplatform.history_s=20\nplatform.blob_bytes=8388608\n\
                 platform.blob_ms=25.0\nplatform.blob_mb_per_s=80.0\n",
                seeds.join(",")
            ));
            let settings = folder.join(format!("{n}.conf"));
            std::fs::write(&settings, text)?;
            routers.push(Arc::new(Router {
                ip: *ip,
                settings,
                log: folder.join(format!("{n}.log")),
                pid: folder.join(format!("{n}.pid")),
                program: program.to_owned(),
                child: Mutex::new(None),
                in_rotation: AtomicBool::new(false),
            }));
        }
        Ok(Self {
            routers,
            next: AtomicUsize::new(0),
        })
    }

    /// Starts all routers and checks them from then on; false if one is not ready in
    /// time.
    pub fn start(&self, within: Duration) -> io::Result<bool> {
        for router in &self.routers {
            router.start()?;
        }
        let until = Instant::now() + within;
        while !self.routers.iter().all(|r| r.is_ready()) {
            if Instant::now() > until {
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        for router in &self.routers {
            router.in_rotation.store(true, Ordering::Release);
            let router = Arc::downgrade(router);
            std::thread::spawn(move || {
                let mut misses = 0;
                while let Some(router) = router.upgrade() {
                    misses = if router.is_ready() { 0 } else { misses + 1 };
                    router.in_rotation.store(misses < 2, Ordering::Release);
                    drop(router);
                    std::thread::sleep(CHECK_PERIOD);
                }
            });
        }
        Ok(true)
    }

    /// The router that gets the next connection, in turn.
    pub fn next(&self) -> Arc<Router> {
        let all = &self.routers;
        let start = self.next.fetch_add(1, Ordering::AcqRel);
        let ring = (0..all.len()).map(|n| &all[(start + n) % all.len()]);
        let mut ready = ring
            .clone()
            .filter(|r| r.in_rotation.load(Ordering::Acquire));
        let chosen = ready.next().unwrap_or(&all[start % all.len()]);
        chosen.clone()
    }
}
