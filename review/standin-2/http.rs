//! HTTP/1.1 over blocking sockets, for the stand-ins of servers, store and clients.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request that a stand-in received.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Path and query.
    pub target: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(n, _)| n == name);
    found.next().map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs
            .find(|(n, _)| *n == name)
            .map_or("", |(_, value)| value);
        let (mut out, mut rest) = (Vec::new(), value.as_bytes());
        while let Some((first, tail)) = rest.split_first() {
            let code = tail.get(..2).filter(|_| *first == b'%');
            let code = code.and_then(|code| std::str::from_utf8(code).ok());
            match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
                Some(byte) => {
                    out.push(byte);
                    rest = &tail[2..];
                }
                None => {
                    out.push(*first);
                    rest = tail;
                }
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

type Head = (String, Vec<(String, String)>);

/// The first line and the headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_chunk(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut request = Request {
        target: words.nth(1).unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    if request.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            request.body.extend(chunk);
        }
    } else if let Some(length) = request.header("content-length") {
        let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections, each in a thread of its own. `handle` answers a request and says
/// whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    serve_until(listener, || false, handle);
}

/// Serves connections, and closes the listener once `is_ended` says so.
pub fn serve_until(
    listener: TcpListener,
    is_ended: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(&Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        while !is_ended() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(500));
                continue;
            };
            let handle = handle.clone();
            thread::spawn(move || -> std::io::Result<()> {
                stream.set_nonblocking(false)?;
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(request) = read_request(&mut reader)? {
                    if !handle(&request, &mut stream)? {
                        break;
                    }
                }
                Ok(())
            });
        }
        Ok(())
    });
}

/// What a client saw of an answer.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// 0 if there was no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
    pub took: Duration,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_whole
    }

    /// The word for the record.
    pub fn text(&self) -> String {
        match (self.status, self.is_whole) {
            (0, _) => "no answer".to_owned(),
            (status, true) => status.to_string(),
            (status, false) => format!("{status} broken off"),
        }
    }
}

/// Sends a request on a new connection and reads the answer. `patience` is the longest
/// silence.
pub fn ask(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> Seen {
    let began = Instant::now();
    let mut seen = Seen::default();
    // What came before an error counts.
    let _ = try_ask(at, method, path, headers, body, patience, &mut seen);
    seen.took = began.elapsed();
    seen
}

fn try_ask(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: site.example\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Ok(());
    };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    seen.status = status.unwrap_or(0);
    seen.headers = headers;
    if seen.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            seen.body.extend(chunk);
        }
    } else if let Some(length) = seen.header("content-length") {
        let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        let mut rest = reader.take(length);
        rest.read_to_end(&mut seen.body)?;
        if (seen.body.len() as u64) < length {
            return Ok(());
        }
    } else {
        reader.read_to_end(&mut seen.body)?;
    }
    seen.is_whole = true;
    Ok(())
}
