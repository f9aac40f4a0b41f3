//! Answers on their way to the caller.

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

/// Time for the chunks before a cut to leave.
const FLUSH_TIME: Duration = Duration::from_millis(2);

/// Outputs of one submission; dropping it takes the submission out.
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

    /// The next output, late as the switches say; `None` after a cancel.
    async fn next(&mut self) -> Option<TimedOutput> {
        let made = self.receiver.recv().await?;
        let delay = self.context.state.lock().switches.faults.chunk_delay;
        let due = made.at + delay;
        pause(due.saturating_duration_since(Instant::now())).await;
        Some(made)
    }
}

impl Drop for Outputs {
    fn drop(&mut self) {
        let mut state = self.context.state.lock();
        state.open_answers -= 1;
        state.remove(self.submission_id, Instant::now());
        // A drain may have waited for just this.
        self.context.wake.notify_one();
    }
}

/// A stream under way.
struct AnswerStream {
    outputs: Outputs,
    encoder: ChunkEncoder,
    tokens: u64,
    ended: bool,
}

/// Streams the answer to `job`.
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
            // A stream that was cancelled is cut, as its answer is not whole.
            let Some(made) = self.outputs.next().await else {
                self.ended = true;
                return Some(Err(ConnectionCut));
            };
            self.ended = made.output.done;
            self.tokens += u64::from(made.output.token.is_some());
            let faults = self.outputs.context.state.lock().switches.faults;
            let chunks = self.encoder.encode(made.output, faults);
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

/// Answers `job` whole.
///
/// # Errors
/// [`ConnectionCut`] where the request was cancelled.
pub(super) async fn collect_answer(
    mut outputs: Outputs,
    job: &Job,
) -> Result<Response<Body>, ConnectionCut> {
    let mut content = String::new();
    loop {
        let made = outputs.next().await.ok_or(ConnectionCut)?;
        if let Some(index) = made.output.token {
            content.push_str(&text::answer_token(job.prompt.hash, index));
        }
        if made.output.done {
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
