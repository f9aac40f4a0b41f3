//! Runs a chat request, from the reservation of tokens to the last chunk.
//!
//! The request runs in a task of its own and passes the answer on through a
//! channel. A slow caller thus never occupies a backend server, and a request
//! with an idempotency key completes even if its caller disconnects.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
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
use crate::flow::billing::{self, BillState, CompletedRequest};
use crate::flow::chunk::{Chunk, ChunkReader, StreamError};
use crate::flow::refusals::{read_failure, record_refusal};
use crate::flow::replay;
use crate::flow::request::{Chat, Job, Message};
use crate::refusal::{Code, Execution, Refusal};
use crate::state::{OpenRequest, State};

/// Time-out for asking an engine what a failed request consumed.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without data after which a stream counts as timed out.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Waits before each check whether a server crashed while it ran a request.
const CRASH_CHECK_WAITS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];
/// Wait before a stream is resumed whose connection was lost after its start.
const RESUME_BACKOFF: Duration = Duration::from_millis(250);
/// Retry-After if backend servers failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a running request sends to the caller's side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Text of the answer.
    Text(String),
    /// The answer is complete and billed.
    End {
        /// Why it ended: `stop` or `length`.
        reason: String,
        /// Prompt tokens.
        prompt: u64,
        /// Output tokens.
        output: u64,
    },
    /// The request was refused, or failed after part of the answer was sent.
    Refused(Refusal),
}

/// The caller's side of a running request.
pub type Events = mpsc::UnboundedReceiver<Event>;

/// Starts a request and returns the channel with its events.
///
/// The output cap of the class or the caller bounds what the channel holds.
pub fn spawn(state: Arc<State>, open_request: OpenRequest, job: Job, chat: Chat) -> Events {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let _guard = open_request;
        let mut run = ChatRun::new(state, job, chat, sender);
        if let Err(refusal) = run.run().await {
            run.refuse(refusal);
        }
    });
    receiver
}

/// A running request and its progress so far.
struct ChatRun {
    state: Arc<State>,
    job: Job,
    chat: Chat,
    block_hashes: Arc<BlockHashes>,
    fingerprint: Fingerprint,
    sender: mpsc::UnboundedSender<Event>,
    text: String,
    /// Output tokens received so far.
    tokens: u64,
    first_token: Option<Instant>,
    /// Why the answer ended, as the engine says.
    reason: Option<String>,
    tried: Vec<Name>,
    sends: u32,
    /// Sends after which the server may have run the request.
    runs: u32,
}

/// How one attempt ended.
enum Outcome {
    Completed {
        prompt: u64,
        output: u64,
    },
    Failed(Failure),
    /// The caller disconnected and has no idempotency key to retry with.
    Disconnected,
}

impl ChatRun {
    fn new(state: Arc<State>, job: Job, chat: Chat, sender: mpsc::UnboundedSender<Event>) -> Self {
        Self {
            block_hashes: Arc::new(chat.block_hashes()),
            fingerprint: chat.fingerprint(),
            state,
            job,
            chat,
            sender,
            text: String::new(),
            tokens: 0,
            first_token: None,
            reason: None,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
        }
    }

    fn output_cap(&self) -> u64 {
        u64::from(self.chat.cap.unwrap_or(self.job.class.output_cap))
    }

    /// Whether the request ran, for a refusal.
    fn execution(&self) -> Execution {
        match self.runs {
            0 => Execution::NotRun,
            _ if self.tokens > 0 => Execution::Ran,
            _ => Execution::Unknown,
        }
    }

    fn trace(&self, step: &'static str, reason: impl std::fmt::Display) {
        self.state.trace.record(&self.job.id, step, reason);
    }

    fn refuse(&self, refusal: Refusal) {
        record_refusal(&self.state, &self.job, &refusal);
        let _ = self.sender.send(Event::Refused(refusal));
    }

    async fn run(&mut self) -> Result<(), Refusal> {
        if self.replay().await? {
            return Ok(());
        }
        loop {
            self.check_crashes()?;
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
                Outcome::Completed { prompt, output } => {
                    placed.finish(AttemptResult::Completed(output), Instant::now());
                    return self.finish(reservation, prompt, output).await;
                }
                Outcome::Disconnected => {
                    self.trace("cancelled", "the caller disconnected");
                    self.settle_failed(&placed, reservation).await;
                    return Ok(());
                }
                Outcome::Failed(failure) => failure,
            };
            self.trace("failed", format_args!("{}: {failure}", placed.server));
            placed.finish(AttemptResult::Failed(failure), Instant::now());
            if failure.not_run() {
                reservation.release();
            } else {
                self.runs += 1;
                self.check_server(&placed, failure).await;
                self.settle_failed(&placed, reservation).await;
            }
            self.wait_to_retry(&placed, failure).await?;
            self.tried.push(placed.server.clone());
        }
    }

    /// Refuses a request whose prompt crashed servers of this router or its peers.
    fn check_crashes(&self) -> Result<(), Refusal> {
        match self
            .state
            .crashes
            .refusal_reason(self.fingerprint, Instant::now())
        {
            Some(why) => Err(Refusal::new(Code::CrashesBackends)
                .execution(self.execution())
                .detail(why)),
            None => Ok(()),
        }
    }

    /// Records a lost connection and checks whether the server has crashed.
    async fn check_server(&self, placed: &Placement, failure: Failure) {
        if failure != Failure::Lost {
            return;
        }
        let crashes = &self.state.crashes;
        crashes.record_lost_connection(self.fingerprint, &placed.server, Instant::now());
        let servers = self.state.dispatcher.server_statuses();
        let Some(server) = servers.iter().find(|s| s.name == placed.server) else {
            return;
        };
        // A crashing process may keep its listening socket open for a moment.
        for wait in CRASH_CHECK_WAITS {
            tokio::time::sleep(wait).await;
            if monitor::poll_load(&self.state, server).await == Liveness::Dead {
                return;
            }
        }
    }

    /// Least wait before the request is sent again; the retry decision may be longer.
    ///
    /// Most requests that crash servers do so at their start. One with output waits
    /// longer, so as not to run beside the request at fault again and be blamed too.
    fn backoff(&self, placed: &Placement, failure: Failure) -> Duration {
        if failure == Failure::Lost && self.tokens > 0 {
            RESUME_BACKOFF
        } else if self.tried.contains(&placed.server) {
            SAME_SERVER_BACKOFF
        } else {
            Duration::ZERO
        }
    }

    /// Waits until the request may be sent again; an error if it may not.
    async fn wait_to_retry(&mut self, placed: &Placement, failure: Failure) -> Result<(), Refusal> {
        let attempt = Attempt {
            repeatable: true,
            resumable: true,
            received: self.tokens as u32,
            sends: self.sends,
            runs: self.runs,
            send_by: self.job.arrived + self.job.class.finish_target * DEADLINE_FACTOR,
        };
        let dispatcher = &self.state.dispatcher;
        match dispatcher.decide_retry(placed, failure, &attempt, Instant::now()) {
            RetryDecision::Send { delay: after, .. } => {
                crate::metrics::count_retry(&self.job.class.name);
                tokio::time::sleep(after.max(self.backoff(placed, failure))).await;
                Ok(())
            }
            RetryDecision::GiveUp { reason, .. } => Err(Refusal::new(Code::BackendFailed)
                .execution(self.execution())
                .retry_after(FAILED_RETRY_AFTER)
                .detail(reason)),
        }
    }

    /// Replays the answer of an earlier run with the same idempotency key, if any.
    async fn replay(&mut self) -> Result<bool, Refusal> {
        let Some(bill) = replay::find_earlier_bill(&self.state, &self.job).await? else {
            return Ok(false);
        };
        let answer = bill.answer.unwrap_or_default();
        let _ = self.sender.send(Event::Text(answer.text));
        let _ = self.sender.send(Event::End {
            reason: answer.reason,
            prompt: bill.prompt,
            output: bill.output,
        });
        Ok(true)
    }

    async fn reserve(&self) -> Result<Reservation, Refusal> {
        let worst = self.chat.max_prompt() + self.output_cap() - self.tokens;
        let reserved = reserve(&self.state, &self.job, worst).await;
        reserved.map_err(|refusal| refusal.execution(self.execution()))
    }

    async fn place(&self) -> Result<Placement, Refusal> {
        let request = DispatchRequest {
            class: self.job.class.name.clone(),
            serves: self.job.class.serves.clone(),
            engine: true,
            workspace: self.job.workspace.clone(),
            priority: self.job.priority(),
            block_hashes: self.block_hashes.clone(),
            prompt: self.chat.estimated_prompt(),
            output_cap: (self.output_cap() - self.tokens) as u32,
            first_target: self.job.class.first_target,
            finish_target: self.job.class.finish_target,
            arrived: self.job.arrived,
            repeatable: true,
            tried: self.tried.clone(),
            is_resend: self.sends > 0,
        };
        let placed = self.state.dispatcher.place(request).await;
        let placed = placed.map_err(|refusal| refusal.execution(self.execution()))?;
        self.trace(
            "placed",
            format_args!("{}: {}", placed.server, placed.reason),
        );
        Ok(placed)
    }

    async fn attempt(&mut self, placed: &mut Placement) -> Outcome {
        let Ok(request) = self.request(placed) else {
            return Outcome::Failed(Failure::Connect);
        };
        let sent = tokio::time::timeout(IDLE_TIMEOUT, self.state.client.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(HttpError::Connect { .. })) => return Outcome::Failed(Failure::Connect),
            Ok(Err(_)) => return Outcome::Failed(Failure::Lost),
            Err(_) => return Outcome::Failed(Failure::Timeout),
        };
        if response.status() != StatusCode::OK {
            return Outcome::Failed(read_failure(response, IDLE_TIMEOUT).await);
        }
        let id = self.job.id.clone();
        let mut reader = ChunkReader::open(response.into_body(), &id.0, self.tokens);
        loop {
            let chunks = tokio::select! {
                chunks = tokio::time::timeout(IDLE_TIMEOUT, reader.next()) => chunks,
                () = self.sender.closed(), if !id.is_keyed() => return Outcome::Disconnected,
            };
            let chunks = match chunks {
                Ok(Ok(chunks)) => chunks,
                Ok(Err(StreamError::Lost(_))) => return Outcome::Failed(Failure::Lost),
                Ok(Err(StreamError::Malformed(_))) => {
                    return Outcome::Failed(Failure::Garbled);
                }
                Err(_) => return Outcome::Failed(Failure::Timeout),
            };
            let now = Instant::now();
            for chunk in chunks {
                if let Some((prompt, output)) = self.accept(chunk, placed, now) {
                    return Outcome::Completed { prompt, output };
                }
            }
        }
    }

    /// Processes a chunk; returns the token counts at the end of the answer.
    fn accept(&mut self, chunk: Chunk, placed: &mut Placement, now: Instant) -> Option<(u64, u64)> {
        match chunk {
            Chunk::Token(text) => {
                self.first_token.get_or_insert(now);
                self.tokens += 1;
                placed.record_progress(1, now);
                self.text.push_str(&text);
                let _ = self.sender.send(Event::Text(text));
            }
            Chunk::Finish(reason) => self.reason = Some(reason),
            Chunk::Usage { prompt, output } => return Some((prompt, output)),
        }
        // An engine that exceeds the output cap is cut off there.
        (self.tokens > self.output_cap()).then(|| (self.chat.max_prompt(), self.output_cap()))
    }

    fn request(&self, placed: &Placement) -> Result<Request<Full<Bytes>>, String> {
        let body = EngineWire {
            model: &self.job.class.serves,
            messages: &self.chat.messages,
            max_tokens: self.output_cap(),
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

    /// Settles a failed attempt with what the engine reports as consumed.
    async fn settle_failed(&self, placed: &Placement, reservation: Reservation) {
        let url = format!("http://{}/v1/cancel", placed.address);
        let cancel = CancelWire {
            id: self.job.id.0.clone(),
        };
        let answer = self.state.client.post(&url, &cancel, CANCEL_TIMEOUT).await;
        let report: Option<CancelledWire> = answer.ok().and_then(|a| a.json().ok());
        match report.filter(|r| r.found) {
            Some(report) => reservation.write_off(report.prompt + report.generated),
            // The consumption is unknown, so the whole reservation is written off.
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
        let output = output.min(self.output_cap());
        reservation.settle(prompt + output);
        let reason = self.reason.take().unwrap_or_else(|| "length".to_owned());
        let completed = CompletedRequest {
            prompt,
            output,
            first_token: self.first_token,
            completed_at: Instant::now(),
            answer: Answer {
                status: 200,
                text: std::mem::take(&mut self.text),
                reason: reason.clone(),
            },
        };
        let bill_state = billing::bill(&self.state, &self.job, &completed).await;
        self.trace("finished", format_args!("{bill_state:?}"));
        if bill_state == BillState::Sealed {
            // The tokens stay counted as spent, but no bill is written for this run.
            return Err(Refusal::new(Code::Unready).execution(Execution::Ran));
        }
        crate::metrics::count_answer(&self.job, &completed);
        let _ = self.sender.send(Event::End {
            reason,
            prompt,
            output,
        });
        Ok(())
    }
}

/// Reserves `tokens`, the most that the job can consume.
pub async fn reserve(state: &Arc<State>, job: &Job, tokens: u64) -> Result<Reservation, Refusal> {
    let reserved = state
        .budgets
        .reserve(&job.budget, tokens, state.row_version())
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
        refusal.false_refusal = state.budgets.would_cover(&job.budget, tokens);
        refusal
    })
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
