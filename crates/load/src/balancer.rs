//! A model of the platform's load balancer.
//!
//! Requests go round-robin to the routers whose `/readyz` reports ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use poplar_base::http::Client;
use tokio::task::JoinHandle;

/// Pause between two readiness checks of a router, and the time-out of one check.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The addresses of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address for callers.
    pub address: SocketAddr,
    /// Admin address; a router without one counts as ready.
    pub admin: Option<SocketAddr>,
}

/// Parses `IP:PORT`, or `IP:PORT,IP:PORT` with the admin address second.
///
/// # Errors
/// A message that names the part which is not an address.
pub fn parse_target(text: &str) -> Result<Target, String> {
    let (address, admin) = match text.split_once(',') {
        Some((address, admin)) => (address, Some(admin)),
        None => (text, None),
    };
    let parse = |text: &str| -> Result<SocketAddr, String> {
        text.parse()
            .map_err(|_| format!("{text:?} is not an IP:PORT address"))
    };
    Ok(Target {
        address: parse(address)?,
        admin: admin.map(parse).transpose()?,
    })
}

#[derive(Debug)]
struct Router {
    target: Target,
    ready: AtomicBool,
}

/// A running balancer. Dropping it ends the readiness checks.
#[derive(Debug)]
pub struct Balancer {
    routers: Arc<Vec<Router>>,
    next_pick: AtomicUsize,
    poll_tasks: Vec<JoinHandle<()>>,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        for task in &self.poll_tasks {
            task.abort();
        }
    }
}

impl Balancer {
    /// Starts the readiness checks of `targets`, which must not be empty.
    pub fn spawn(targets: &[Target], client: &Client) -> Self {
        let router = |target: &Target| Router {
            target: *target,
            ready: AtomicBool::new(true),
        };
        let routers: Arc<Vec<Router>> = Arc::new(targets.iter().map(router).collect());
        let poll_tasks = (0..routers.len())
            .map(|index| tokio::spawn(poll_readiness(routers.clone(), index, client.clone())))
            .collect();
        Self {
            routers,
            next_pick: AtomicUsize::new(0),
            poll_tasks,
        }
    }

    /// Sets whether the target at `index` is ready.
    pub fn set_ready(&self, index: usize, ready: bool) {
        self.routers[index].ready.store(ready, Ordering::Relaxed);
    }

    /// Picks the next ready target, preferring one other than `avoid`.
    ///
    /// If no target is ready, the next one in turn is picked all the same.
    pub fn pick(&self, avoid: Option<usize>) -> (usize, SocketAddr) {
        let start = self.next_pick.fetch_add(1, Ordering::Relaxed);
        let count = self.routers.len();
        let order = (0..count).map(|step| (start + step) % count);
        let ready: Vec<usize> = order
            .filter(|index| self.routers[*index].ready.load(Ordering::Relaxed))
            .collect();
        let not_avoided = ready.iter().find(|index| Some(**index) != avoid);
        let index = not_avoided
            .or(ready.first())
            .copied()
            .unwrap_or(start % count);
        (index, self.routers[index].target.address)
    }
}

async fn poll_readiness(routers: Arc<Vec<Router>>, index: usize, client: Client) {
    let Some(admin) = routers[index].target.admin else {
        return;
    };
    let url = format!("http://{admin}/readyz");
    loop {
        let answer = client.get(&url, POLL_INTERVAL).await;
        let ready = answer.is_ok_and(|a| a.status.is_success());
        routers[index].ready.store(ready, Ordering::Relaxed);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
