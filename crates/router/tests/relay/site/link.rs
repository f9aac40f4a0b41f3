//! A network link of limited bandwidth, which all answers of a stand-in share.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::Body;

/// Bytes that are sent at once.
const CHUNK_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct State {
    bytes_per_s: Option<u64>,
    /// When the bytes sent so far have passed the link.
    free_at: Option<Instant>,
    sent: u64,
    /// The next answer stops after this many bytes.
    stall_after: Option<usize>,
}

/// The link.
#[derive(Debug, Default)]
pub(crate) struct Link(Mutex<State>);

impl Link {
    /// Limits the bandwidth.
    pub(crate) fn set_bandwidth(&self, bytes_per_s: u64) {
        self.0.lock().expect("no panic").bytes_per_s = Some(bytes_per_s);
    }

    /// Takes the limit away.
    pub(crate) fn clear_bandwidth(&self) {
        let mut state = self.0.lock().expect("no panic");
        state.bytes_per_s = None;
        state.free_at = None;
    }

    /// Makes the next answer that is longer than `bytes` go silent after them.
    pub(crate) fn stall_after(&self, bytes: usize) {
        self.0.lock().expect("no panic").stall_after = Some(bytes);
    }

    /// Bytes sent so far.
    pub(crate) fn sent(&self) -> u64 {
        self.0.lock().expect("no panic").sent
    }

    /// A body that passes the link in chunks.
    pub(crate) fn body(self: Arc<Self>, bytes: Bytes) -> Body {
        let stall_after = {
            let mut state = self.0.lock().expect("no panic");
            state.stall_after.take_if(|after| *after < bytes.len())
        };
        let chunks = stream::unfold((bytes, 0), move |(mut left, sent)| {
            let link = self.clone();
            async move {
                if left.is_empty() {
                    return None;
                }
                if stall_after.is_some_and(|after| sent >= after) {
                    std::future::pending::<()>().await;
                }
                let chunk = left.split_to(CHUNK_BYTES.min(left.len()));
                link.pass(chunk.len()).await;
                let sent = sent + chunk.len();
                Some((Ok(Frame::data(chunk)), (left, sent)))
            }
        });
        StreamBody::new(chunks).boxed_unsync()
    }

    /// Waits until `bytes` more have passed.
    async fn pass(&self, bytes: usize) {
        let until = {
            let mut state = self.0.lock().expect("no panic");
            state.sent += bytes as u64;
            let now = Instant::now();
            let Some(bytes_per_s) = state.bytes_per_s else {
                return;
            };
            let takes = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
            let until = state.free_at.map_or(now, |at| at.max(now)) + takes;
            state.free_at = Some(until);
            until
        };
        tokio::time::sleep_until(until.into()).await;
    }
}
