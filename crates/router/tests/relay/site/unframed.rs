//! A stand-in for a backend server whose answers have neither a length nor chunks
//! and end with their connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Time after which the data written so far has been read.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It is closed after the headers, before the line that ends them.
    InHead,
    /// It is closed, like the listener, as by the system when the process is killed.
    Killed,
    /// It is closed, and another process listens at the address at once.
    Restarted,
}

/// The start time of a server's first process, in Unix milliseconds.
pub(crate) const BORN: u64 = 1_000;

/// Starts a server whose answers consist of this body.
pub(crate) async fn open(body: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let killed = CancellationToken::new();
    // Answers that have ended with their connection.
    let closed = Arc::new(AtomicU64::new(0));
    tokio::spawn(async move {
        while let Some(Ok((stream, _))) = killed.run_until_cancelled(listener.accept()).await {
            let (killed, closed) = (killed.clone(), closed.clone());
            tokio::spawn(async move {
                let Some(request) = read(&stream).await else {
                    return;
                };
                if end == End::Killed && !request.starts_with(b"GET") {
                    killed.cancel();
                }
                let _ = answer(stream, request, body, end, &closed).await;
            });
        }
    });
    address
}

/// Reads a request; `None` if the connection ends before.
async fn read(stream: &TcpStream) -> Option<Vec<u8>> {
    let mut request = Vec::new();
    let is_report = |read: &[u8]| read.starts_with(b"GET ") && read.ends_with(b"\r\n\r\n");
    while !request.ends_with(b"a body") && !is_report(&request) {
        stream.readable().await.ok()?;
        match stream.try_read_buf(&mut request) {
            Ok(0) => return None,
            Err(why) if why.kind() != ErrorKind::WouldBlock => return None,
            _ => {}
        }
    }
    Some(request)
}

async fn answer(
    mut stream: TcpStream,
    request: Vec<u8>,
    body: &'static str,
    end: End,
    closed: &AtomicU64,
) -> std::io::Result<()> {
    if request.starts_with(b"GET") {
        let restarts = if end == End::Restarted {
            closed.load(Ordering::Acquire)
        } else {
            0
        };
        let born = BORN + restarts;
        let report = format!("{{\"born\": {born}}}");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            report.len()
        );
        stream.write_all(head.as_bytes()).await?;
        return stream.write_all(report.as_bytes()).await;
    }
    let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let id = text.split("x-poplarreel-attempt-id: ").nth(1);
    let id = id.and_then(|rest| rest.lines().next()).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-poplarreel-attempt-id: {id}\r\n\
         x-poplarreel-response-seal: a-seal\r\n\r\n"
    );
    if end == End::InHead {
        let part = head.trim_end_matches("\r\n");
        return stream.write_all(part.as_bytes()).await;
    }
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.flush().await?;
    tokio::time::sleep(FLUSH_TIME).await;
    closed.fetch_add(1, Ordering::AcqRel);
    if end == End::Reset {
        stream.set_zero_linger()?;
    }
    Ok(())
}
