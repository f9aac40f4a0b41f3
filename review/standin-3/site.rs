//! A small deployment: the store, servers, and routers as processes of their own.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Plan, Seen};
use crate::http::{self, Answer};
use crate::record::Record;
use crate::store::Store;

/// The program and the argument of the deploy file.
const PROGRAM: &str = "target/release/poplar-router";
const ARGUMENT: &str = "--platform";
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
/// The port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9464;
/// Memory of a router's machine, in MB.
pub const MEMORY_MB: u64 = 110;
/// Descriptors of a router's machine, unless a case lowers them.
const MAX_FDS: u32 = 4100;
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// Wait for the routers to be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A router.
pub struct Router {
    /// Its address.
    pub ip: IpAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Router {
    /// Where clients reach it.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("POPLARREEL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether its process has not ended by itself.
    pub fn lives(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Memory that its process has for itself in bytes, without the pages of its program.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    fn is_ready(&self) -> bool {
        let to = SocketAddr::new(self.ip, READY_PORT);
        let head = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let time = Duration::from_secs(1);
        let Ok(stream) = http::send(to, head, time) else {
            return false;
        };
        http::read_answer(stream, Instant::now() + time).status == 200
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The deployment.
pub struct Site {
    /// What is recorded.
    pub record: Arc<Record>,
    /// The platform's store.
    pub store: Arc<Store>,
    /// What the servers saw.
    pub seen: Arc<Mutex<Seen>>,
    /// Since when the servers are brittle.
    pub brittle_since: Arc<Mutex<Option<Instant>>>,
    /// The routers.
    pub routers: Vec<Router>,
    /// Descriptors of each router's machine.
    pub max_fds: u32,
    engines: Vec<Arc<Engine>>,
    block: String,
    folder: PathBuf,
    attempts: AtomicU64,
}

/// The first three numbers of loopback addresses that nothing uses.
fn free_block() -> Option<String> {
    let process = std::process::id();
    (0..50u32).find_map(|n| {
        let (b, c) = (2 + process % 240, 1 + (process / 240 + 7 * n) % 250);
        let block = format!("127.{b}.{c}");
        let is_free = |port| TcpListener::bind(format!("{block}.10:{port}")).is_ok();
        let ports = [FRONT_PORT, READY_PORT, METRICS_PORT];
        ports.into_iter().all(is_free).then_some(block)
    })
}

impl Site {
    /// Starts a store with this configuration in force.
    pub fn open(record: Record, configuration: &str) -> std::io::Result<Self> {
        let block = free_block().ok_or(std::io::ErrorKind::AddrInUse)?;
        let folder = std::env::temp_dir().join(format!("poplar-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::open(&format!("{block}.2"))?;
        store.put("op", "config", configuration);
        Ok(Self {
            record: Arc::new(record),
            store,
            seen: Arc::default(),
            brittle_since: Arc::default(),
            routers: Vec::new(),
            max_fds: MAX_FDS,
            engines: Vec::new(),
            block,
            folder,
            attempts: AtomicU64::new(0),
        })
    }

    /// Starts servers.
    pub fn add_servers(&mut self, count: usize, plan: &Plan) -> std::io::Result<()> {
        for _ in 0..count {
            let number = self.engines.len();
            let ip = format!("{}.{}", self.block, 100 + number);
            let engine = Engine::open(
                number,
                &ip,
                plan.clone(),
                &self.store,
                &self.record,
                &self.seen,
                &self.brittle_since,
            )?;
            self.engines.push(engine);
        }
        Ok(())
    }

    /// Starts routers, and waits until they are ready.
    pub fn start_routers(&mut self, count: usize) -> std::io::Result<()> {
        for n in 0..count {
            let ip = format!("{}.{}", self.block, 10 + n);
            let mut router = Router {
                settings: self.folder.join(format!("router-{n}.conf")),
                log: self.folder.join(format!("router-{n}.log")),
                ip: ip.parse().expect("an address"),
                child: None,
            };
            fs::write(&router.settings, self.settings(n, &ip))?;
            router.start()?;
            self.routers.push(router);
        }
        let until = Instant::now() + START_LIMIT;
        while !self.routers.iter().all(Router::is_ready) {
            if Instant::now() > until {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Time in which each learns of the others.
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    fn settings(&self, n: usize, ip: &str) -> String {
        format!(
            "node_name=front-{n}\nrole=router\nmachine_class=front\nserves=front\nip={ip}\n\
             zone=here\nregion=there\nzones.here=there\nlisten.front={ip}:{FRONT_PORT}\n\
             listen.ready={ip}:{READY_PORT}\nlisten.control={ip}:8229\n\
             internal_ports=7340,7355\nseeds={ip}:8229\nbootstrap=true\n\
             tolerance_member=false\nlimits.cpu_share=0.25\nlimits.cores=1\n\
             limits.memory_mb={MEMORY_MB}\nlimits.max_fds={}\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             bounds.seed_lag_s=3\nbounds.reuse_s=2\nbounds.contact_ms=3000\n\
             bounds.ack_ms=4000\nbounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.downgrade_ms=250\nbounds.stretch_ms=5000\nbounds.revoke_strict=false\n\
             bounds.revoke_ms=5000\nbounds.retry_ratio=0.2\nbounds.retry_window_s=10\n\
             bounds.retry_slack=56\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
             bounds.reuse_window_s=9.5\nbounds.settle_ms=1500\n\
             platform.address={}\nplatform.form=table\nplatform.writes_per_s=800\n\
             platform.reads_per_s=2000\nplatform.tx_ms=3.0\n\
             platform.part_writes_per_s=300\nplatform.row_bytes=65536\n\
             platform.across=true\nplatform.history_s=20\n",
            self.max_fds, self.store.address
        )
    }

    /// The id of the next attempt of a client.
    pub fn next_id(&self, mark: &str) -> String {
        let number = self.attempts.fetch_add(1, Ordering::SeqCst);
        format!("{mark}{number:06x}")
    }

    /// The head of a request of a client.
    pub fn head(&self, line: &str, id: &str, key: &str, deadline: Duration, more: &str) -> String {
        format!(
            "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Poplarreel-Attempt-Id: {id}\r\n\
             X-Poplarreel-Deadline-Ms: {}\r\nApi-Key: {key}\r\n{more}",
            deadline.as_millis()
        )
    }

    /// Sends a request and reads the answer.
    pub fn ask(&self, to: SocketAddr, id: &str, bytes: &[u8], deadline: Duration) -> Answer {
        let until = Instant::now() + deadline;
        self.record
            .line(format!("request {id} sent to {}", to.ip()));
        let sent: std::io::Result<TcpStream> = http::send(to, bytes, deadline);
        let answer = sent.map_or_else(|_| Answer::default(), |s| http::read_answer(s, until));
        let body = String::from_utf8_lossy(&answer.body);
        let reason = if answer.status == 200 {
            ""
        } else {
            body.trim()
        };
        self.record.line(format!(
            "request {id} answered {} {} {reason}",
            answer.status,
            if answer.is_whole { "whole" } else { "cut" }
        ));
        answer
    }

    /// Adds to the record which lines the routers logged that hold one of these words.
    pub fn record_logs(&self, words: &[&str], most: usize) {
        for router in &self.routers {
            let log = fs::read_to_string(&router.log).unwrap_or_default();
            let found = log.lines().filter(|l| words.iter().any(|w| l.contains(w)));
            for line in found.take(most) {
                self.record.line(format!("log of {}: {line}", router.ip));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.routers.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
