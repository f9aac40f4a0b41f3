//! HTTP/1.1 on blocking sockets: what the stand-ins read and write.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Names and values of headers, the names in lower case.
pub type Headers = Vec<(String, String)>;

/// The value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map(|(_, value)| value.as_str())
}

/// A request as a server gets it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its path and query.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
}

impl Request {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a field of the query; the names and values here need no decoding
    /// but for percent signs.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    from.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while line.last().is_some_and(|b| *b == b'\n' || *b == b'\r') {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

fn read_headers(from: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(from: &mut impl BufRead, mut take: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(from)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        from.read_exact(&mut chunk)?;
        read_line(from)?;
        if size == 0 {
            return Ok(());
        }
        take(&chunk);
    }
}

/// Reads a request; `None` if the connection ended before one.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    if from.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let line = read_line(from)?;
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(from)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        read_chunks(from, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = header(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        from.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

/// Writes a complete answer.
pub fn write_answer(
    to: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    to.write_all(&out)
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status; 0 if there was no complete head.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came as a whole.
    pub is_whole: bool,
}

impl Answer {
    /// Whether it is a success as a whole, with the server's seal.
    pub fn is_served(&self) -> bool {
        let sealed = header(&self.headers, "x-poplarreel-response-seal").is_some();
        self.status == 200 && self.is_whole && sealed
    }

    /// When the client may come back, if the answer says so.
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = header(&self.headers, "retry-after")?.parse::<f64>().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Connects to `to` and sends these bytes.
pub fn send(to: SocketAddr, bytes: &[u8], time: Duration) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, time.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(time))?;
    stream.write_all(bytes)?;
    Ok(stream)
}

/// Reads the answer on a connection until `until`.
pub fn read_answer(stream: TcpStream, until: Instant) -> Answer {
    let mut answer = Answer::default();
    let _ = try_read_answer(stream, until, &mut answer);
    answer
}

fn try_read_answer(stream: TcpStream, until: Instant, answer: &mut Answer) -> io::Result<()> {
    let mut from = BufReader::new(Timed { stream, until });
    let line = read_line(&mut from)?;
    let headers = read_headers(&mut from)?;
    answer.headers = headers;
    answer.status = line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    if header(&answer.headers, "transfer-encoding").is_some() {
        let body = &mut answer.body;
        read_chunks(&mut from, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = header(&answer.headers, "content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        from.read_exact(&mut body)?;
        answer.body = body;
    } else {
        from.read_to_end(&mut answer.body)?;
    }
    answer.is_whole = true;
    Ok(())
}

/// A connection from which is read until a moment.
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
