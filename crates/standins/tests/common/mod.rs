//! Helpers of the stand-ins' tests.
#![expect(unreachable_pub, reason = "a module of each test binary")]
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "no test binary uses all of it"
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

/// Ends a test that hangs; no test measures time.
pub const GUARD: Duration = Duration::from_secs(30);
/// A free port on loopback.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Headers of a call.
pub type Headers<'a> = &'a [(&'a str, &'a str)];

/// A caller of one stand-in.
pub struct Caller {
    client: Client,
    base: String,
}

impl Caller {
    /// Calls the stand-in at `address`.
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

    /// Posts and reads the whole answer.
    pub async fn post(
        &self,
        path: &str,
        headers: Headers<'_>,
        body: Value,
    ) -> Result<Answer, Error> {
        let request = self.request(path, headers, &body);
        self.client.call(request, GUARD).await
    }

    /// Posts and leaves the answer's body unread.
    pub async fn open(&self, path: &str, headers: Headers<'_>, body: Value) -> Response<Incoming> {
        let request = self.request(path, headers, &body);
        self.client.send(request).await.unwrap()
    }

    /// Gets JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("{}{path}", self.base);
        let answer = self.client.get(&url, GUARD).await.unwrap();
        answer.json().unwrap()
    }

    /// Sets switches.
    pub async fn switch(&self, body: Value) {
        let answer = self.post("/control", &[], body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    }
}

/// A streamed chat completion of `content`.
pub fn chat(content: &str) -> Value {
    let messages = json!([{"role": "user", "content": content}]);
    json!({"model": "model", "stream": true, "messages": messages})
}

/// The JSON events of a stream, and whether it was closed by `[DONE]`.
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

/// The text in the events' deltas.
pub fn content(events: &[Value]) -> String {
    let deltas = events.iter().map(|e| &e["choices"][0]["delta"]["content"]);
    deltas.filter_map(Value::as_str).collect()
}

/// What was read of a stream.
pub struct Read {
    /// Its bytes.
    pub body: Vec<u8>,
    /// Whether the stream broke off.
    pub broken: bool,
}

/// Reads until the stream ends or breaks off, at most `frames` frames.
pub async fn read(answer: &mut Response<Incoming>, frames: usize) -> Read {
    let mut body = Vec::new();
    for _ in 0..frames {
        let frame = tokio::time::timeout(GUARD, answer.body_mut().frame());
        match frame.await.expect("the stream hangs") {
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

/// The error code of a refusal.
pub fn code(answer: &Answer) -> (u16, String) {
    let body: Value = answer.json().unwrap();
    let code = body["error"]["code"].as_str().unwrap().to_owned();
    (answer.status.as_u16(), code)
}
