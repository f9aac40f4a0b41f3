//! Clients that send requests of legal size, stop just short of their end and stay.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Fields of a head beside the usual ones, and the bytes of the value of each. A head has
/// fewer than 100 fields and less than 16,384 bytes.
const FIELDS: usize = 94;
const VALUE_BYTES: usize = 155;
/// Bodies, whose last bytes are never sent.
const SMALL_BODY: usize = 16_000;
const LARGE_BODY: usize = 4_194_304;
const MISSING: usize = 10;
/// Pieces of a small body, and the time between two of them.
const PIECE: usize = 100;
const PAUSE: Duration = Duration::from_millis(12);
/// How long a client stays.
const STAY: Duration = Duration::from_secs(20);

/// The crowd.
#[derive(Debug, Clone, Default)]
pub struct Crowd(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    connected: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
    is_ended: AtomicBool,
}

impl Crowd {
    /// Adds a client, which comes back whenever it is refused or closed.
    pub fn send(&self, at: SocketAddr, key: &'static str, number: usize, is_large: bool) {
        let crowd = self.clone();
        let small = thread::Builder::new().stack_size(64 << 10);
        let _ = small.spawn(move || {
            let mut round = 0;
            while !crowd.0.is_ended.load(Ordering::Acquire) {
                round += 1;
                let id = format!("crowd-{number}-{round}");
                let answer = crowd.hold(at, key, &id, is_large);
                let count = match answer {
                    Ok(true) => &crowd.0.refused,
                    Ok(false) | Err(_) => &crowd.0.closed,
                };
                count.fetch_add(1, Ordering::AcqRel);
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Sends most of a request and stays; returns whether there was an answer.
    fn hold(&self, at: SocketAddr, key: &str, id: &str, is_large: bool) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        self.0.connected.fetch_add(1, Ordering::AcqRel);
        stream.set_read_timeout(Some(STAY))?;
        stream.set_write_timeout(Some(STAY))?;
        let mut head = format!(
            "POST /push/{id} HTTP/1.1\r\nhost: site.example\r\napi-key: {key}\r\n\
             x-poplarreel-attempt-id: {id}\r\nx-poplarreel-deadline-ms: 1500\r\n"
        );
        if is_large {
            head.push_str(&format!("content-length: {LARGE_BODY}\r\n\r\n"));
            stream.write_all(head.as_bytes())?;
            let piece = vec![b'x'; 64 << 10];
            let mut left = LARGE_BODY - MISSING;
            while left > 0 {
                let length = left.min(piece.len());
                stream.write_all(&piece[..length])?;
                left -= length;
            }
        } else {
            let value = "v".repeat(VALUE_BYTES);
            for field in 0..FIELDS {
                head.push_str(&format!("x-f{field}: {value}\r\n"));
            }
            head.push_str(&format!("content-length: {SMALL_BODY}\r\n\r\n"));
            stream.write_all(head.as_bytes())?;
            for _ in 0..(SMALL_BODY - MISSING) / PIECE {
                stream.write_all(&[b'y'; PIECE])?;
                thread::sleep(PAUSE);
            }
        }
        let mut bytes = [0; 1024];
        Ok(stream.read(&mut bytes)? > 0)
    }

    /// What became of it so far.
    pub fn text(&self) -> String {
        let count = |n: &AtomicU64| n.load(Ordering::Acquire);
        format!(
            "the crowd connected {} times, was refused {} times and closed {} times",
            count(&self.0.connected),
            count(&self.0.refused),
            count(&self.0.closed)
        )
    }

    /// Has the clients leave when their requests end.
    pub fn end(&self) {
        self.0.is_ended.store(true, Ordering::Release);
    }
}

/// Announces a body of this length, sends some bytes of it, and leaves; returns what was
/// answered.
pub fn announce(at: SocketAddr, key: &str, id: &str, length: u64) -> String {
    let send = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let head = format!(
            "POST /push/{id} HTTP/1.1\r\nhost: site.example\r\napi-key: {key}\r\n\
             x-poplarreel-attempt-id: {id}\r\nx-poplarreel-deadline-ms: 1500\r\n\
             content-length: {length}\r\n\r\nsome bytes"
        );
        stream.write_all(head.as_bytes())?;
        let mut bytes = [0; 1024];
        let read = stream.read(&mut bytes)?;
        let answer = String::from_utf8_lossy(&bytes[..read]).into_owned();
        Ok(answer.lines().next().unwrap_or("closed").to_owned())
    };
    send().unwrap_or_else(|why| why.to_string())
}
