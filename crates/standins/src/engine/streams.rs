//! Delivery of answers to callers, as a stream of events or as one response.
//!
//! Applies the configured faults: delayed chunks and cut connections.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{Stream, stream};
use http::Response;
use serde_json::json;
use tokio::sync::mpsc;

use super::Context;
use super::batch::{Job, SubmissionId};
use super::chunks::ChunkEncoder;
use super::state::TimedOutput;
use super::text;
use crate::reply::{self, Body, ConnectionCut};
use crate::shared::pause;

/// Delay before a connection is cut, so that earlier chunks reach the caller.
const FLUSH_TIME: Duration = Duration::from_millis(2);

/// The outputs of one submission. Dropping it removes the submission from the
/// engine.
pub(super) struct Outputs {
    context: Context,
    submission_id: SubmissionId,
    receiver: mpsc::UnboundedReceiver<TimedOutput>,
}

impl Outputs {
    pub(super) fn new(
        context: Context,
        submission_id: SubmissionId,
        receiver: mpsc::UnboundedReceiver<TimedOutput>,
    ) -> Self {
        context.state.lock().open_answers += 1;
        Self {
            context,
            submission_id,
            receiver,
        }
    }

    /// Waits for the next output and applies the configured delay. Returns `None`
    /// once the submission has been cancelled.
    async fn next(&mut self) -> Option<TimedOutput> {
        let timed = self.receiver.recv().await?;
        let delay = self.context.state.lock().switches.faults.chunk_delay;
        let due = timed.at + delay;
        pause(due.saturating_duration_since(Instant::now())).await;
        Some(timed)
    }
}

impl Drop for Outputs {
    fn drop(&mut self) {
        let mut state = self.context.state.lock();
        state.open_answers -= 1;
        state.remove(self.submission_id, Instant::now());
        // This may have been the last answer that a drain was waiting for.
        self.context.wake.notify_one();
    }
}

/// State of one streamed answer.
struct AnswerStream {
    outputs: Outputs,
    encoder: ChunkEncoder,
    tokens: u64,
    ended: bool,
}

/// Answers `job` with a stream of server-sent events.
pub(super) fn stream_answer(outputs: Outputs, job: &Job) -> Response<Body> {
    let answer = AnswerStream {
        outputs,
        encoder: ChunkEncoder::new(job),
        tokens: 0,
        ended: false,
    };
    reply::event_stream(chunk_stream(answer))
}

fn chunk_stream(answer: AnswerStream) -> impl Stream<Item = Result<Bytes, ConnectionCut>> + Send {
    stream::unfold(answer, |mut answer| async move {
        let chunk = answer.next().await?;
        Some((chunk, answer))
    })
}

impl AnswerStream {
    async fn next(&mut self) -> Option<Result<Bytes, ConnectionCut>> {
        if self.take_cut() {
            tokio::time::sleep(FLUSH_TIME).await;
            return Some(Err(ConnectionCut));
        }
        while !self.ended {
            // The answer of a cancelled request is incomplete, so its connection
            // is cut rather than closed.
            let Some(timed) = self.outputs.next().await else {
                self.ended = true;
                return Some(Err(ConnectionCut));
            };
            self.ended = timed.output.done;
            self.tokens += u64::from(timed.output.token.is_some());
            let faults = self.outputs.context.state.lock().switches.faults;
            let chunks = self.encoder.encode(timed.output, faults);
            if !chunks.is_empty() {
                return Some(Ok(chunks.into()));
            }
        }
        None
    }

    fn take_cut(&mut self) -> bool {
        let mut state = self.outputs.context.state.lock();
        let cut = !self.ended && self.tokens > 0 && state.switches.take_cut(self.tokens);
        state.counts.totals.cut += u64::from(cut);
        self.ended |= cut;
        cut
    }
}

/// Answers `job` with a single response once all tokens are generated.
///
/// # Errors
/// Returns [`ConnectionCut`] if the request was cancelled.
pub(super) async fn collect_answer(
    mut outputs: Outputs,
    job: &Job,
) -> Result<Response<Body>, ConnectionCut> {
    let mut content = String::new();
    loop {
        let timed = outputs.next().await.ok_or(ConnectionCut)?;
        if let Some(index) = timed.output.token {
            content.push_str(&text::answer_token(job.prompt.hash, index));
        }
        if timed.output.done {
            return Ok(answer(job, &content, &outputs.context.settings.model));
        }
    }
}

fn answer(job: &Job, content: &str, model: &str) -> Response<Body> {
    let (prompt, output) = (job.prompt.tokens, u64::from(job.answer_length()));
    let answer = json!({
        "id": &*job.id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": job.finish_reason(),
        }],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
        },
    });
    reply::ok(&answer)
}
