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
use poplar_core::poison::Fingerprint;
use poplar_core::prefix::BlockHashes;
use poplar_core::retry::{Attempt, Failure, RetryDecision};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::backends::dispatch::{
    AttemptResult, DEADLINE_FACTOR, DispatchRequest, Placement, SAME_SERVER_BACKOFF,
};
use crate::backends::monitor::{self, Liveness};
use crate::budget::manager::BudgetError;
use crate::budget::reservation::Reservation;
use crate::flow::billing::{self, BillState, Completion};
use crate::flow::chunk::{Chunk, ChunkReader, StreamError};
use crate::flow::refusals::{failure_of, record_refusal};
use crate::flow::replay;
use crate::flow::request::{Chat, Job, Message};
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{OpenRequest, State};

/// How long an engine may take to say what a lost request consumed.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a stream is taken for lost.
const SILENCE: Duration = Duration::from_secs(10);
/// Waits before each look whether a server died of a request.
const SUSPECT_WAITS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];
/// How long a stream that was lost on its way stands back.
const BYSTANDER_WAIT: Duration = Duration::from_millis(250);
/// When to come back after backend servers failed.
const FAILED_AFTER: Duration = Duration::from_secs(1);

/// What goes to the caller's side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
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
pub type AnswerEvents = mpsc::UnboundedReceiver<AnswerEvent>;

/// Starts a request; its pieces come through the channel.
///
/// The channel is bounded by the cap on output, which the class or the caller
/// sets.
pub fn spawn(state: Arc<State>, entry: OpenRequest, job: Job, chat: Chat) -> AnswerEvents {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let _entry = entry;
        let mut run = Running::new(state, job, chat, sender);
        if let Err(refusal) = run.whole().await {
            run.refuse(refusal);
        }
    });
    receiver
}

/// A request with what came of it so far.
struct Running {
    state: Arc<State>,
    job: Job,
    chat: Chat,
    chain: Arc<BlockHashes>,
    print: Fingerprint,
    sender: mpsc::UnboundedSender<AnswerEvent>,
    /// Text of the answer so far.
    text: String,
    /// Tokens of the answer so far.
    tokens: u64,
    first: Option<Instant>,
    reason: Option<String>,
    tried: Vec<Name>,
    /// Sends so far.
    sends: u32,
    /// Sends that may have run.
    runs: u32,
}

/// How one attempt ended.
enum Attempted {
    Whole {
        prompt: u64,
        output: u64,
    },
    Failed(Failure),
    /// The caller is gone and has no key to come back with.
    Vanished,
}

impl Running {
    fn new(
        state: Arc<State>,
        job: Job,
        chat: Chat,
        sender: mpsc::UnboundedSender<AnswerEvent>,
    ) -> Self {
        Self {
            chain: Arc::new(chat.block_hashes()),
            print: chat.fingerprint(),
            state,
            job,
            chat,
            sender,
            text: String::new(),
            tokens: 0,
            first: None,
            reason: None,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
        }
    }

    fn cap(&self) -> u64 {
        u64::from(self.chat.cap.unwrap_or(self.job.class.output_cap))
    }

    /// Whether it ran, as far as a refusal can say.
    fn ran(&self) -> Execution {
        match self.runs {
            0 => Execution::NotRun,
            _ if self.tokens > 0 => Execution::Ran,
            _ => Execution::Unknown,
        }
    }

    fn note(&self, step: &'static str, reason: impl std::fmt::Display) {
        self.state.trace.record(&self.job.id, step, reason);
    }

    fn refuse(&self, refusal: Refusal) {
        record_refusal(&self.state, &self.job, &refusal);
        let _ = self.sender.send(AnswerEvent::Refused(refusal));
    }

    async fn whole(&mut self) -> Result<(), Refusal> {
        if self.replay().await? {
            return Ok(());
        }
        loop {
            self.check_poison()?;
            let reservation = self.reserve().await?;
            let mut placed = match self.place().await {
                Ok(placed) => placed,
                Err(refusal) => {
                    reservation.release();
                    return Err(refusal);
                }
            };
            self.sends += 1;
            let failure = match self.attempt(&mut placed).await {
                Attempted::Whole { prompt, output } => {
                    placed.finish(AttemptResult::Completed(output), Instant::now());
                    return self.finish(reservation, prompt, output).await;
                }
                Attempted::Vanished => {
                    self.note("cancelled", "the caller is gone");
                    self.settle_lost(&placed, reservation).await;
                    return Ok(());
                }
                Attempted::Failed(failure) => failure,
            };
            self.note("failed", format_args!("{}: {failure}", placed.server));
            placed.finish(AttemptResult::Failed(failure), Instant::now());
            if failure.not_run() {
                reservation.release();
            } else {
                self.runs += 1;
                self.suspect(&placed, failure).await;
                self.settle_lost(&placed, reservation).await;
            }
            self.again(&placed, failure).await?;
            self.tried.push(placed.server.clone());
        }
    }

    /// Refuses a request that crashed backend servers, here or elsewhere.
    fn check_poison(&self) -> Result<(), Refusal> {
        match self
            .state
            .crashes
            .refusal_reason(self.print, Instant::now())
        {
            Some(why) => Err(Refusal::new(Code::CrashesBackends)
                .execution(self.ran())
                .detail(why)),
            None => Ok(()),
        }
    }

    /// Notes a lost connection, and looks whether the server is dead.
    async fn suspect(&self, placed: &Placement, failure: Failure) {
        if failure != Failure::Lost {
            return;
        }
        let crashes = &self.state.crashes;
        crashes.record_lost_connection(self.print, &placed.server, Instant::now());
        let seen = self.state.dispatcher.server_statuses();
        let Some(server) = seen.iter().find(|s| s.name == placed.server) else {
            return;
        };
        // A process that dies may listen for a moment still.
        for wait in SUSPECT_WAITS {
            tokio::time::sleep(wait).await;
            if monitor::poll_load(&self.state, server).await == Liveness::Dead {
                return;
            }
        }
    }

    /// Wait before it is sent again, the retry budget apart.
    ///
    /// A request that crashes servers mostly does so at its start. One that had
    /// got further stands back, so that it is not on the next server with it
    /// and taken for the cause.
    fn pause(&self, placed: &Placement, failure: Failure) -> Duration {
        if failure == Failure::Lost && self.tokens > 0 {
            BYSTANDER_WAIT
        } else if self.tried.contains(&placed.server) {
            SAME_SERVER_BACKOFF
        } else {
            Duration::ZERO
        }
    }

    /// Waits until it may be sent again, or says why it may not.
    async fn again(&mut self, placed: &Placement, failure: Failure) -> Result<(), Refusal> {
        let attempt = Attempt {
            repeatable: true,
            resumable: true,
            received: self.tokens as u32,
            sends: self.sends,
            runs: self.runs,
            send_by: self.job.arrived + self.job.class.finish_target * DEADLINE_FACTOR,
        };
        let dispatch = &self.state.dispatcher;
        match dispatch.next_step(placed, failure, &attempt, Instant::now()) {
            RetryDecision::Send { delay: after, .. } => {
                crate::metrics::count_retry(&self.job.class.name);
                tokio::time::sleep(after.max(self.pause(placed, failure))).await;
                Ok(())
            }
            RetryDecision::GiveUp { reason, .. } => Err(Refusal::new(Code::BackendFailed)
                .execution(self.ran())
                .retry_after(FAILED_AFTER)
                .detail(reason)),
        }
    }

    /// Gives the answer of an earlier run with the same key again.
    async fn replay(&mut self) -> Result<bool, Refusal> {
        let Some(bill) = replay::find_earlier_bill(&self.state, &self.job).await? else {
            return Ok(false);
        };
        let answer = bill.answer.unwrap_or_default();
        let _ = self.sender.send(AnswerEvent::Text(answer.text));
        let _ = self.sender.send(AnswerEvent::End {
            reason: answer.reason,
            prompt: bill.prompt,
            output: bill.output,
        });
        Ok(true)
    }

    async fn reserve(&self) -> Result<Reservation, Refusal> {
        let worst = self.chat.max_prompt() + self.cap() - self.tokens;
        let reserved = reserve(&self.state, &self.job, worst).await;
        reserved.map_err(|refusal| refusal.execution(self.ran()))
    }

    async fn place(&self) -> Result<Placement, Refusal> {
        let work = DispatchRequest {
            class: self.job.class.name.clone(),
            serves: self.job.class.serves.clone(),
            engine: true,
            workspace: self.job.workspace.clone(),
            priority: self.job.priority(),
            chain: self.chain.clone(),
            prompt: self.chat.estimated_prompt(),
            output: (self.cap() - self.tokens) as u32,
            first: self.job.class.first_target,
            finish: self.job.class.finish_target,
            arrived: self.job.arrived,
            repeat: true,
            tried: self.tried.clone(),
            again: self.sends > 0,
        };
        let placed = self.state.dispatcher.place(work).await;
        let placed = placed.map_err(|refusal| refusal.execution(self.ran()))?;
        self.note(
            "placed",
            format_args!("{}: {}", placed.server, placed.reason),
        );
        Ok(placed)
    }

    async fn attempt(&mut self, placed: &mut Placement) -> Attempted {
        let Ok(request) = self.request(placed) else {
            return Attempted::Failed(Failure::Connect);
        };
        let sent = tokio::time::timeout(SILENCE, self.state.client.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(HttpError::Connect { .. })) => return Attempted::Failed(Failure::Connect),
            Ok(Err(_)) => return Attempted::Failed(Failure::Lost),
            Err(_) => return Attempted::Failed(Failure::Timeout),
        };
        if response.status() != StatusCode::OK {
            return Attempted::Failed(refused(response).await);
        }
        let id = self.job.id.clone();
        let mut reader = ChunkReader::open(response.into_body(), &id.0, self.tokens);
        loop {
            let chunks = tokio::select! {
                chunks = tokio::time::timeout(SILENCE, reader.next()) => chunks,
                () = self.sender.closed(), if !id.is_keyed() => return Attempted::Vanished,
            };
            let chunks = match chunks {
                Ok(Ok(chunks)) => chunks,
                Ok(Err(StreamError::Lost(_))) => return Attempted::Failed(Failure::Lost),
                Ok(Err(StreamError::Malformed(_))) => return Attempted::Failed(Failure::Garbled),
                Err(_) => return Attempted::Failed(Failure::Timeout),
            };
            let now = Instant::now();
            for chunk in chunks {
                if let Some((prompt, output)) = self.take(chunk, placed, now) {
                    return Attempted::Whole { prompt, output };
                }
            }
        }
    }

    /// Takes a chunk; the usage ends the answer.
    fn take(&mut self, chunk: Chunk, placed: &mut Placement, now: Instant) -> Option<(u64, u64)> {
        match chunk {
            Chunk::Token(text) => {
                self.first.get_or_insert(now);
                self.tokens += 1;
                placed.record_progress(1, now);
                self.text.push_str(&text);
                let _ = self.sender.send(AnswerEvent::Text(text));
            }
            Chunk::Finish(reason) => self.reason = Some(reason),
            Chunk::Usage { prompt, output } => return Some((prompt, output)),
        }
        // An engine that goes on past the cap is cut off there.
        (self.tokens > self.cap()).then(|| (self.chat.max_prompt(), self.cap()))
    }

    fn request(&self, placed: &Placement) -> Result<Request<Full<Bytes>>, String> {
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
            .header("x-fencing-number", self.state.row_version())
            .header("x-priority", u16::from(placed.priority));
        if self.tokens > 0 {
            builder = builder.header("x-resume-from", self.tokens);
        }
        builder.body(Full::from(bytes)).map_err(|e| e.to_string())
    }

    /// Settles an attempt that broke, with what the engine says it consumed.
    async fn settle_lost(&self, placed: &Placement, reservation: Reservation) {
        let url = format!("http://{}/v1/cancel", placed.address);
        let cancel = CancelWire {
            id: self.job.id.0.clone(),
        };
        let answer = self.state.client.post(&url, &cancel, CANCEL_TIMEOUT).await;
        let told: Option<CancelledWire> = answer.ok().and_then(|a| a.json().ok());
        match told.filter(|t| t.found) {
            Some(told) => reservation.write_off(told.prompt + told.generated),
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
        let prompt = prompt.min(self.chat.max_prompt());
        let output = output.min(self.cap());
        reservation.settle(prompt + output);
        let reason = self.reason.take().unwrap_or_else(|| "length".to_owned());
        let finished = Completion {
            prompt,
            output,
            first_token_at: self.first,
            completed_at: Instant::now(),
            answer: Answer {
                status: 200,
                text: std::mem::take(&mut self.text),
                reason: reason.clone(),
            },
        };
        let sure = billing::bill(&self.state, &self.job, &finished).await;
        self.note("finished", format_args!("{sure:?}"));
        if sure == BillState::Sealed {
            // The tokens stay counted; nobody is billed for this run.
            return Err(Refusal::new(Code::Unready).execution(Execution::Ran));
        }
        crate::metrics::count_answer(&self.job, &finished);
        let _ = self.sender.send(AnswerEvent::End {
            reason,
            prompt,
            output,
        });
        Ok(())
    }
}

/// Reserves the worst case of a job, or says why it can't.
pub async fn reserve(state: &Arc<State>, job: &Job, worst: u64) -> Result<Reservation, Refusal> {
    let reserved = state
        .budgets
        .reserve(&job.budget, worst, state.row_version())
        .await;
    reserved.map_err(|refused| {
        let refusal = match refused {
            BudgetError::NotFound => Refusal::new(Code::BudgetExhausted),
            BudgetError::Exhausted { .. } => {
                Refusal::new(Code::BudgetExhausted).retry_after(Duration::from_secs(5))
            }
            BudgetError::Unreachable | BudgetError::ExposureLimit => {
                Refusal::new(Code::NoGrant).retry_after(Duration::from_secs(2))
            }
            BudgetError::Sealed => {
                state.mark_sealed();
                Refusal::new(Code::Unready).retry_after(Duration::from_secs(1))
            }
        };
        let mut refusal = refusal.detail(refused);
        refusal.false_refusal = state.budgets.would_cover(&job.budget, worst);
        refusal
    })
}

/// What an engine's answer without a stream means.
async fn refused(response: http::Response<hyper::body::Incoming>) -> Failure {
    let body = tokio::time::timeout(SILENCE, response.into_body().collect()).await;
    let bytes = body.ok().and_then(Result::ok).map(|b| b.to_bytes());
    bytes.map_or(Failure::Lost, |bytes| failure_of(&bytes))
}

#[derive(Debug)]
#[derive(Serialize)]
struct EngineWire<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u64,
    stream: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CancelWire {
    id: Name,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CancelledWire {
    found: bool,
    prompt: u64,
    generated: u64,
}
