//! Clients that stop halfway, send too much or don't read.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest wait for the router to take what a client sends. After it, the client keeps
/// its connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Receive buffer of a client that does not read, so that its answer stays in the router.
const SMALL_WINDOW: u32 = 4096;

/// A crowd of clients that do the same.
#[derive(Debug, Clone)]
pub(crate) struct Crowd {
    /// Number of clients.
    pub(crate) count: usize,
    /// Where they connect.
    pub(crate) address: SocketAddr,
    /// What each sends, part by part.
    pub(crate) parts: Vec<Vec<u8>>,
    /// Pause after each part, so that the router reads the parts one by one.
    pub(crate) pause: Duration,
    /// Whether they read what the router sends.
    pub(crate) reads: bool,
}

/// Open connections of a crowd, which are closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Open(JoinSet<()>);

impl Crowd {
    /// Connects all clients, has them send, and waits until each has sent everything,
    /// was disconnected or has waited too long. They keep their connections.
    pub(crate) async fn open(self) -> Open {
        let mut clients = JoinSet::new();
        let (done, mut all_done) = tokio::sync::mpsc::channel::<()>(1);
        for _ in 0..self.count {
            let (crowd, done) = (self.clone(), done.clone());
            clients.spawn(async move {
                let stream = timeout(SEND_TIMEOUT, crowd.connect()).await;
                let Ok(Ok(mut stream)) = stream else {
                    return;
                };
                let _ = timeout(SEND_TIMEOUT, crowd.send(&mut stream)).await;
                drop(done);
                if crowd.reads {
                    let mut buffer = [0; 1024];
                    while let Ok(1..) = stream.read(&mut buffer).await {}
                }
                std::future::pending::<()>().await;
            });
        }
        drop(done);
        let _ = all_done.recv().await;
        Open(clients)
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if !self.reads {
            socket.set_recv_buffer_size(SMALL_WINDOW)?;
        }
        let stream = socket.connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        for part in &self.parts {
            stream.write_all(part).await?;
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
        }
        Ok(())
    }
}

impl Open {
    /// Number of clients that have not failed to connect.
    pub(crate) fn count(&mut self) -> usize {
        while self.0.try_join_next().is_some() {}
        self.0.len()
    }
}

/// The head of a request to a path, with these lines and without its end.
pub(crate) fn head(path: &str, lines: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\napi-key: key-1\r\n\
         x-poplarreel-attempt-id: crowd\r\nx-poplarreel-deadline-ms: 2000\r\n{lines}"
    )
    .into_bytes()
}
