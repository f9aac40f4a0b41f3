//! A plain HTTP caller with a connection for each call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::fault::{Fault, Result};

/// How long a call of a stand-in or an admin page may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// What came back.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// What came of the body.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// Where it is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let text = String::from_utf8_lossy(&self.body);
            Fault(format!("{} {text:?}: {e}", self.status))
        })
    }
}

/// Makes a call of its own connection.
///
/// # Errors
/// Where no answer began.
pub async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer> {
    let stream = TcpStream::connect(to).await;
    let stream = stream.map_err(|e| Fault::of("connect", e))?;
    // Thousands of short connections must not use up the ports.
    let _ = stream.set_zero_linger();
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.map_err(|e| Fault::of("handshake", e))?;
    let driver = tokio::spawn(connection);
    let sent = sender.send_request(request).await;
    let response = sent.map_err(|e| Fault::of("send", e))?;
    let answer = collect(response).await;
    driver.abort();
    Ok(answer)
}

async fn collect(response: http::Response<Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut all = Vec::new();
    let whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    all.extend_from_slice(&data);
                }
            }
        }
    };
    Answer {
        status: head.status,
        headers: head.headers,
        body: all.into(),
        whole,
    }
}

/// Makes a plain call of a stand-in or an admin page.
///
/// # Errors
/// Where no answer came.
pub async fn plain(to: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .body(Full::new(body))
        .map_err(|e| Fault::of(path, e))?;
    let done = tokio::time::timeout(PATIENCE, call(to, request)).await;
    done.map_err(|_| Fault::of(path, "no answer"))?
}

/// Reads a JSON page.
///
/// # Errors
/// Where it can't be had or read.
pub async fn get<T: DeserializeOwned>(to: SocketAddr, path: &str) -> Result<T> {
    plain(to, Method::GET, path, Bytes::new()).await?.json()
}

/// Posts JSON.
///
/// # Errors
/// Where no answer came.
pub async fn post(to: SocketAddr, path: &str, body: &Value) -> Result<Answer> {
    let bytes = Bytes::from(body.to_string());
    plain(to, Method::POST, path, bytes).await
}
