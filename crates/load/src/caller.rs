//! One request from its arrival to its answer, or until its caller gives up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use poplar_base::http::{Client, Error};

use crate::balancer::Balancer;
use crate::mix::{Mix, Work};
use crate::prompt;
use crate::retry::{Failure, Policy, Refusal, wait};
use crate::schedule::Arrival;
use crate::stream::{Reader, RefusalWire};

/// What all callers share.
#[derive(Debug)]
pub struct Shared {
    /// The mix.
    pub mix: Mix,
    /// The routers.
    pub balancer: Balancer,
    /// The connections.
    pub client: Client,
    /// How often requests are sent again.
    pub policy: Policy,
    /// Beginning of idempotency keys, new for each run.
    pub run: String,
    /// Whether repeatable requests carry a key too.
    pub keyed: bool,
    /// Model of the engines, where they are called without a router.
    pub direct: Option<String>,
}

/// An answer with its times, measured from the scheduled arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Until the first token; `None` for service calls.
    pub first: Option<Duration>,
    /// Times between tokens, in microseconds.
    pub gaps: Vec<u32>,
    /// Until the whole answer.
    pub finish: Duration,
    /// The text.
    pub text: String,
    /// Whether the chunks are as many as the usage says.
    pub counted: bool,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With its whole answer.
    Answered(Answer),
    /// Its caller gave up after this.
    Failed(Failure),
    /// It was not sent, since too many were under way.
    Shed,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// How it ended.
    pub end: End,
    /// How late it was first sent.
    pub late: Duration,
    /// How often it was sent.
    pub attempts: u32,
    /// Refusals on the way, the last one included.
    pub refusals: Vec<Refusal>,
}

/// Sends a request that arrived at `arrived`, again where that is right.
pub async fn send(shared: Arc<Shared>, arrival: Arrival, arrived: Instant) -> Outcome {
    let late = arrived.elapsed();
    let item = &shared.mix.items[arrival.item];
    let keyed = shared.keyed || !item.repeat;
    let mut refusals = Vec::new();
    let mut attempts = 0;
    let mut avoid = None;
    let end = loop {
        let (at, address) = shared.balancer.pick(avoid);
        avoid = Some(at);
        attempts += 1;
        let url = format!("http://{address}");
        let failure = match attempt(&shared, &arrival, &url, keyed, arrived).await {
            Ok(answer) => break End::Answered(answer),
            Err(failure) => failure,
        };
        if let Failure::Refused(refusal) = &failure {
            refusals.push(refusal.clone());
        }
        let spent = arrived.elapsed();
        match wait(&failure, keyed, attempts, spent, shared.policy) {
            Some(wait) => tokio::time::sleep(wait).await,
            None => break End::Failed(failure),
        }
    };
    Outcome {
        arrival,
        end,
        late,
        attempts,
        refusals,
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Connect { .. } => Self::Unreached,
            Error::Lost(_) | Error::Malformed(_) => Self::Lost,
        }
    }
}

async fn attempt(
    shared: &Shared,
    arrival: &Arrival,
    base: &str,
    keyed: bool,
    arrived: Instant,
) -> Result<Answer, Failure> {
    let item = &shared.mix.items[arrival.item];
    let sender = &shared.mix.senders[arrival.sender];
    let (path, body) = prompt::request(item, sender, arrival, shared.direct.as_deref());
    let mut request = Request::post(format!("{base}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", sender.key));
    if keyed {
        let key = format!("{}-{}", shared.run, arrival.number);
        request = request.header("idempotency-key", key);
    }
    if shared.direct.is_some() {
        let id = format!("{}-{}", shared.run, arrival.number);
        request = request.header("x-request-id", id);
    }
    let request = request.body(Full::new(Bytes::from(body)));
    let request = request.expect("its parts were checked");
    let left = shared.policy.patience.saturating_sub(arrived.elapsed());
    let whole = async {
        let response = shared.client.send(request).await?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(refusal(head.status, body).await);
        }
        match item.work {
            Work::Chat(_) => streamed(body, arrived).await,
            Work::Call(_) => called(body, arrived).await,
        }
    };
    let whole = tokio::time::timeout(left, whole).await;
    whole.unwrap_or(Err(Failure::Lost))
}

async fn refusal(status: StatusCode, body: Incoming) -> Failure {
    let Ok(body) = body.collect().await else {
        return Failure::Lost;
    };
    let read = serde_json::from_slice::<RefusalWire>(&body.to_bytes());
    Failure::Refused(match read {
        Ok(wire) => wire.error.into(),
        Err(_) => Refusal {
            code: format!("status_{}", status.as_u16()).into(),
            run: "unknown".into(),
            wait: None,
        },
    })
}

async fn called(body: Incoming, arrived: Instant) -> Result<Answer, Failure> {
    let body = body.collect().await.map_err(|_| Failure::Lost)?;
    Ok(Answer {
        first: None,
        gaps: Vec::new(),
        finish: arrived.elapsed(),
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        counted: true,
    })
}

async fn streamed(mut body: Incoming, arrived: Instant) -> Result<Answer, Failure> {
    let mut reader = Reader::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Lost)?;
        if let Some(bytes) = frame.data_ref() {
            reader.take(bytes, Instant::now());
        }
        if reader.done {
            break;
        }
    }
    if let Some(refusal) = reader.refusal {
        return Err(Failure::Refused(refusal));
    }
    if !reader.whole() {
        return Err(Failure::Lost);
    }
    Ok(Answer {
        first: reader.first.map(|at| at.saturating_duration_since(arrived)),
        gaps: reader.gaps,
        finish: arrived.elapsed(),
        counted: reader.usage == Some(reader.chunks),
        text: reader.text,
    })
}
