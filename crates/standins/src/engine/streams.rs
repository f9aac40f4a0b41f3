//! Answers on their way to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{Stream, stream};
use http::Response;
use serde_json::json;
use tokio::sync::mpsc;

use super::Desk;
use super::batch::{Job, Ticket};
use super::chunks::Chunks;
use super::state::Made;
use super::text;
use crate::reply::{self, Body, Cut};
use crate::shared::pause;

/// Time for the chunks before a cut to leave.
const FLUSH: Duration = Duration::from_millis(2);

/// Outputs of one submission; dropping it takes the submission out.
pub(super) struct Outputs {
    desk: Desk,
    ticket: Ticket,
    receiver: mpsc::UnboundedReceiver<Made>,
}

impl Outputs {
    pub(super) fn new(desk: Desk, ticket: Ticket, receiver: mpsc::UnboundedReceiver<Made>) -> Self {
        desk.state.lock().open += 1;
        Self {
            desk,
            ticket,
            receiver,
        }
    }

    /// The next output, late as the switches say; `None` after a cancel.
    async fn next(&mut self) -> Option<Made> {
        let made = self.receiver.recv().await?;
        let late = self.desk.state.lock().switches.faults.late;
        let due = made.at + late;
        pause(due.saturating_duration_since(Instant::now())).await;
        Some(made)
    }
}

impl Drop for Outputs {
    fn drop(&mut self) {
        let mut state = self.desk.state.lock();
        state.open -= 1;
        state.leave(self.ticket, Instant::now());
        // A drain may have waited for just this.
        self.desk.work.notify_one();
    }
}

/// A stream under way.
struct Sending {
    outputs: Outputs,
    chunks: Chunks,
    tokens: u64,
    ended: bool,
}

/// Streams the answer to `job`.
pub(super) fn streamed(outputs: Outputs, job: &Job) -> Response<Body> {
    let sending = Sending {
        outputs,
        chunks: Chunks::new(job),
        tokens: 0,
        ended: false,
    };
    reply::events(events(sending))
}

fn events(sending: Sending) -> impl Stream<Item = Result<Bytes, Cut>> + Send {
    stream::unfold(sending, |mut sending| async move {
        let chunk = sending.next().await?;
        Some((chunk, sending))
    })
}

impl Sending {
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.cuts() {
            tokio::time::sleep(FLUSH).await;
            return Some(Err(Cut));
        }
        while !self.ended {
            // A stream that was cancelled is cut, as its answer is not whole.
            let Some(made) = self.outputs.next().await else {
                self.ended = true;
                return Some(Err(Cut));
            };
            self.ended = made.output.done;
            self.tokens += u64::from(made.output.token.is_some());
            let faults = self.outputs.desk.state.lock().switches.faults;
            let sent = self.chunks.feed(made.output, faults);
            if !sent.is_empty() {
                return Some(Ok(sent.into()));
            }
        }
        None
    }

    fn cuts(&mut self) -> bool {
        let mut state = self.outputs.desk.state.lock();
        let cuts = !self.ended && self.tokens > 0 && state.switches.cuts(self.tokens);
        state.counts.totals.cut += u64::from(cuts);
        self.ended |= cuts;
        cuts
    }
}

/// Answers `job` whole.
///
/// # Errors
/// [`Cut`] where the request was cancelled.
pub(super) async fn whole(mut outputs: Outputs, job: &Job) -> Result<Response<Body>, Cut> {
    let mut content = String::new();
    loop {
        let made = outputs.next().await.ok_or(Cut)?;
        if let Some(index) = made.output.token {
            content.push_str(&text::token(job.prompt.hash, index));
        }
        if made.output.done {
            return Ok(answer(job, &content, &outputs.desk.settings.model));
        }
    }
}

fn answer(job: &Job, content: &str, model: &str) -> Response<Body> {
    let (prompt, output) = (job.prompt.tokens, u64::from(job.length()));
    let answer = json!({
        "id": &*job.id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": job.reason(),
        }],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
        },
    });
    reply::ok(&answer)
}
