//! Routers as processes of their own, started as the deploy file says.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const KILL: u64 = 9;
/// Has the system send a signal to a process when the thread that started it ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// The program and its argument, from the deploy file.
fn command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "))?;
    Some(
        line.trim_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect(),
    )
}

const CALLERS_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;

/// Loopback addresses that nothing listens on, for this many routers.
pub fn addresses(count: u8) -> Option<Vec<IpAddr>> {
    let process = std::process::id();
    for round in 0..50 {
        let (second, third) = (1 + (process / 200 + round) % 200, 1 + process % 200);
        let net = |n| IpAddr::V4(Ipv4Addr::new(127, second as u8, third as u8, n));
        let all: Vec<IpAddr> = (1..=count).map(net).collect();
        let ports = [CALLERS_PORT, READY_PORT, 7340, 7355, 9464];
        let is_free = |ip: &IpAddr| ports.iter().all(|p| TcpListener::bind((*ip, *p)).is_ok());
        if all.iter().all(is_free) {
            return Some(all);
        }
    }
    None
}

/// A router, of which one process runs at a time.
pub struct Router {
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    command: Vec<String>,
    child: Option<Child>,
}

impl Router {
    /// Writes the settings of a router with this store, and does not start it yet.
    pub fn new(
        ip: IpAddr,
        number: usize,
        store: SocketAddr,
        memory_mb: u64,
        folder: &Path,
    ) -> Option<Self> {
        let router = Self {
            ip,
            settings: folder.join(format!("router-{number}.conf")),
            log: folder.join(format!("router-{number}.log")),
            command: command()?,
            child: None,
        };
        let text = format!(
            "node_name=front-depot-north-{number}\nrole=router\nmachine_class=front\n\
             serves=front\nip={ip}\nzone=depot-north\nregion=waiharakeke\n\
             zones.depot-north=waiharakeke\nlisten.front={ip}:{CALLERS_PORT}\n\
             listen.ready={ip}:{READY_PORT}\ninternal_ports=7340,7355\nbootstrap=false\n\
             tolerance_member=false\nlimits.cpu_share=0.25\nlimits.cores=1\n\
             limits.memory_mb={memory_mb}\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             fault_tolerance.machines=1\nbounds.seed_lag_s=3\nbounds.reuse_s=2\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_ms=250\nbounds.stretch_ms=5000\n\
             bounds.revoke_strict=false\nbounds.revoke_ms=5000\nbounds.retry_ratio=0.2\n\
             bounds.retry_window_s=10\nbounds.retry_slack=56\nbounds.recovery_s=12\n\
             bounds.pass_ms=120\nbounds.reuse_window_s=9.5\nbounds.settle_ms=1500\n\
             platform.address={store}\nplatform.form=table\nplatform.writes_per_s=800\n\
             platform.reads_per_s=2000\nplatform.tx_ms=3.0\nplatform.part_writes_per_s=300\n\
             platform.row_bytes=65536\nplatform.across=true\nplatform.history_s=20\n"
        );
        fs::write(&router.settings, text).ok()?;
        Some(router)
    }

    /// Where it takes requests.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Where it says whether it is ready.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]);
        command.env_clear().env("POPLARREEL_BOOT", &self.settings);
        command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(log);
        // SAFETY: the call between fork and exec takes no memory and no lock. It ends the
        // router if this process is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, KILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// The id of its process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
