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
/// Most bytes of all that is kept, unless the host has less memory: about a fifth of the
/// memory of the smallest host.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Size up to which a body or an event is kept also if all together are too large, so
/// that ordinary answers don't fail because of a few that have no end. A thousand of
/// this size are within the memory of the smallest host.
const SMALL_BYTES: usize = 16 << 10;

/// Memory of all that is kept.
#[derive(Debug)]
pub struct ResponseMemory {
    kept: AtomicUsize,
    limit: usize,
}

/// What one answer keeps, which counts until this is dropped.
#[derive(Debug)]
pub struct Share {
    memory: Arc<ResponseMemory>,
    counted: usize,
}

/// A complete body, which counts until the client has taken it.
struct Kept {
    bytes: BytesMut,
    _share: Share,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Share {
    /// Records that the answer keeps this many bytes now; false if there is no room
    /// for them.
    #[must_use]
    pub fn set(&mut self, bytes: usize) -> bool {
        let total = &self.memory.kept;
        if bytes >= self.counted {
            total.fetch_add(bytes - self.counted, Ordering::AcqRel);
        } else {
            total.fetch_sub(self.counted - bytes, Ordering::AcqRel);
        }
        self.counted = bytes;
        bytes <= SMALL_BYTES || total.load(Ordering::Acquire) <= self.memory.limit
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.kept.fetch_sub(self.counted, Ordering::AcqRel);
    }
}

impl ResponseMemory {
    /// Memory of so many bytes; `None` if the host names no limit.
    pub fn open(limit: Option<usize>) -> Arc<Self> {
        Arc::new(Self {
            kept: AtomicUsize::new(0),
            limit: limit.map_or(MAX_TOTAL_BYTES, |limit| limit.min(MAX_TOTAL_BYTES)),
        })
    }

    /// Whether more than three quarters are in use.
    pub fn is_nearly_full(&self) -> bool {
        self.kept.load(Ordering::Acquire) > self.limit / 4 * 3
    }

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
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(Kept {
            bytes,
            _share: share,
        }))
    }
}
