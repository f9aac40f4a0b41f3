//! Chunks of a streamed answer, with the faults that were switched on.

use std::fmt::Write;
use std::mem;

use super::batch::{Job, Output};
use super::control::Faults;
use super::text;

/// Identity of the request whose chunks are misrouted to others.
const STRANGER: &str = "\"misrouted\"";

/// Makes the chunks of one answer.
#[derive(Debug)]
pub struct Chunks {
    /// The request's identity in JSON.
    id: String,
    prompt: u64,
    tokens: u64,
    length: u32,
    reason: &'static str,
    /// A chunk that its successor overtakes.
    held: Option<String>,
}

impl Chunks {
    /// Chunks of the answer to `job`.
    pub fn new(job: &Job) -> Self {
        let id = serde_json::to_string(&*job.id).expect("a string is plain data");
        Self {
            id,
            prompt: job.prompt.hash,
            tokens: job.prompt.tokens,
            length: job.length(),
            reason: job.reason(),
            held: None,
        }
    }

    /// What is sent for one output, empty where nothing is yet.
    pub fn feed(&mut self, output: Output, faults: Faults) -> String {
        let mut sent = String::new();
        if let Some(index) = output.token {
            let word = text::token(self.prompt, index);
            let delta = format!("{{\"content\":\"{word}\"}}");
            self.send(&mut sent, index, &delta, "null", faults);
        }
        if output.done {
            // A resumed answer ends where its caller already is, at the latest.
            let seq = self.length;
            let reason = format!("\"{}\"", self.reason);
            self.send(&mut sent, seq, "{}", &reason, faults);
            sent.push_str(&mem::take(&mut self.held).unwrap_or_default());
            self.close(&mut sent, seq + 1);
        }
        sent
    }

    fn send(&mut self, sent: &mut String, seq: u32, delta: &str, reason: &str, faults: Faults) {
        if faults.misroute {
            sent.push_str(&chunk(STRANGER, seq, delta, reason));
        }
        let mut chunk = chunk(&self.id, seq, delta, reason);
        if faults.duplicate {
            chunk = chunk.repeat(2);
        }
        match self.held.take() {
            Some(held) => {
                sent.push_str(&chunk);
                sent.push_str(&held);
            }
            None if faults.reorder => self.held = Some(chunk),
            None => sent.push_str(&chunk),
        }
    }

    fn close(&self, sent: &mut String, seq: u32) {
        let (prompt, output) = (self.tokens, self.length);
        let total = prompt + u64::from(output);
        write!(
            sent,
            "data: {{\"id\":{},\"object\":\"chat.completion.chunk\",\"seq\":{seq},\"choices\":[],\
             \"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{output},\
             \"total_tokens\":{total}}}}}\n\ndata: [DONE]\n\n",
            self.id,
        )
        .expect("writing to a string does not fail");
    }
}

fn chunk(id: &str, seq: u32, delta: &str, reason: &str) -> String {
    format!(
        "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"seq\":{seq},\
         \"choices\":[{{\"index\":0,\"delta\":{delta},\"finish_reason\":{reason}}}]}}\n\n"
    )
}
