//! A stand-in for a backend server whose answers have neither a length nor chunks
//! and end with their connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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
}

/// Starts a server whose answers consist of this body.
pub(crate) async fn open(body: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, body, end));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, body: &'static str, end: End) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"a body") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
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
    if end == End::Reset {
        stream.set_zero_linger()?;
    }
    Ok(())
}
