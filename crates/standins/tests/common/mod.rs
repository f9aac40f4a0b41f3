//! Helpers for the tests of the stand-ins.
#![expect(unreachable_pub, reason = "each test binary includes this module")]
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "no test binary uses every helper"
)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use poplar_base::http::{Answer, Client, Error};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Time after which a hanging test fails. No test measures time with it.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Loopback address with a port chosen by the system.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Headers of a request.
pub type Headers<'a> = &'a [(&'a str, &'a str)];

/// HTTP client of one stand-in.
pub struct Caller {
    client: Client,
    base: String,
}

impl Caller {
    /// Creates a client of the stand-in at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::open(),
            base: format!("http://{address}"),
        }
    }

    fn request(&self, path: &str, headers: Headers<'_>, body: &Value) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("{}{path}", self.base));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::from(body.to_string())).unwrap()
    }

    /// Sends a POST request and reads the whole answer.
    pub async fn post(
        &self,
        path: &str,
        headers: Headers<'_>,
        body: Value,
    ) -> Result<Answer, Error> {
        let request = self.request(path, headers, &body);
        self.client.call(request, HANG_TIMEOUT).await
    }

    /// Sends a POST request and leaves the body of the answer unread.
    pub async fn open(&self, path: &str, headers: Headers<'_>, body: Value) -> Response<Incoming> {
        let request = self.request(path, headers, &body);
        self.client.send(request).await.unwrap()
    }

    /// Sends a GET request and reads the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("{}{path}", self.base);
        let answer = self.client.get(&url, HANG_TIMEOUT).await.unwrap();
        answer.json().unwrap()
    }

    /// Sets control switches, which must succeed.
    pub async fn switch(&self, body: Value) {
        let answer = self.post("/control", &[], body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    }
}

/// Body of a streamed chat completion request with the prompt `content`.
pub fn chat(content: &str) -> Value {
    let messages = json!([{"role": "user", "content": content}]);
    json!({"model": "model", "stream": true, "messages": messages})
}

/// The JSON events of a stream and whether it ended with `[DONE]`.
pub fn events(body: &[u8]) -> (Vec<Value>, bool) {
    let text = std::str::from_utf8(body).unwrap();
    let mut events = Vec::new();
    let mut done = false;
    for event in text.split_terminator("\n\n") {
        assert!(!done, "{event:?} after the end");
        match event.strip_prefix("data: ").unwrap() {
            "[DONE]" => done = true,
            data => events.push(serde_json::from_str(data).unwrap()),
        }
    }
    (events, done)
}

/// The concatenated content of the events' deltas.
pub fn content(events: &[Value]) -> String {
    let deltas = events.iter().map(|e| &e["choices"][0]["delta"]["content"]);
    deltas.filter_map(Value::as_str).collect()
}

/// What was read from a stream.
pub struct Read {
    /// Its bytes.
    pub body: Vec<u8>,
    /// Whether the connection broke before the end.
    pub broken: bool,
}

/// Reads at most `frames` frames, until the stream ends or its connection breaks.
pub async fn read(answer: &mut Response<Incoming>, frames: usize) -> Read {
    let mut body = Vec::new();
    for _ in 0..frames {
        let frame = tokio::time::timeout(HANG_TIMEOUT, answer.body_mut().frame());
        match frame.await.expect("a frame arrives before the time-out") {
            Some(Ok(frame)) => body.extend_from_slice(frame.data_ref().unwrap()),
            Some(Err(_)) => return Read { body, broken: true },
            None => break,
        }
    }
    Read {
        body,
        broken: false,
    }
}

/// The status and error code of a refusal.
pub fn code(answer: &Answer) -> (u16, String) {
    let body: Value = answer.json().unwrap();
    let code = body["error"]["code"].as_str().unwrap().to_owned();
    (answer.status.as_u16(), code)
}
