//! Bodies of responses that are collected before they are forwarded.
//!
//! A server in trouble may send a body without end. Each body has a limit, and so
//! have all together, since many requests may be at such a server.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use poplar_core::retry::Failure;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Most bytes of all bodies that are being collected: about a fifth of the memory
/// of the smallest host.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Size up to which a body is collected also if all together are too large, so
/// that ordinary answers don't fail because of a few that have no end.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory of the bodies that are being collected.
#[derive(Debug, Default)]
pub struct BodyMemory(AtomicUsize);

/// A body so far, whose memory counts until this is dropped.
#[derive(Debug)]
struct PartialBody<'a> {
    memory: &'a BodyMemory,
    bytes: BytesMut,
    /// Bytes that count in `memory`.
    counted: usize,
}

impl PartialBody<'_> {
    /// Appends data; false if there is no room for it.
    fn push(&mut self, data: &[u8]) -> bool {
        let total = self.memory.0.fetch_add(data.len(), Ordering::AcqRel) + data.len();
        self.counted += data.len();
        self.bytes.extend_from_slice(data);
        let length = self.bytes.len();
        length <= SMALL_BODY_BYTES || (length <= MAX_BODY_BYTES && total <= MAX_TOTAL_BYTES)
    }
}

impl Drop for PartialBody<'_> {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.counted, Ordering::AcqRel);
    }
}

impl BodyMemory {
    /// Collects a body.
    ///
    /// # Errors
    /// [`Failure::Lost`] if the connection fails, [`Failure::TooLarge`] if the body
    /// is larger than there is room for.
    pub async fn collect(&self, mut body: Incoming) -> Result<Bytes, Failure> {
        let mut partial = PartialBody {
            memory: self,
            bytes: BytesMut::new(),
            counted: 0,
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Failure::Lost)?;
            if let Ok(data) = frame.into_data()
                && !partial.push(&data)
            {
                return Err(Failure::TooLarge);
            }
        }
        Ok(partial.bytes.split().freeze())
    }
}
