//! Routers as processes of their own, started as the deploy file says, and paths between
//! them and servers that can be cut.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const TERM: i32 = 15;
const KILL: u64 = 9;
/// Has the system send a signal to a process when the thread that started it ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const u8, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn close(socket: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// The program and its argument, from the deploy file.
fn command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "))?;
    Some(line.trim_matches('"').split(' ').map(str::to_owned).collect())
}

/// Time in which a router stops before it is killed.
pub const GRACE: Duration = Duration::from_secs(8);
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
    pub fn new(ip: IpAddr, number: usize, store: SocketAddr, folder: &Path) -> Option<Self> {
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
             limits.memory_mb=110\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
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
        command.stdin(Stdio::null()).stderr(Stdio::null()).stdout(log);
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

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a call without pointers; the process is a child that was not
            // waited for, so that its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of a planned stop; kills the process at the end of the grace
    /// period. Returns whether it ended by itself.
    pub fn wait_end(&mut self) -> bool {
        let until = Instant::now() + GRACE;
        let Some(mut child) = self.child.take() else {
            return true;
        };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// What its processes have logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn socket_address(address: SocketAddr) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    if let IpAddr::V4(ip) = address.ip() {
        bytes[4..8].copy_from_slice(&ip.octets());
    }
    bytes
}

/// Connects from an address of this machine's loopback network.
fn connect_from(from: IpAddr, to: SocketAddr) -> Option<TcpStream> {
    let (local, remote) = (socket_address(SocketAddr::new(from, 0)), socket_address(to));
    // SAFETY: the addresses are valid for the calls and have the length of an IPv4
    // socket address; the descriptor is owned by the stream, or closed here.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        if bind(fd, local.as_ptr(), 16) != 0 || connect(fd, remote.as_ptr(), 16) != 0 {
            close(fd);
            return None;
        }
        Some(TcpStream::from_raw_fd(fd))
    }
}

/// The path of one machine to one server: a proxy that forwards bytes from the machine's
/// address, and refuses connections while it is cut.
pub struct ServerPath {
    pub near: SocketAddr,
    is_cut: Arc<AtomicBool>,
    listener: Mutex<Option<Arc<AtomicBool>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    from: IpAddr,
    far: SocketAddr,
}

impl ServerPath {
    /// A path from `from` to the server at `far`.
    pub fn open(from: IpAddr, far: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let path = Self {
            near: listener.local_addr()?,
            is_cut: Arc::default(),
            listener: Mutex::new(None),
            open: Arc::default(),
            from,
            far,
        };
        path.accept(listener)?;
        Ok(path)
    }

    fn accept(&self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let ended = Arc::new(AtomicBool::new(false));
        *self.listener.lock().expect("no panic") = Some(ended.clone());
        let (open, from, far) = (self.open.clone(), self.from, self.far);
        thread::spawn(move || {
            while !ended.load(Ordering::Acquire) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let Some(server) = connect_from(from, far) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), server.set_nodelay(true));
                let mut known = open.lock().expect("no panic");
                let pairs = [(&near, &server), (&server, &near)];
                for (from, to) in pairs {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        thread::spawn(move || forward(from, to));
                    }
                }
                known.push(near);
                known.push(server);
            }
        });
        Ok(())
    }

    /// Refuses connections from now on, and ends those that are open.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Release);
        if let Some(ended) = self.listener.lock().expect("no panic").take() {
            ended.store(true, Ordering::Release);
        }
        for stream in self.open.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Forwards again.
    pub fn heal(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.near)?;
        self.accept(listener)
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    while let Ok(length) = from.read(&mut bytes) {
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
