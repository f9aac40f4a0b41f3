//! Plain HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The head of a message: its first line and its headers with lowercase names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the head of a message; `None` if the connection ends before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(line) = read_line(from)? else {
        return Ok(None);
    };
    let mut head = Head {
        line,
        headers: Vec::new(),
    };
    loop {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a body in chunks; `None` after the last one.
fn read_chunk(from: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    from.read_exact(&mut chunk)?;
    read_line(from)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads the body of a request.
pub fn read_body(from: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(from)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.get("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        from.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Serves connections of a listener, each in a thread of its own. `handle` gets
/// each request, and says whether the connection is kept.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, handle);
            });
        }
    });
}

/// Open connections.
pub type Open = Mutex<Vec<TcpStream>>;

/// Serves connections until `ended` says that the server has ended, then closes the
/// listener and all connections.
pub fn serve_until(
    listener: TcpListener,
    handle: impl Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
    ended: impl Fn() -> bool,
    open: &Open,
) {
    const PAUSE: Duration = Duration::from_millis(2);
    let _ = listener.set_nonblocking(true);
    while !ended() {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(PAUSE);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let mut all = open.lock().unwrap_or_else(|e| e.into_inner());
        all.retain(|stream| stream.peer_addr().is_ok());
        all.extend(stream.try_clone());
        drop(all);
        let handle = handle.clone();
        std::thread::spawn(move || {
            let closed = stream.try_clone();
            let _ = serve_connection(stream, handle);
            if let Ok(stream) = closed {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }
    drop(listener);
    for stream in open.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

fn serve_connection(
    mut stream: TcpStream,
    handle: impl Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut from)? {
        let body = read_body(&mut from, &head)?;
        if !handle(&head, body, &mut stream)? {
            break;
        }
    }
    Ok(())
}

/// Writes a response with a body of known length.
pub fn respond(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    to.write_all(&out)
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status; 0 if there was no answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Answer {
    /// Complete events of a stream in the body.
    pub fn events(&self) -> u64 {
        self.body.windows(2).filter(|w| w == b"\n\n").count() as u64
    }
}

/// Sends one request on a new connection and reads the answer, for `patience` at most.
pub fn ask(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Answer {
    ask_until(at, method, path, headers, body, patience, u64::MAX)
}

/// As [`ask`], but the connection breaks when so many events have come.
pub fn ask_until(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
    events: u64,
) -> Answer {
    let mut answer = Answer::default();
    let _ = try_ask(
        at,
        method,
        path,
        headers,
        body,
        patience,
        events,
        &mut answer,
    );
    answer
}

fn try_ask(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
    events: u64,
    answer: &mut Answer,
) -> io::Result<()> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    let timed = Timed {
        stream: stream.try_clone()?,
        until,
    };
    let mut from = BufReader::new(timed);
    let head = read_head(&mut from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    answer.head = head.clone();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut from)? {
            answer.body.extend(chunk);
            if answer.events() >= events {
                return Ok(());
            }
        }
    } else {
        answer.body = read_body(&mut from, &head)?;
    }
    answer.whole = true;
    Ok(())
}

/// A stream that is read until a point in time.
struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
