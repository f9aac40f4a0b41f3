//! A stand-in for a backend server in trouble: it reads a request and then sends
//! bytes without end, until the connection is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are written at once, unless they come slowly.
const CHUNK_BYTES: usize = 64 << 10;
/// Pause between two pieces that come slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// What comes without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endless {
    /// Bytes that are no head of an answer.
    Garbage,
    /// The value of one field of the head.
    HeadField,
    /// Fields of the head.
    HeadFields,
    /// Answers that announce the final one.
    Informational,
    /// Fields of the head, one at a time.
    SlowHead,
    /// A body that ends with the connection.
    Body,
    /// A body in chunks.
    ChunkedBody,
    /// A body in chunks, a few bytes at a time.
    SlowBody,
    /// The extension of a chunk of a body.
    ChunkExtension,
    /// Trailers after a body in chunks.
    Trailers,
    /// An event of a stream.
    Event,
    /// A part of an event of a stream, and then nothing.
    HalfEvent,
    /// An event of a stream, a few bytes at a time.
    SlowEvent,
    /// Events of a stream, all in order.
    Events,
}

impl Endless {
    /// The head, if it is complete.
    fn head(self, id: &str) -> String {
        let fields = format!(
            "HTTP/1.1 200 OK\r\nx-poplarreel-attempt-id: {id}\r\n\
             x-poplarreel-response-seal: a-seal\r\n"
        );
        match self {
            Self::Garbage | Self::Informational => String::new(),
            Self::HeadField => format!("{fields}x-long: "),
            Self::HeadFields | Self::SlowHead => fields,
            Self::Body => format!("{fields}\r\n"),
            _ => format!("{fields}transfer-encoding: chunked\r\n\r\n"),
        }
    }

    /// The piece with this number of what follows.
    fn piece(self, number: u64) -> Vec<u8> {
        let chunk = |data: &[u8]| {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend_from_slice(data);
            chunk.extend_from_slice(b"\r\n");
            chunk
        };
        match self {
            Self::Garbage | Self::HeadField | Self::Body => vec![b'a'; CHUNK_BYTES],
            Self::HeadFields | Self::SlowHead => format!("x-{number}: a\r\n").into_bytes(),
            Self::Informational => b"HTTP/1.1 102 Processing\r\n\r\n".to_vec(),
            Self::ChunkExtension if number == 1 => b"2;long=".to_vec(),
            Self::ChunkExtension => vec![b'a'; CHUNK_BYTES],
            Self::Trailers if number == 1 => b"2\r\naa\r\n0\r\n".to_vec(),
            Self::Trailers => format!("x-{number}: a\r\n").into_bytes(),
            Self::HalfEvent if number <= 2 => chunk(&[b'a'; CHUNK_BYTES - 1024]),
            Self::HalfEvent => Vec::new(),
            Self::ChunkedBody | Self::Event => chunk(&[b'a'; CHUNK_BYTES]),
            Self::SlowBody | Self::SlowEvent => chunk(b"a"),
            Self::Events => chunk(format!("id: {number}\ndata: e{number}\n\n").as_bytes()),
        }
    }

    fn is_slow(self) -> bool {
        matches!(
            self,
            Self::SlowHead | Self::SlowBody | Self::SlowEvent | Self::HalfEvent
        )
    }
}

/// The stand-in.
#[derive(Debug)]
pub(crate) struct EndlessServer {
    kind: Endless,
    /// Connections on which it sends.
    open: AtomicUsize,
    /// Requests that it got.
    requests: AtomicUsize,
}

impl EndlessServer {
    /// Starts a server.
    pub(crate) async fn open(kind: Endless) -> (Arc<Self>, SocketAddr) {
        let server = Arc::new(Self {
            kind,
            open: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move {
                    server.open.fetch_add(1, Ordering::AcqRel);
                    let _ = server.send(stream).await;
                    server.open.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        (server, address)
    }

    /// Connections that the router has not closed.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Requests that it got so far.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Sends without end; returns when the connection is closed.
    async fn send(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut request = Vec::new();
        while !request.windows(4).any(|w| w == b"\r\n\r\n") {
            if stream.read_buf(&mut request).await? == 0 {
                return Ok(());
            }
        }
        self.requests.fetch_add(1, Ordering::AcqRel);
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let id = text.split("x-poplarreel-attempt-id: ").nth(1);
        let id = id.and_then(|rest| rest.lines().next()).unwrap_or_default();
        stream.write_all(self.kind.head(id).as_bytes()).await?;
        let (mut input, mut output) = stream.into_split();
        let closed = async {
            let mut rest = [0; 1024];
            while input.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        };
        let sending = async {
            for number in 1.. {
                output.write_all(&self.kind.piece(number)).await?;
                if self.kind.is_slow() {
                    tokio::time::sleep(SLOW_PAUSE).await;
                }
            }
            Ok(())
        };
        tokio::select! {
            () = closed => Ok(()),
            result = sending => result,
        }
    }
}
