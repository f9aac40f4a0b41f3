//! Sends one request, with retries, until it is answered or its caller gives up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use poplar_base::http::{Client, Error};

use crate::balancer::Balancer;
use crate::mix::{Mix, RequestKind};
use crate::prompt;
use crate::retry::{Failure, Policy, Refusal, retry_delay};
use crate::schedule::Arrival;
use crate::stream::{Reader, RefusalWire};

/// State that all requests of a run share.
#[derive(Debug)]
pub struct RunContext {
    /// Classes and workspaces of the requests.
    pub mix: Mix,
    /// Chooses the router of each attempt.
    pub balancer: Balancer,
    /// HTTP client with its connection pool.
    pub client: Client,
    /// Limits on retries.
    pub policy: Policy,
    /// Prefix of idempotency keys, different for each run.
    pub key_prefix: String,
    /// Whether repeatable requests carry an idempotency key too.
    pub always_keyed: bool,
    /// Model name to send if engines are called directly, without a router.
    pub direct_model: Option<String>,
}

/// A complete answer. Times are measured from the scheduled arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Time to the first token; `None` for service calls.
    pub first_token: Option<Duration>,
    /// Times between tokens, in microseconds.
    pub token_gaps: Vec<u32>,
    /// Time to the complete answer.
    pub finish: Duration,
    /// Text of the answer.
    pub text: String,
    /// Whether the number of chunks equals the reported usage.
    pub count_matches: bool,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The complete answer arrived.
    Answered(Answer),
    /// The caller gave up after this failure.
    Failed(Failure),
    /// Not sent, because the limit on concurrent requests was reached.
    Shed,
}

/// Result of a request over all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOutcome {
    /// The scheduled request.
    pub arrival: Arrival,
    /// How it ended.
    pub end: RequestEnd,
    /// Delay of the first attempt after the scheduled arrival.
    pub send_delay: Duration,
    /// Number of attempts.
    pub attempts: u32,
    /// Refusals of all attempts, including the last one.
    pub refusals: Vec<Refusal>,
}

/// Sends a request that was scheduled for `arrived`, with retries as the policy allows.
pub async fn send(context: Arc<RunContext>, arrival: Arrival, arrived: Instant) -> RequestOutcome {
    let send_delay = arrived.elapsed();
    let class = &context.mix.classes[arrival.class];
    let keyed = context.always_keyed || !class.repeatable;
    let mut refusals = Vec::new();
    let mut attempts = 0;
    let mut avoid = None;
    let end = loop {
        let (index, address) = context.balancer.pick(avoid);
        avoid = Some(index);
        attempts += 1;
        let url = format!("http://{address}");
        let failure = match attempt(&context, &arrival, &url, keyed, arrived).await {
            Ok(answer) => break RequestEnd::Answered(answer),
            Err(failure) => failure,
        };
        if let Failure::Refused(refusal) = &failure {
            refusals.push(refusal.clone());
        }
        let elapsed = arrived.elapsed();
        match retry_delay(&failure, keyed, attempts, elapsed, context.policy) {
            Some(delay) => tokio::time::sleep(delay).await,
            None => break RequestEnd::Failed(failure),
        }
    };
    RequestOutcome {
        arrival,
        end,
        send_delay,
        attempts,
        refusals,
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Connect { .. } => Self::ConnectError,
            Error::Lost(_) | Error::TooLarge(_) | Error::Malformed(_) => Self::Lost,
        }
    }
}

async fn attempt(
    context: &RunContext,
    arrival: &Arrival,
    base: &str,
    keyed: bool,
    arrived: Instant,
) -> Result<Answer, Failure> {
    let class = &context.mix.classes[arrival.class];
    let sender = &context.mix.senders[arrival.sender];
    let (path, body) = prompt::request(class, sender, arrival, context.direct_model.as_deref());
    let mut request = Request::post(format!("{base}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", sender.key));
    if keyed {
        let key = format!("{}-{}", context.key_prefix, arrival.number);
        request = request.header("idempotency-key", key);
    }
    if context.direct_model.is_some() {
        let id = format!("{}-{}", context.key_prefix, arrival.number);
        request = request.header("x-request-id", id);
    }
    let request = request.body(Full::new(Bytes::from(body)));
    let request = request.expect("its parts were checked");
    let remaining = context.policy.timeout.saturating_sub(arrived.elapsed());
    let exchange = async {
        let response = context.client.send(request).await?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(read_refusal(head.status, body).await);
        }
        match class.kind {
            RequestKind::Chat(_) => read_stream(body, arrived).await,
            RequestKind::Call(_) => read_call(body, arrived).await,
        }
    };
    let result = tokio::time::timeout(remaining, exchange).await;
    result.unwrap_or(Err(Failure::Lost))
}

async fn read_refusal(status: StatusCode, body: Incoming) -> Failure {
    let Ok(body) = body.collect().await else {
        return Failure::Lost;
    };
    let parsed = serde_json::from_slice::<RefusalWire>(&body.to_bytes());
    Failure::Refused(match parsed {
        Ok(wire) => wire.error.into(),
        Err(_) => Refusal {
            code: format!("status_{}", status.as_u16()).into(),
            execution: "unknown".into(),
            retry_after: None,
        },
    })
}

async fn read_call(body: Incoming, arrived: Instant) -> Result<Answer, Failure> {
    let body = body.collect().await.map_err(|_| Failure::Lost)?;
    Ok(Answer {
        first_token: None,
        token_gaps: Vec::new(),
        finish: arrived.elapsed(),
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        count_matches: true,
    })
}

async fn read_stream(mut body: Incoming, arrived: Instant) -> Result<Answer, Failure> {
    let mut reader = Reader::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Lost)?;
        if let Some(bytes) = frame.data_ref() {
            reader.push(bytes, Instant::now());
        }
        if reader.done {
            break;
        }
    }
    if let Some(refusal) = reader.refusal {
        return Err(Failure::Refused(refusal));
    }
    if !reader.is_complete() {
        return Err(Failure::Lost);
    }
    Ok(Answer {
        first_token: reader
            .first_token
            .map(|at| at.saturating_duration_since(arrived)),
        token_gaps: reader.token_gaps,
        finish: arrived.elapsed(),
        count_matches: reader.usage == Some(reader.chunks),
        text: reader.text,
    })
}
