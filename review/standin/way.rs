//! A way to the store that can be cut: nothing passes then, and new connections hang.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time between two looks at whether the way is open again.
const PAUSE: Duration = Duration::from_millis(5);

/// The way.
#[derive(Debug, Default)]
pub struct Way {
    cut: AtomicBool,
}

impl Way {
    /// Forwards connections from `near` to `far`.
    pub fn open(near: SocketAddr, far: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(near)?;
        let way = Arc::new(Self::default());
        let forward = way.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let way = forward.clone();
                std::thread::spawn(move || way.forward(from, far));
            }
        });
        Ok(way)
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Release);
    }

    fn wait(&self) {
        while self.cut.load(Ordering::Acquire) {
            std::thread::sleep(PAUSE);
        }
    }

    fn forward(self: Arc<Self>, from: TcpStream, far: SocketAddr) -> io::Result<()> {
        self.wait();
        let to = TcpStream::connect(far)?;
        to.set_nodelay(true)?;
        from.set_nodelay(true)?;
        let (back_from, back_to) = (to.try_clone()?, from.try_clone()?);
        let back = self.clone();
        std::thread::spawn(move || back.copy(back_from, back_to));
        self.copy(from, to)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        loop {
            let length = from.read(&mut buffer).unwrap_or(0);
            self.wait();
            if length == 0 {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return Ok(());
            }
            to.write_all(&buffer[..length])?;
        }
    }
}
