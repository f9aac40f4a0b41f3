//! Memory of what servers sent and the router keeps until it can forward it: bodies
//! that are collected, and events of streams that are not complete.
//!
//! A server in trouble may send these without end, or begin them and send no more. Each
//! has a limit, and so have all together, since many requests may be at such a server.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use poplar_core::retry::Failure;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Most bytes of all that is kept: about a fifth of the memory of the smallest host.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Size up to which a body or an event is kept also if all together are too large, so
/// that ordinary answers don't fail because of a few that have no end. A thousand of
/// this size are within the memory of the smallest host.
const SMALL_BYTES: usize = 16 << 10;

/// Memory of all that is kept.
#[derive(Debug, Default)]
pub struct ResponseMemory(AtomicUsize);

/// What one answer keeps, which counts until this is dropped.
#[derive(Debug)]
pub struct Share {
    memory: Arc<ResponseMemory>,
    counted: usize,
}

impl Share {
    /// Records that the answer keeps this many bytes now; false if there is no room
    /// for them.
    #[must_use]
    pub fn set(&mut self, bytes: usize) -> bool {
        let total = &self.memory.0;
        if bytes >= self.counted {
            total.fetch_add(bytes - self.counted, Ordering::AcqRel);
        } else {
            total.fetch_sub(self.counted - bytes, Ordering::AcqRel);
        }
        self.counted = bytes;
        bytes <= SMALL_BYTES || total.load(Ordering::Acquire) <= MAX_TOTAL_BYTES
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.counted, Ordering::AcqRel);
    }
}

impl ResponseMemory {
    /// The share of an answer, which keeps nothing yet.
    pub fn share(self: &Arc<Self>) -> Share {
        Share {
            memory: self.clone(),
            counted: 0,
        }
    }

    /// Collects a body.
    ///
    /// # Errors
    /// [`Failure::Lost`] if the connection fails, [`Failure::TooLarge`] if the body
    /// is larger than there is room for.
    pub async fn collect(self: &Arc<Self>, mut body: Incoming) -> Result<Bytes, Failure> {
        let mut share = self.share();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Failure::Lost)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
                if bytes.len() > MAX_BODY_BYTES || !share.set(bytes.capacity()) {
                    return Err(Failure::TooLarge);
                }
            }
        }
        Ok(bytes.freeze())
    }
}
