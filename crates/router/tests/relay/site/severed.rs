//! Paths from each router to each backend server that can be lost one by one. A router
//! sees the servers at an address of its own.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Connections that fill the queue of a listener that accepts none.
const QUEUE_FILL: usize = 3;

/// What becomes of connections on a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Path {
    /// They work.
    Open,
    /// Nothing is answered, neither on open connections nor on new ones.
    Silent,
    /// Open ones are reset, and new ones refused.
    Reset,
    /// Open ones work, and new ones are refused.
    OpenOnly,
}

/// The path from one router to one server.
#[derive(Debug)]
pub(crate) struct ServerPath {
    near: SocketAddr,
    far: SocketAddr,
    state: watch::Sender<Path>,
    accepting: Option<JoinHandle<()>>,
    filled: Vec<TcpStream>,
    accepted: Arc<AtomicUsize>,
}

/// Listens at an address that another listener may just have had. A process that another
/// test starts holds all sockets of this one for a moment, closed ones included.
async fn listen(at: SocketAddr, queue: u32) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        match socket.bind(at) {
            Ok(()) => return socket.listen(queue).expect("a listener"),
            Err(why) if why.kind() == ErrorKind::AddrInUse => {}
            Err(why) => panic!("{at}: {why}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl ServerPath {
    /// Opens a path from `near` to the server at `far`.
    pub(crate) async fn open(near: SocketAddr, far: SocketAddr) -> Self {
        let mut path = Self {
            near,
            far,
            state: watch::Sender::new(Path::Open),
            accepting: None,
            filled: Vec::new(),
            accepted: Arc::default(),
        };
        path.set(Path::Open).await;
        path
    }

    /// Connections that were accepted so far.
    pub(crate) fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Acquire)
    }

    /// Changes what becomes of connections.
    pub(crate) async fn set(&mut self, state: Path) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            // The listener is closed when the task has ended.
            let _ = accepting.await;
        }
        self.filled.clear();
        self.state.send_replace(state);
        match state {
            Path::Open => self.accept().await,
            Path::Silent => self.fill().await,
            Path::Reset | Path::OpenOnly => {}
        }
    }

    async fn accept(&mut self) {
        let listener = listen(self.near, 1024).await;
        let (state, far) = (self.state.clone(), self.far);
        let accepted = self.accepted.clone();
        self.accepting = Some(tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(pass(near, far, state.subscribe()));
            }
        }));
    }

    async fn fill(&mut self) {
        let listener = listen(self.near, 1).await;
        for _ in 0..QUEUE_FILL {
            let connect = TcpStream::connect(self.near);
            let wait = Duration::from_millis(50);
            if let Ok(Ok(stream)) = tokio::time::timeout(wait, connect).await {
                self.filled.push(stream);
            }
        }
        self.accepting = Some(tokio::spawn(async move {
            let _listener = listener;
            std::future::pending::<()>().await;
        }));
    }
}

async fn pass(mut near: TcpStream, far: SocketAddr, mut state: watch::Receiver<Path>) {
    let Ok(mut far) = TcpStream::connect(far).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let lost = |path: &Path| matches!(path, Path::Silent | Path::Reset);
    let lost = tokio::select! {
        copied = copy_bidirectional(&mut near, &mut far) => match copied {
            Ok(_) => return,
            // A reset at one end is one at the other.
            Err(_) => Path::Reset,
        },
        Ok(path) = state.wait_for(lost) => *path,
    };
    if lost == Path::Silent {
        // Both ends stay open, and nothing passes any more.
        std::future::pending::<()>().await;
    }
    let _ = near.set_zero_linger();
}
