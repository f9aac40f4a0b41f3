//! Chat completions, streamed and whole.

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
use crate::flow::chat::{self, AnswerEvent, AnswerEvents};
use crate::flow::request::Chat;
use crate::refusal::{Code, Execution, Refusal};
use crate::request_trace::unix_ms;
use crate::state::State;

/// What the answer's head needs.
#[derive(Debug, Clone)]
struct Head {
    id: RequestId,
    model: Name,
    created: u64,
    usage: bool,
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn handle(state: Arc<State>, request: Request) -> Response {
    let (head, stream, pieces) = match start(&state, request).await {
        Ok(started) => started,
        Err((refusal, id)) => return refuse(&refusal, id.as_ref()),
    };
    if stream {
        streamed(head, pieces).await
    } else {
        whole(head, pieces).await
    }
}

type Failed = (Refusal, Option<RequestId>);

async fn start(
    state: &Arc<State>,
    mut request: Request,
) -> Result<(Head, bool, AnswerEvents), Failed> {
    let now = Instant::now();
    let early = |refusal| (refusal, None);
    validate::open(state).map_err(early)?;
    let config = state.config();
    let workspace = validate::workspace(&config, &request)
        .map_err(early)?
        .clone();
    let key = validate::key(&request).map_err(early)?;
    let body = validate::body(state, &mut request).await.map_err(early)?;
    let chat = Chat::read(&body, state.settings.api.max_output).map_err(early)?;
    let class = validate::class(&config, &chat.model, Kind::Model).map_err(early)?;
    let job = validate::job(state, &workspace, class, key.as_deref(), &body, now);
    let id = job.id.clone();
    let entry = validate::register(state, &id).map_err(|r| (r, Some(id.clone())))?;
    let head = Head {
        id,
        model: job.class.name.clone(),
        created: unix_ms(SystemTime::now()) / 1000,
        usage: chat.usage,
    };
    let stream = chat.stream;
    Ok((head, stream, chat::spawn(state.clone(), entry, job, chat)))
}

/// Waits for the whole answer.
async fn whole(head: Head, mut pieces: AnswerEvents) -> Response {
    let mut text = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            AnswerEvent::Text(more) => text.push_str(&more),
            AnswerEvent::Refused(refusal) => return refuse(&refusal, Some(&head.id)),
            AnswerEvent::End {
                reason,
                prompt,
                output,
            } => {
                let id = head.id.clone();
                let body = head.whole(text, reason, UsageWire::new(prompt, output));
                let mut response = viz::types::Json(body).into_response();
                mark(&mut response, &id);
                return response;
            }
        }
    }
    refuse(&broken(), Some(&head.id))
}

/// Answers with events; a refusal before the first is a plain refusal.
async fn streamed(head: Head, mut pieces: AnswerEvents) -> Response {
    let first = match pieces.recv().await {
        Some(AnswerEvent::Refused(refusal)) => return refuse(&refusal, Some(&head.id)),
        Some(piece) => piece,
        None => return refuse(&broken(), Some(&head.id)),
    };
    let id = head.id.clone();
    let start = Streaming {
        head,
        pieces,
        next: Some(first),
        over: false,
    };
    let events = stream::unfold(start, |mut streaming| async move {
        let bytes = streaming.event().await?;
        Some((Ok::<Bytes, Infallible>(bytes), streaming))
    });
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(
        header::CACHE_CONTROL,
        header::HeaderValue::from_static("no-cache"),
    );
    mark(&mut response, &id);
    response
}

fn broken() -> Refusal {
    Refusal::new(Code::BackendFailed).execution(Execution::Unknown)
}

fn mark(response: &mut Response, id: &RequestId) {
    if let Ok(value) = header::HeaderValue::from_str(&id.0) {
        response.headers_mut().insert("x-request-id", value);
    }
}

/// A stream of events that is being sent.
struct Streaming {
    head: Head,
    pieces: AnswerEvents,
    next: Option<AnswerEvent>,
    over: bool,
}

impl Streaming {
    async fn event(&mut self) -> Option<Bytes> {
        if self.over {
            return None;
        }
        let piece = match self.next.take() {
            Some(piece) => Some(piece),
            None => self.pieces.recv().await,
        };
        let mut out = String::new();
        match piece {
            Some(AnswerEvent::Text(text)) => {
                push(&mut out, &self.head.chunk(Some(&text), None));
                // What has come in the meantime goes out together.
                self.more(&mut out);
            }
            Some(AnswerEvent::End {
                reason,
                prompt,
                output,
            }) => {
                self.over = true;
                push(&mut out, &self.head.chunk(None, Some(&reason)));
                if self.head.usage {
                    push(&mut out, &self.head.usage(UsageWire::new(prompt, output)));
                }
                out.push_str("data: [DONE]\n\n");
            }
            Some(AnswerEvent::Refused(refusal)) => {
                self.over = true;
                push(&mut out, &refusal.event());
            }
            None => {
                self.over = true;
                push(&mut out, &broken().event());
            }
        }
        Some(out.into())
    }

    fn more(&mut self, out: &mut String) {
        while let Ok(piece) = self.pieces.try_recv() {
            let AnswerEvent::Text(text) = piece else {
                self.next = Some(piece);
                return;
            };
            push(out, &self.head.chunk(Some(&text), None));
        }
    }
}

fn push(out: &mut String, event: &impl Serialize) {
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

    fn whole(self, text: String, reason: String, usage: UsageWire) -> WholeWire {
        WholeWire {
            id: self.id.0,
            object: "chat.completion",
            created: self.created,
            model: self.model,
            choices: vec![WholeChoiceWire {
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
struct WholeWire {
    id: Name,
    object: &'static str,
    created: u64,
    model: Name,
    choices: Vec<WholeChoiceWire>,
    usage: UsageWire,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WholeChoiceWire {
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
