//! Encodes the chunks of a streamed answer and applies the configured faults.

use std::fmt::Write;
use std::mem;

use super::batch::{Job, Output};
use super::control::Faults;
use super::text;

/// Request ID, in JSON, that misrouted chunks carry.
const MISROUTED_ID: &str = "\"misrouted\"";

/// Encodes the chunks of one answer.
#[derive(Debug)]
pub struct ChunkEncoder {
    /// The request ID in JSON.
    id: String,
    prompt_hash: u64,
    prompt_tokens: u64,
    answer_length: u32,
    finish_reason: &'static str,
    /// A chunk held back so that the next one is sent before it.
    delayed: Option<String>,
}

impl ChunkEncoder {
    /// Creates an encoder for the answer to `job`.
    pub fn new(job: &Job) -> Self {
        let id = serde_json::to_string(&*job.id).expect("a string can always be written as JSON");
        Self {
            id,
            prompt_hash: job.prompt.hash,
            prompt_tokens: job.prompt.tokens,
            answer_length: job.answer_length(),
            finish_reason: job.finish_reason(),
            delayed: None,
        }
    }

    /// The bytes to send for one output; empty if nothing is sent yet.
    pub fn encode(&mut self, output: Output, faults: Faults) -> String {
        let mut out = String::new();
        if let Some(index) = output.token {
            let word = text::answer_token(self.prompt_hash, index);
            let delta = format!("{{\"content\":\"{word}\"}}");
            self.write_chunk(&mut out, index, &delta, "null", faults);
        }
        if output.done {
            // The last chunk is numbered by the length of the whole answer, even if
            // the caller resumed past the end.
            let seq = self.answer_length;
            let reason = format!("\"{}\"", self.finish_reason);
            self.write_chunk(&mut out, seq, "{}", &reason, faults);
            out.push_str(&mem::take(&mut self.delayed).unwrap_or_default());
            self.write_end(&mut out, seq + 1);
        }
        out
    }

    fn write_chunk(
        &mut self,
        out: &mut String,
        seq: u32,
        delta: &str,
        reason: &str,
        faults: Faults,
    ) {
        if faults.misroute {
            out.push_str(&chunk(MISROUTED_ID, seq, delta, reason));
        }
        let mut chunk = chunk(&self.id, seq, delta, reason);
        if faults.duplicate {
            chunk = chunk.repeat(2);
        }
        match self.delayed.take() {
            Some(delayed) => {
                out.push_str(&chunk);
                out.push_str(&delayed);
            }
            None if faults.reorder => self.delayed = Some(chunk),
            None => out.push_str(&chunk),
        }
    }

    fn write_end(&self, out: &mut String, seq: u32) {
        let (prompt, output) = (self.prompt_tokens, self.answer_length);
        let total = prompt + u64::from(output);
        write!(
            out,
            "data: {{\"id\":{},\"object\":\"chat.completion.chunk\",\"seq\":{seq},\"choices\":[],\
             \"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{output},\
             \"total_tokens\":{total}}}}}\n\ndata: [DONE]\n\n",
            self.id,
        )
        .expect("writing to a string cannot fail");
    }
}

fn chunk(id: &str, seq: u32, delta: &str, reason: &str) -> String {
    format!(
        "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"seq\":{seq},\
         \"choices\":[{{\"index\":0,\"delta\":{delta},\"finish_reason\":{reason}}}]}}\n\n"
    )
}
