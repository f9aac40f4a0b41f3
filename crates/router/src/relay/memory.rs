//! Memory of the bodies of requests, from the first byte until the request is answered.
//!
//! A body reserves memory before its bytes are kept: all of its length if the head says
//! it, otherwise more and more as it grows. If there is no room, bodies that make no
//! progress are ended, and the new one waits shortly, unread. All of them are refused as
//! not run. [`bodies`] decides which ones.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{StatusCode, request};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use poplar_base::log;
use poplar_core::client_limits::LogPace;
use poplar_core::client_limits::bodies::{self, Reader};
use poplar_core::deployment::Limits;
use poplar_core::sorted::SortedVec;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::relay::connections::ClientAddress;
use crate::relay::refusal::Refusal;
use crate::sync::lock;

/// Longest wait of a body, unread, for memory that others release.
const WAIT: Duration = Duration::from_millis(300);
/// Memory that a body of unknown length reserves at first, in bytes.
const FIRST_BYTES: usize = 4 << 10;
/// When the client should retry a request for which there is no memory, preferably at
/// another router.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Why such a request is refused.
const NO_MEMORY: &str = "no memory for body";

/// Memory of all bodies of requests.
#[derive(Debug)]
pub struct BodyMemory {
    /// `None` if the host names no limit.
    limit: Option<usize>,
    bodies: Mutex<Bodies>,
    released: Notify,
}

#[derive(Debug, Default)]
struct Bodies {
    /// Bytes that are reserved by bodies that are read, and by complete ones.
    used: usize,
    next: u64,
    reading: SortedVec<u64, Reading>,
    ended: LogPace,
}

#[derive(Debug)]
struct Reading {
    reader: Reader,
    end: Arc<Notify>,
}

/// The memory of one body, which is released when this is dropped.
#[derive(Debug)]
struct Share {
    memory: Arc<BodyMemory>,
    number: u64,
    reserved: usize,
    end: Arc<Notify>,
}

/// A complete body with its memory.
struct Kept {
    bytes: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Memory of so many bytes, or without a limit.
    pub fn open(limit: Option<usize>) -> Arc<Self> {
        Arc::new(Self {
            limit,
            bodies: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        lock(&self.bodies).used
    }

    /// Ends the body that holds the most for the least progress; false if there is none.
    pub fn end_slowest(&self, now: Instant) -> bool {
        let mut bodies = lock(&self.bodies);
        let reading = bodies.reading.iter();
        let (numbers, readers): (Vec<u64>, Vec<Reader>) = reading
            .map(|(number, reading)| (*number, reading.reader))
            .unzip();
        let Some(at) = bodies::victim(&readers, now) else {
            return false;
        };
        let ended = bodies.reading.remove(&numbers[at]);
        let due = bodies.ended.record(now);
        let used = bodies.used;
        drop(bodies);
        if let Some(ended) = ended {
            ended.end.notify_one();
            metrics::counter!("poplar_client_bodies_ended_total").increment(1);
            if let Some(count) = due {
                log::info("body without progress ended")
                    .with("reserved", ended.reader.reserved)
                    .with("used", used)
                    .with("limit", self.limit.unwrap_or(usize::MAX))
                    .with("count", count)
                    .write();
            }
        }
        true
    }

    fn share(self: &Arc<Self>, address: IpAddr, now: Instant) -> Share {
        let end = Arc::new(Notify::new());
        let reading = Reading {
            reader: Reader::new(address, now),
            end: end.clone(),
        };
        let mut bodies = lock(&self.bodies);
        bodies.next += 1;
        let number = bodies.next;
        bodies.reading.insert(number, reading);
        Share {
            memory: self.clone(),
            number,
            reserved: 0,
            end,
        }
    }

    /// Reads the body of a request within the limits of size and time.
    ///
    /// # Errors
    /// [`Refusal`] if the body is too large, too slow, breaks off, or has no memory.
    pub async fn read(
        self: &Arc<Self>,
        body: Incoming,
        head: &request::Parts,
        limits: &Limits,
    ) -> Result<Bytes, Refusal> {
        if body.size_hint().lower() > limits.max_body as u64 {
            return Err(too_large());
        }
        let address = head.extensions.get::<ClientAddress>();
        let address = address.map_or(Ipv4Addr::UNSPECIFIED.into(), |address| address.0);
        let mut share = self.share(address, Instant::now());
        let end = share.end.clone();
        let read = timeout(limits.receive_timeout, share.collect(body, limits.max_body));
        let bytes = tokio::select! {
            read = read => read.unwrap_or(Err(Refusal::new(
                StatusCode::REQUEST_TIMEOUT,
                "body too slow",
            )))?,
            () = end.notified() => return Err(no_memory()),
        };
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        share.finish();
        Ok(Bytes::from_owner(Kept {
            bytes,
            _share: share,
        }))
    }
}

impl Share {
    /// Collects a body in one buffer, so that small pieces don't each keep the buffer in
    /// which they arrived.
    async fn collect(&mut self, mut body: Incoming, max: usize) -> Result<Vec<u8>, Refusal> {
        let mut bytes = Vec::new();
        if let Some(length) = body.size_hint().exact() {
            let length = usize::try_from(length).unwrap_or(max).min(max);
            self.reserve(length).await?;
            bytes.reserve_exact(length);
        }
        while let Some(frame) = body.frame().await {
            let broken = |_| Refusal::new(StatusCode::BAD_REQUEST, "body broke off");
            let Ok(data) = frame.map_err(broken)?.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > max {
                return Err(too_large());
            }
            if length > bytes.capacity() {
                let size = (bytes.capacity() * 2).max(length).max(FIRST_BYTES);
                self.reserve(size).await?;
                bytes.reserve_exact(size - bytes.len());
            }
            bytes.extend_from_slice(&data);
            self.record(data.len(), Instant::now());
        }
        Ok(bytes)
    }

    /// Reserves memory for a body of this size, and waits for it for a short time.
    async fn reserve(&mut self, size: usize) -> Result<(), Refusal> {
        let memory = self.memory.clone();
        if memory
            .limit
            .is_some_and(|limit| !bodies::can_fit(limit, size))
        {
            return Err(no_memory());
        }
        let until = tokio::time::Instant::now() + WAIT;
        loop {
            let released = memory.released.notified();
            if self.take(size) {
                return Ok(());
            }
            memory.end_slowest(Instant::now());
            if tokio::time::timeout_at(until, released).await.is_err() {
                metrics::counter!("poplar_client_bodies_refused_total").increment(1);
                return Err(no_memory());
            }
        }
    }

    fn take(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.reserved);
        let mut bodies = lock(&self.memory.bodies);
        let limit = self.memory.limit.unwrap_or(usize::MAX);
        if !bodies::has_room(bodies.used, limit, more, size) {
            return false;
        }
        bodies.used += more;
        self.reserved += more;
        if let Some(reading) = bodies.reading.get_mut(&self.number) {
            reading.reader.reserved = self.reserved;
        }
        true
    }

    fn record(&self, length: usize, now: Instant) {
        let mut bodies = lock(&self.memory.bodies);
        if let Some(reading) = bodies.reading.get_mut(&self.number) {
            reading.reader.record(length, now);
        }
    }

    /// Records that the body is complete; it is no longer ended for another one.
    fn finish(&self) {
        lock(&self.memory.bodies).reading.remove(&self.number);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut bodies = lock(&self.memory.bodies);
        bodies.used -= self.reserved;
        bodies.reading.remove(&self.number);
        drop(bodies);
        self.memory.released.notify_waiters();
    }
}

fn too_large() -> Refusal {
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
}

fn no_memory() -> Refusal {
    Refusal::not_run(NO_MEMORY, RETRY_AFTER)
}
