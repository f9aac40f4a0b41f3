//! Admission by the capacity of this host, see [`poplar_core::capacity`].

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use poplar_base::log;
use poplar_core::capacity::{Capacity, Transfer, Verdict};
use poplar_core::client_limits::LogPace;
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use tokio::time::timeout;

use crate::relay::refusal::Refusal;
use crate::sync::lock;

/// Why a request is refused.
const HOST_FULL: &str = "host full";
/// Least and longest time after which the client should retry. The retry reaches another
/// host, which most likely has room; the difference spreads the retries.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// Bytes of the head of a request and of its answer, with the headers of packets.
const HEAD_BYTES: f64 = 1_000.0;
/// Expected bytes of an answer on a route that has had none.
const DEFAULT_ANSWER_BYTES: f64 = 2_000.0;
/// Weight of a new answer in the mean of its route.
const MEAN_WEIGHT: f64 = 0.05;
/// Bytes of headers of the packet in which an event is sent.
pub const PACKET_BYTES: usize = 60;
/// Most routes whose answers are known. One more removes all.
const MAX_ROUTES: usize = 4_096;
/// Time between two checks whether timers fire in time.
const TIMER_PERIOD: Duration = Duration::from_millis(50);
/// Most bytes, and longest time, for which the body of a refused request is read on. A
/// connection that is closed with unread bytes is reset, and the refusal may be lost.
const MAX_DRAINED: usize = 64 << 10;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct State {
    capacity: Capacity,
    /// Mean bytes of an answer, by route.
    answers: SortedVec<Name, f64>,
    /// Limits the lines about a full host.
    log: LogPace,
}

/// What this host carries.
#[derive(Debug)]
pub struct HostCapacity(Mutex<State>);

impl HostCapacity {
    /// The capacity of a host whose link carries `link` bytes a second.
    pub fn new(link: Option<f64>) -> Arc<Self> {
        Arc::new(Self(Mutex::new(State {
            capacity: Capacity::new(link, Instant::now()),
            answers: SortedVec::new(),
            log: LogPace::default(),
        })))
    }

    /// Decides whether a request is admitted, and counts it.
    ///
    /// # Errors
    /// [`Refusal`] if the host is full.
    pub fn admit(
        &self,
        route: &Name,
        workspace: Option<&Name>,
        body: &Incoming,
        now: Instant,
    ) -> Result<(), Refusal> {
        let mut state = lock(&self.0);
        let hint = body.size_hint();
        let body_bytes = hint.upper().unwrap_or_else(|| hint.lower());
        let answer = state.answers.get(&**route).copied();
        let transfer = Transfer {
            request: HEAD_BYTES + body_bytes as f64,
            answer: answer.unwrap_or(DEFAULT_ANSWER_BYTES),
        };
        let verdict = state.capacity.admit(workspace, transfer, now);
        let Verdict::Refused { wait, dominant } = verdict else {
            return Ok(());
        };
        if let Some(refused) = state.log.record(now) {
            log::warn("host full")
                .with("wait_ms", wait.as_millis())
                .with("factor", state.capacity.congestion.factor())
                .with("dominant", dominant)
                .with("refused", refused)
                .write();
        }
        let (least, most) = RETRY_AFTER;
        let after = least + (most - least).mul_f64(rand::random());
        Err(Refusal::not_run(HOST_FULL, after))
    }

    /// Records the bytes of an answer.
    pub fn record_answer(&self, route: &Name, bytes: usize) {
        let mut state = lock(&self.0);
        if state.answers.len() >= MAX_ROUTES && !state.answers.contains(&**route) {
            state.answers = SortedVec::new();
        }
        let bytes = bytes as f64;
        let mean = state.answers.get_or_insert_with(route.clone(), || bytes);
        *mean += MEAN_WEIGHT * (bytes - *mean);
    }

    /// Records how long a connection took that a server accepted.
    pub fn record_connection(&self, delay: Duration, now: Instant) {
        let mut state = lock(&self.0);
        state.capacity.congestion.record_connection(delay, now);
    }

    /// Whether new connections should go to other hosts, and open ones not be kept.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        lock(&self.0).capacity.is_overloaded(now)
    }

    /// Records that a connection to a server timed out.
    pub fn record_timeout(&self, now: Instant) {
        lock(&self.0).capacity.congestion.record_timeout(now);
    }

    /// Whether this host itself is late.
    pub fn is_late(&self, now: Instant) -> bool {
        lock(&self.0).capacity.is_late(now)
    }

    /// The estimated wait on the link, and the part of it that requests may use.
    pub fn figures(&self) -> (Duration, f64) {
        let state = lock(&self.0);
        (state.capacity.wait(), state.capacity.congestion.factor())
    }
}

/// Checks whether timers fire in time until the process ends.
pub async fn watch_timers(capacity: Arc<HostCapacity>) {
    loop {
        let due = Instant::now() + TIMER_PERIOD;
        tokio::time::sleep_until(due.into()).await;
        let now = Instant::now();
        let lateness = now.saturating_duration_since(due);
        let mut state = lock(&capacity.0);
        state.capacity.congestion.record_timer(lateness, now);
    }
}

/// Reads the body of a refused request on for a while, so that the refusal reaches its
/// client.
pub fn drain(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let mut drained = 0;
        let read = async {
            while let Some(Ok(frame)) = body.frame().await {
                drained += frame.data_ref().map_or(0, bytes::Bytes::len);
                if drained > MAX_DRAINED {
                    break;
                }
            }
        };
        let _ = timeout(DRAIN_TIMEOUT, read).await;
    });
}
