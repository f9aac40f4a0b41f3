//! A way to the store that can be cut: bytes are held up in both directions, and
//! new connections get no answer. Connections can be silenced for good.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The way to the store.
#[derive(Debug, Clone)]
pub(crate) struct Way {
    is_cut: Arc<watch::Sender<bool>>,
    /// Counts the times at which all open connections were silenced.
    silenced: Arc<watch::Sender<u32>>,
}

impl Way {
    /// Opens a way to `target`; returns its address, too.
    pub(crate) async fn open(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (is_cut, state) = watch::channel(false);
        let (silenced, silence) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let state = state.clone();
                let mut silence = silence.clone();
                let opened = *silence.borrow_and_update();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(target).await else {
                        return;
                    };
                    let (near_in, near_out) = near.into_split();
                    let (far_in, far_out) = far.into_split();
                    let both = async {
                        tokio::join!(
                            pass(near_in, far_out, state.clone()),
                            pass(far_in, near_out, state),
                        )
                    };
                    let mut both = Box::pin(both);
                    tokio::select! {
                        _ = &mut both => return,
                        Ok(_) = silence.wait_for(|count| *count != opened) => {}
                    }
                    // The connection stays open, and nothing passes any more.
                    std::future::pending::<()>().await;
                });
            }
        });
        let way = Self {
            is_cut: Arc::new(is_cut),
            silenced: Arc::new(silenced),
        };
        (way, address)
    }

    /// Silences the connections that are open now for good.
    pub(crate) fn silence(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// Cuts the way, or opens it again.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut is_cut: watch::Receiver<bool>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        if is_cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
    // A close is held up by a cut, too.
    let _ = is_cut.wait_for(|cut| !cut).await;
}
