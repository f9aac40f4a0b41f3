//! How much of a request was written to its server, and whether the connection failed.
//!
//! An answer that nothing but its connection ends may begin before the whole request is
//! written. If the connection is reset then, the error may come with the write alone, and
//! what is read ends as if the answer were complete.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::sync::lock;

/// What ends the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The request on a connection. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Upload(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Bytes of the end of the head that were written in a row.
    matched: usize,
    /// Bytes of the body that were written, and all of them.
    written: usize,
    length: usize,
    has_failed: bool,
}

impl State {
    fn record_written(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.matched == HEAD_END.len() {
                self.written += bytes.len() - at;
                return;
            }
            self.matched = match *byte {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
    }
}

impl Upload {
    /// Sets the length of the body that is to be written.
    pub fn set_length(&self, length: usize) {
        lock(&self.0).length = length;
    }

    /// Whether the request was written as a whole, and the connection did not fail.
    pub fn is_whole(&self) -> bool {
        let state = lock(&self.0);
        let has_body = state.matched == HEAD_END.len() && state.written >= state.length;
        has_body && !state.has_failed
    }

    fn record_result<T>(&self, polled: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(_)) = polled {
            lock(&self.0).has_failed = true;
        }
    }
}

/// A connection that records what is written to it.
#[derive(Debug)]
pub struct Recorded<S> {
    /// The connection itself.
    pub stream: S,
    /// What is recorded.
    pub upload: Upload,
}

impl<S: AsyncRead + Unpin> AsyncRead for Recorded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.upload.record_result(&polled);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Recorded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = polled {
            lock(&self.upload.0).record_written(&bytes[..length]);
        }
        self.upload.record_result(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        if let Poll::Ready(Ok(length)) = polled {
            let mut left = length;
            for part in parts {
                let written = left.min(part.len());
                lock(&self.upload.0).record_written(&part[..written]);
                left -= written;
            }
        }
        self.upload.record_result(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
