//! Endpoint for chat completions, streamed or as one response.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use bytes::Bytes;
use futures::stream;
use poplar_core::config::Kind;
use poplar_core::id::{Name, RequestId};
use serde::Serialize;
use viz::{Body, IntoResponse, Request, Response, header};

use super::{refuse, validate};
use crate::flow::chat::{self, Event, Events};
use crate::flow::request::Chat;
use crate::refusal::{Code, Execution, Refusal};
use crate::request_trace::unix_ms;
use crate::state::State;

/// Fields that all chunks of an answer have in common.
#[derive(Debug, Clone)]
struct Head {
    id: RequestId,
    model: Name,
    created: u64,
    include_usage: bool,
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn handle(state: Arc<State>, request: Request) -> Response {
    let (head, stream, events) = match start(&state, request).await {
        Ok(started) => started,
        Err((refusal, id)) => return refuse(&refusal, id.as_ref()),
    };
    if stream {
        respond_streamed(head, events).await
    } else {
        respond_whole(head, events).await
    }
}

type FailedRequest = (Refusal, Option<RequestId>);

async fn start(
    state: &Arc<State>,
    mut request: Request,
) -> Result<(Head, bool, Events), FailedRequest> {
    let now = Instant::now();
    let without_id = |refusal| (refusal, None);
    validate::check_accepting(state).map_err(without_id)?;
    let config = state.config();
    let workspace = validate::authenticate(&config, &request)
        .map_err(without_id)?
        .clone();
    let key = validate::idempotency_key(&request).map_err(without_id)?;
    let body = validate::read_body(state, &mut request)
        .await
        .map_err(without_id)?;
    let chat = Chat::parse(&body, state.settings.api.max_output).map_err(without_id)?;
    let class = validate::find_class(&config, &chat.model, Kind::Model).map_err(without_id)?;
    let job = validate::build_job(state, &workspace, class, key.as_deref(), &body, now);
    let id = job.id.clone();
    let open_request = validate::register(state, &id).map_err(|r| (r, Some(id.clone())))?;
    let head = Head {
        id,
        model: job.class.name.clone(),
        created: unix_ms(SystemTime::now()) / 1000,
        include_usage: chat.include_usage,
    };
    let stream = chat.stream;
    Ok((
        head,
        stream,
        chat::spawn(state.clone(), open_request, job, chat),
    ))
}

/// Collects the complete answer and responds with it.
async fn respond_whole(head: Head, mut events: Events) -> Response {
    let mut text = String::new();
    while let Some(event) = events.recv().await {
        match event {
            Event::Text(part) => text.push_str(&part),
            Event::Refused(refusal) => return refuse(&refusal, Some(&head.id)),
            Event::End {
                reason,
                prompt,
                output,
            } => {
                let id = head.id.clone();
                let body = head.completion(text, reason, UsageWire::new(prompt, output));
                let mut response = viz::types::Json(body).into_response();
                set_request_id(&mut response, &id);
                return response;
            }
        }
    }
    refuse(&task_failed(), Some(&head.id))
}

/// Responds with an event stream.
///
/// A refusal before the first event is an ordinary error response.
async fn respond_streamed(head: Head, mut events: Events) -> Response {
    let first = match events.recv().await {
        Some(Event::Refused(refusal)) => return refuse(&refusal, Some(&head.id)),
        Some(event) => event,
        None => return refuse(&task_failed(), Some(&head.id)),
    };
    let id = head.id.clone();
    let streaming = Streaming {
        head,
        events,
        next: Some(first),
        ended: false,
    };
    let chunks = stream::unfold(streaming, |mut streaming| async move {
        let bytes = streaming.next_bytes().await?;
        Some((Ok::<Bytes, Infallible>(bytes), streaming))
    });
    let mut response = Response::new(Body::from_stream(chunks));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(
        header::CACHE_CONTROL,
        header::HeaderValue::from_static("no-cache"),
    );
    set_request_id(&mut response, &id);
    response
}

fn task_failed() -> Refusal {
    Refusal::new(Code::BackendFailed).execution(Execution::Unknown)
}

fn set_request_id(response: &mut Response, id: &RequestId) {
    if let Ok(value) = header::HeaderValue::from_str(&id.0) {
        response.headers_mut().insert("x-request-id", value);
    }
}

/// The state of an event stream while it is sent.
struct Streaming {
    head: Head,
    events: Events,
    next: Option<Event>,
    ended: bool,
}

impl Streaming {
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let event = match self.next.take() {
            Some(event) => Some(event),
            None => self.events.recv().await,
        };
        let mut out = String::new();
        match event {
            Some(Event::Text(text)) => {
                push_event(&mut out, &self.head.chunk(Some(&text), None));
                // Text that is available already goes into the same write.
                self.append_available(&mut out);
            }
            Some(Event::End {
                reason,
                prompt,
                output,
            }) => {
                self.ended = true;
                push_event(&mut out, &self.head.chunk(None, Some(&reason)));
                if self.head.include_usage {
                    push_event(&mut out, &self.head.usage(UsageWire::new(prompt, output)));
                }
                out.push_str("data: [DONE]\n\n");
            }
            Some(Event::Refused(refusal)) => {
                self.ended = true;
                push_event(&mut out, &refusal.event());
            }
            None => {
                self.ended = true;
                push_event(&mut out, &task_failed().event());
            }
        }
        Some(out.into())
    }

    fn append_available(&mut self, out: &mut String) {
        while let Ok(event) = self.events.try_recv() {
            let Event::Text(text) = event else {
                self.next = Some(event);
                return;
            };
            push_event(out, &self.head.chunk(Some(&text), None));
        }
    }
}

fn push_event(out: &mut String, event: &impl Serialize) {
    out.push_str("data: ");
    out.push_str(&serde_json::to_string(event).expect("an event is plain data"));
    out.push_str("\n\n");
}

impl Head {
    fn chunk<'a>(&'a self, text: Option<&'a str>, reason: Option<&'a str>) -> ChunkWire<'a> {
        ChunkWire {
            id: &self.id.0,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices: vec![ChunkChoiceWire {
                index: 0,
                delta: DeltaWire { content: text },
                finish_reason: reason,
            }],
            usage: None,
        }
    }

    fn usage(&self, usage: UsageWire) -> ChunkWire<'_> {
        ChunkWire {
            choices: Vec::new(),
            usage: Some(usage),
            ..self.chunk(None, None)
        }
    }

    fn completion(self, text: String, reason: String, usage: UsageWire) -> CompletionWire {
        CompletionWire {
            id: self.id.0,
            object: "chat.completion",
            created: self.created,
            model: self.model,
            choices: vec![CompletionChoiceWire {
                index: 0,
                message: MessageWire {
                    role: "assistant",
                    content: text,
                },
                finish_reason: reason,
            }],
            usage,
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct ChunkWire<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<ChunkChoiceWire<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ChunkChoiceWire<'a> {
    index: u32,
    delta: DeltaWire<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct DeltaWire<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CompletionWire {
    id: Name,
    object: &'static str,
    created: u64,
    model: Name,
    choices: Vec<CompletionChoiceWire>,
    usage: UsageWire,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CompletionChoiceWire {
    index: u32,
    message: MessageWire,
    finish_reason: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct MessageWire {
    role: &'static str,
    content: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct UsageWire {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl UsageWire {
    fn new(prompt: u64, output: u64) -> Self {
        Self {
            prompt_tokens: prompt,
            completion_tokens: output,
            total_tokens: prompt + output,
        }
    }
}
