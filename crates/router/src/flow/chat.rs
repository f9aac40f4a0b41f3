//! A chat request from reservation to its last chunk.
//!
//! It runs in a task of its own. The caller's side only takes what comes
//! through a channel, so a slow caller never holds a backend server, and a
//! request with a key runs to its end though its caller vanished.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use poplar_base::http::Error as HttpError;
use poplar_core::bill::Answer;
use poplar_core::id::Name;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::backends::dispatch::{Ended, Placed, Work};
use crate::budget::bank::{Refused, Reservation};
use crate::flow::chunk::{Broken, Chunk, Reader};
use crate::flow::finish::{self, Finished, Sure};
use crate::flow::request::{Chat, Job, Message};
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{Entry, State};

/// Attempts of one request at the most.
const ATTEMPTS: usize = 4;
/// How long an engine may take to say what a lost request consumed.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a stream is taken for lost.
const SILENCE: Duration = Duration::from_secs(10);

/// What goes to the caller's side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Text of the answer.
    Text(String),
    /// The answer is whole, and billed.
    End {
        /// Why it ended: `stop` or `length`.
        reason: String,
        /// Prompt tokens.
        prompt: u64,
        /// Output tokens.
        output: u64,
    },
    /// It was refused, or broke after a part was sent.
    Refused(Refusal),
}

/// The caller's side of a running request.
pub type Pieces = mpsc::UnboundedReceiver<Piece>;

/// Starts a request; its pieces come through the channel.
///
/// The channel is bounded by the cap on output, which the class or the caller
/// sets.
pub fn spawn(state: Arc<State>, entry: Entry, job: Job, chat: Chat) -> Pieces {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let _entry = entry;
        let mut run = Attempted::new(state, job, chat, sender);
        if let Err(refusal) = run.whole().await {
            run.refuse(refusal);
        }
    });
    receiver
}

/// A request with what came of it so far.
struct Attempted {
    state: Arc<State>,
    job: Job,
    chat: Chat,
    sender: mpsc::UnboundedSender<Piece>,
    /// Text of the answer so far.
    text: String,
    /// Tokens of the answer so far.
    tokens: u64,
    first: Option<Instant>,
    reason: Option<String>,
    tried: Vec<Name>,
    /// Whether a backend server may have run it.
    ran: bool,
}

/// How one attempt ended.
enum Attempt {
    Whole {
        prompt: u64,
        output: u64,
    },
    /// Nothing ran there; another server may be tried.
    NotRun(String),
    /// It broke on the way.
    Lost(Broken),
    /// The caller is gone and has no key to come back with.
    Vanished,
}

impl Attempted {
    fn new(state: Arc<State>, job: Job, chat: Chat, sender: mpsc::UnboundedSender<Piece>) -> Self {
        Self {
            state,
            job,
            chat,
            sender,
            text: String::new(),
            tokens: 0,
            first: None,
            reason: None,
            tried: Vec::new(),
            ran: false,
        }
    }

    fn cap(&self) -> u64 {
        u64::from(self.chat.cap.unwrap_or(self.job.class.cap))
    }

    fn note(&self, step: &'static str, reason: impl std::fmt::Display) {
        self.state.journal.note(&self.job.id, step, reason);
    }

    fn refuse(&self, refusal: Refusal) {
        self.note("refused", &refusal);
        let (workspace, class) = (&self.job.workspace, &self.job.class.name);
        crate::metrics::refused(workspace, class, refusal.code);
        let now = crate::journal::unix_ms(std::time::SystemTime::now());
        let burn = &self.state.burn;
        burn.refused(workspace, class, refusal.code, false, now);
        let _ = self.sender.send(Piece::Refused(refusal));
    }

    async fn whole(&mut self) -> Result<(), Refusal> {
        if self.replay().await? {
            return Ok(());
        }
        let print = self.state.dispatch.print(&self.chat);
        for _ in 0..ATTEMPTS {
            let reservation = self.reserve().await?;
            let placed = self.place(print).await;
            let mut placed = match placed {
                Ok(placed) => placed,
                Err(refusal) => {
                    reservation.settle(0);
                    return Err(refusal);
                }
            };
            match self.attempt(&mut placed).await {
                Attempt::Whole { prompt, output } => {
                    placed.end(Ended::Whole(output), Instant::now());
                    return self.finish(reservation, prompt, output).await;
                }
                Attempt::NotRun(why) => {
                    self.note("not run", &why);
                    reservation.settle(0);
                }
                Attempt::Lost(why) => {
                    self.note("lost", &why);
                    self.ran = true;
                    self.settle_lost(&placed, reservation).await;
                    placed.end(Ended::Lost, Instant::now());
                }
                Attempt::Vanished => {
                    self.note("cancelled", "the caller is gone");
                    self.settle_lost(&placed, reservation).await;
                    return Ok(());
                }
            }
            self.tried.push(placed.server.clone());
        }
        Err(self.gave_up())
    }

    fn gave_up(&self) -> Refusal {
        let run = if self.ran {
            Execution::Ran
        } else {
            Execution::NotRun
        };
        Refusal::new(Code::BackendFailed)
            .run(run)
            .after(Duration::from_secs(1))
    }

    /// Gives the answer of an earlier run with the same key again.
    async fn replay(&mut self) -> Result<bool, Refusal> {
        if !self.job.id.is_keyed() {
            return Ok(false);
        }
        let key = poplar_core::bill::billed_key(&self.job.id);
        // While the table is down the run goes on; the bill's mark tells later.
        let Ok(row) = self.state.platform.row(key).await else {
            return Ok(false);
        };
        let Ok(Some(row)) = row.decode::<poplar_core::bill::BilledRow>() else {
            return Ok(false);
        };
        if row.body != self.job.body {
            return Err(Refusal::new(Code::KeyReused));
        }
        let Some(bill) = finish::earlier(&self.state, &self.job, &row).await else {
            let refusal = Refusal::new(Code::InProgress).run(Execution::Ran);
            return Err(refusal.after(Duration::from_secs(1)));
        };
        self.note("replayed", &row.batch);
        let answer = bill.answer.clone();
        let (text, reason) = answer.map_or_else(Default::default, |a| (a.text, a.reason));
        let _ = self.sender.send(Piece::Text(text));
        let _ = self.sender.send(Piece::End {
            reason,
            prompt: bill.prompt,
            output: bill.output,
        });
        Ok(true)
    }

    async fn reserve(&self) -> Result<Reservation, Refusal> {
        let worst = self.chat.prompt_bound() + self.cap() - self.tokens;
        let reserved = reserve(&self.state, &self.job, worst).await;
        reserved.map_err(|refusal| {
            if self.ran {
                refusal.run(Execution::Ran)
            } else {
                refusal
            }
        })
    }

    async fn place(&self, print: u64) -> Result<Placed, Refusal> {
        let work = Work {
            class: self.job.class.name.clone(),
            serves: self.job.class.serves.clone(),
            engine: true,
            workspace: self.job.workspace.clone(),
            priority: self.job.priority(),
            prompt: self.chat.prompt(),
            output: (self.cap() - self.tokens) as u32,
            first: self.job.class.first,
            finish: self.job.class.finish,
            arrived: self.job.arrived,
            repeat: true,
            tried: self.tried.clone(),
            print,
        };
        let placed = self.state.dispatch.place(work).await;
        let placed = placed.map_err(|refusal| {
            let run = if self.ran {
                Execution::Ran
            } else {
                Execution::NotRun
            };
            refusal.run(run)
        })?;
        self.note(
            "placed",
            format_args!("{}: {}", placed.server, placed.reason),
        );
        Ok(placed)
    }

    async fn attempt(&mut self, placed: &mut Placed) -> Attempt {
        let request = match self.request(placed) {
            Ok(request) => request,
            Err(why) => return Attempt::NotRun(why),
        };
        let sent = tokio::time::timeout(SILENCE, self.state.client.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(HttpError::Connect(why))) => {
                placed.end(Ended::Unreachable, Instant::now());
                return Attempt::NotRun(why);
            }
            Ok(Err(why)) => return Attempt::Lost(Broken::Lost(why.to_string())),
            Err(_) => return Attempt::Lost(Broken::Lost("silent".to_owned())),
        };
        if response.status() != StatusCode::OK {
            return refused(response, placed).await;
        }
        let id = self.job.id.clone();
        let mut reader = Reader::open(response.into_body(), &id.0, self.tokens);
        loop {
            let chunks = match tokio::time::timeout(SILENCE, reader.next()).await {
                Ok(Ok(chunks)) => chunks,
                Ok(Err(broken)) => return Attempt::Lost(broken),
                Err(_) => return Attempt::Lost(Broken::Lost("silent".to_owned())),
            };
            let now = Instant::now();
            for chunk in chunks {
                if let Some((prompt, output)) = self.take(chunk, placed, now) {
                    return Attempt::Whole { prompt, output };
                }
            }
            if self.sender.is_closed() && !self.job.id.is_keyed() {
                return Attempt::Vanished;
            }
        }
    }

    /// Takes a chunk; the usage ends the answer.
    fn take(&mut self, chunk: Chunk, placed: &mut Placed, now: Instant) -> Option<(u64, u64)> {
        match chunk {
            Chunk::Token(text) => {
                self.first.get_or_insert(now);
                self.tokens += 1;
                placed.progressed(1, now);
                self.text.push_str(&text);
                let _ = self.sender.send(Piece::Text(text));
            }
            Chunk::Finish(reason) => self.reason = Some(reason),
            Chunk::Usage { prompt, output } => return Some((prompt, output)),
        }
        // An engine that goes on past the cap is cut off there.
        (self.tokens > self.cap()).then(|| (self.chat.prompt_bound(), self.cap()))
    }

    fn request(&self, placed: &Placed) -> Result<Request<Full<Bytes>>, String> {
        let body = EngineWire {
            model: &self.job.class.serves,
            messages: &self.chat.messages,
            max_tokens: self.cap(),
            stream: true,
        };
        let bytes = serde_json::to_vec(&body).map_err(|e| e.to_string())?;
        let mut builder = Request::post(format!("http://{}/v1/chat/completions", placed.address))
            .header("content-type", "application/json")
            .header("x-request-id", self.job.id.0.as_ref())
            .header("x-workspace", self.job.workspace.as_ref())
            .header("x-fencing-number", self.state.router())
            .header("x-priority", u16::from(self.job.priority()));
        if self.tokens > 0 {
            builder = builder.header("x-resume-from", self.tokens);
        }
        builder.body(Full::from(bytes)).map_err(|e| e.to_string())
    }

    /// Settles an attempt that broke, with what the engine says it consumed.
    async fn settle_lost(&self, placed: &Placed, reservation: Reservation) {
        let url = format!("http://{}/v1/cancel", placed.address);
        let cancel = CancelWire {
            id: self.job.id.0.clone(),
        };
        let answer = self.state.client.post(&url, &cancel, CANCEL_TIMEOUT).await;
        let told: Option<CancelledWire> = answer.ok().and_then(|a| a.json().ok());
        match told.filter(|t| t.found) {
            Some(told) => reservation.settle(told.prompt + told.generated),
            // Nobody knows what it consumed, so that all of it is written off.
            None => drop(reservation),
        }
    }

    async fn finish(
        &mut self,
        reservation: Reservation,
        prompt: u64,
        output: u64,
    ) -> Result<(), Refusal> {
        let prompt = prompt.min(self.chat.prompt_bound());
        let output = output.min(self.cap());
        reservation.settle(prompt + output);
        let reason = self.reason.take().unwrap_or_else(|| "length".to_owned());
        let finished = Finished {
            prompt,
            output,
            first: self.first,
            whole: Instant::now(),
            answer: Answer {
                status: 200,
                text: std::mem::take(&mut self.text),
                reason: reason.clone(),
            },
        };
        let sure = finish::bill(&self.state, &self.job, &finished).await;
        self.note("finished", format_args!("{sure:?}"));
        if sure == Sure::Sealed {
            // The tokens stay counted; nobody is billed for this run.
            return Err(Refusal::new(Code::Unready).run(Execution::Ran));
        }
        crate::metrics::answered(&self.job, &finished);
        let _ = self.sender.send(Piece::End {
            reason,
            prompt,
            output,
        });
        Ok(())
    }
}

/// Reserves the worst case of a job, or says why it can't.
pub async fn reserve(state: &Arc<State>, job: &Job, worst: u64) -> Result<Reservation, Refusal> {
    let reserved = state.bank.reserve(&job.budget, worst, state.router()).await;
    reserved.map_err(|refused| {
        let refusal = match refused {
            Refused::Missing => Refusal::new(Code::Exhausted),
            Refused::Exhausted { .. } => {
                Refusal::new(Code::Exhausted).after(Duration::from_secs(5))
            }
            Refused::Down => Refusal::new(Code::NoGrant).after(Duration::from_secs(2)),
            Refused::Sealed => {
                state.seal();
                Refusal::new(Code::Unready).after(Duration::from_secs(1))
            }
        };
        refusal.detail(refused)
    })
}

async fn refused(response: http::Response<hyper::body::Incoming>, placed: &mut Placed) -> Attempt {
    let status = response.status();
    let body = tokio::time::timeout(SILENCE, response.into_body().collect()).await;
    let bytes = body.ok().and_then(Result::ok).map(|b| b.to_bytes());
    let code = bytes.and_then(|b| serde_json::from_slice::<RefusedWire>(&b).ok());
    let code = code.map_or_else(String::new, |r| r.error.code);
    let ended = match code.as_str() {
        "leaving" => Ended::Leaving,
        "full" => Ended::Full,
        "fenced" => Ended::Fenced,
        _ => return Attempt::Lost(Broken::Malformed(format!("status {status}"))),
    };
    placed.end(ended, Instant::now());
    Attempt::NotRun(code)
}

#[derive(Debug, Serialize)]
struct EngineWire<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u64,
    stream: bool,
}

#[derive(Debug, Serialize)]
struct CancelWire {
    id: Name,
}

#[derive(Debug, Deserialize)]
struct CancelledWire {
    found: bool,
    prompt: u64,
    generated: u64,
}

#[derive(Debug, Deserialize)]
struct RefusedWire {
    error: CodeWire,
}

#[derive(Debug, Deserialize)]
struct CodeWire {
    code: String,
}
