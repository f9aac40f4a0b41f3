//! A simple HTTP client that opens a connection per call.

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

use crate::error::{Error, Result};

/// Time-out of a call to a stand-in or an admin address.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response, which may be incomplete.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The part of the body that was received.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// If the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let text = String::from_utf8_lossy(&self.body);
            Error(format!("{} {text:?}: {e}", self.status))
        })
    }
}

/// Sends a request over a new connection.
///
/// # Errors
/// If no response head arrives.
pub async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer> {
    let stream = TcpStream::connect(to).await;
    let stream = stream.map_err(|e| Error::new("connect", e))?;
    // Closing with RST avoids TIME_WAIT: thousands of short connections would
    // otherwise exhaust the local ports.
    let _ = stream.set_zero_linger();
    let connected = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = connected.map_err(|e| Error::new("handshake", e))?;
    let driver = tokio::spawn(connection);
    let sent = sender.send_request(request).await;
    let response = sent.map_err(|e| Error::new("send", e))?;
    let answer = read_answer(response).await;
    driver.abort();
    Ok(answer)
}

async fn read_answer(response: http::Response<Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut all = Vec::new();
    let complete = loop {
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
        complete,
    }
}

/// Calls a stand-in or an admin address.
///
/// # Errors
/// If no response arrives within the time-out.
pub async fn request(to: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .body(Full::new(body))
        .map_err(|e| Error::new(path, e))?;
    let answer = tokio::time::timeout(CALL_TIMEOUT, call(to, request)).await;
    answer.map_err(|_| Error::new(path, "no answer"))?
}

/// Gets a JSON document.
///
/// # Errors
/// If the call fails or the document can't be parsed.
pub async fn get<T: DeserializeOwned>(to: SocketAddr, path: &str) -> Result<T> {
    request(to, Method::GET, path, Bytes::new()).await?.json()
}

/// Posts a JSON document.
///
/// # Errors
/// If no response arrives within the time-out.
pub async fn post(to: SocketAddr, path: &str, body: &Value) -> Result<Answer> {
    let bytes = Bytes::from(body.to_string());
    request(to, Method::POST, path, bytes).await
}
