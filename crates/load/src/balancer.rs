//! The platform's balancer: spreads over the routers that say they are ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use poplar_base::http::Client;
use tokio::task::JoinHandle;

/// Pause between two looks at a router's readiness.
const POLL: Duration = Duration::from_millis(250);

/// A router to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its admin pages; without them it counts as ready.
    pub admin: Option<SocketAddr>,
}

/// A target as it is written: `IP:PORT`, or `IP:PORT,IP:PORT` with its admin.
///
/// # Errors
/// What is wrong with it.
pub fn parse(text: &str) -> Result<Target, String> {
    let (address, admin) = match text.split_once(',') {
        Some((address, admin)) => (address, Some(admin)),
        None => (text, None),
    };
    let read = |text: &str| -> Result<SocketAddr, String> {
        text.parse().map_err(|_| format!("{text:?} is no IP:PORT"))
    };
    Ok(Target {
        address: read(address)?,
        admin: admin.map(read).transpose()?,
    })
}

#[derive(Debug)]
struct Slot {
    target: Target,
    ready: AtomicBool,
}

/// A running balancer; its polling ends with it.
#[derive(Debug)]
pub struct Balancer {
    slots: Arc<Vec<Slot>>,
    next: AtomicUsize,
    polls: Vec<JoinHandle<()>>,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        for poll in &self.polls {
            poll.abort();
        }
    }
}

impl Balancer {
    /// Starts to poll `targets`, of which there must be one or more.
    pub fn spawn(targets: &[Target], client: &Client) -> Self {
        let slot = |target: &Target| Slot {
            target: *target,
            ready: AtomicBool::new(true),
        };
        let slots: Arc<Vec<Slot>> = Arc::new(targets.iter().map(slot).collect());
        let polls = (0..slots.len())
            .map(|at| tokio::spawn(poll(slots.clone(), at, client.clone())))
            .collect();
        Self {
            slots,
            next: AtomicUsize::new(0),
            polls,
        }
    }

    /// Says whether the target at `at` is ready.
    pub fn mark(&self, at: usize, ready: bool) {
        self.slots[at].ready.store(ready, Ordering::Relaxed);
    }

    /// The next ready target, another one than `avoid` where there is one.
    ///
    /// Where none is ready the request goes to the next one all the same.
    pub fn pick(&self, avoid: Option<usize>) -> (usize, SocketAddr) {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.slots.len();
        let order = (0..count).map(|step| (start + step) % count);
        let ready: Vec<usize> = order
            .filter(|at| self.slots[*at].ready.load(Ordering::Relaxed))
            .collect();
        let other = ready.iter().find(|at| Some(**at) != avoid);
        let at = other.or(ready.first()).copied().unwrap_or(start % count);
        (at, self.slots[at].target.address)
    }
}

async fn poll(slots: Arc<Vec<Slot>>, at: usize, client: Client) {
    let Some(admin) = slots[at].target.admin else {
        return;
    };
    let url = format!("http://{admin}/readyz");
    loop {
        let answer = client.get(&url, POLL).await;
        let ready = answer.is_ok_and(|a| a.status.is_success());
        slots[at].ready.store(ready, Ordering::Relaxed);
        tokio::time::sleep(POLL).await;
    }
}
