//! Continuous batching, step by step and without a clock.
//!
//! Waiting requests enter the batch by priority, then by arrival. A step does
//! prompt work up to a limit, in order of entry, and gives each request whose
//! prompt is done one token.

use std::time::Instant;

use poplar_core::id::Name;

use super::cache::Cache;
use super::text::{BLOCK_BYTES, Prompt};

/// Prompt tokens that a cached block saves.
const BLOCK_TOKENS: u64 = BLOCK_BYTES as u64 / 4;

/// A request as it is submitted.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub id: Name,
    /// Its workspace.
    pub workspace: Name,
    /// The router that sent it, empty where it gives no label.
    pub router: Name,
    /// 0 is most urgent.
    pub priority: u8,
    /// Its prompt.
    pub prompt: Prompt,
    /// Cap on the whole answer, in tokens.
    pub max_tokens: u32,
    /// Tokens that the caller has already, where it resumes.
    pub resume_from: Option<u32>,
}

impl Job {
    /// Tokens in the whole answer.
    pub fn answer_length(&self) -> u32 {
        self.prompt.natural_length.min(self.max_tokens)
    }

    /// Why the answer ends.
    pub fn finish_reason(&self) -> &'static str {
        match self.prompt.natural_length > self.max_tokens {
            true => "length",
            false => "stop",
        }
    }
}

/// Names one submission for its time in the engine.
pub type SubmissionId = u64;

#[derive(Debug)]
struct Waiting {
    submission_id: SubmissionId,
    job: Job,
}

#[derive(Debug)]
struct Running {
    submission_id: SubmissionId,
    job: Job,
    /// Prompt tokens still to be worked through.
    prefill_left: u64,
    /// Whether the prompt's blocks are in the cache.
    cached: bool,
    /// Index of the next token.
    next_token: u32,
}

/// How a batch is set up.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests in the batch.
    pub slots: usize,
    /// Prompt tokens worked through in a step.
    pub prefill: u64,
    /// Requests that may wait for the batch.
    pub max_waiting: usize,
}

/// A request entered the batch.
#[derive(Debug, Clone)]
pub struct Started {
    /// Its submission.
    pub submission_id: SubmissionId,
    /// The request.
    pub job: Job,
    /// Blocks of its prompt found in the cache.
    pub hits: usize,
}

/// What a step made for one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Output {
    /// Its submission.
    pub submission_id: SubmissionId,
    /// Index of the token made, if one was.
    pub token: Option<u32>,
    /// Whether the answer is whole.
    pub done: bool,
}

/// What a step did.
#[derive(Debug, Default)]
pub struct Step {
    /// Who entered the batch.
    pub started: Vec<Started>,
    /// What was made, in order of entry.
    pub outputs: Vec<Output>,
}

/// Too many wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// The batch and those who wait for it.
#[derive(Debug)]
pub struct Batch {
    limits: Limits,
    running: Vec<Running>,
    /// In order of priority, then of submission.
    waiting: Vec<Waiting>,
    last_id: SubmissionId,
}

impl Batch {
    /// An empty batch.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            last_id: 0,
        }
    }

    /// Takes a request in, to wait for the next step.
    ///
    /// # Errors
    /// [`QueueFull`] where too many wait.
    pub fn submit(&mut self, job: Job) -> Result<SubmissionId, QueueFull> {
        let free = self.limits.slots.saturating_sub(self.running.len());
        if self.waiting.len() >= self.limits.max_waiting + free {
            return Err(QueueFull);
        }
        self.last_id += 1;
        let submission_id = self.last_id;
        let at = self
            .waiting
            .partition_point(|w| w.job.priority <= job.priority);
        self.waiting.insert(at, Waiting { submission_id, job });
        Ok(submission_id)
    }

    /// Takes a submission out; `None` where it is not there any more.
    pub fn cancel(&mut self, submission_id: SubmissionId) -> Option<Job> {
        if let Some(at) = self
            .running
            .iter()
            .position(|r| r.submission_id == submission_id)
        {
            return Some(self.running.remove(at).job);
        }
        let at = self
            .waiting
            .iter()
            .position(|w| w.submission_id == submission_id)?;
        Some(self.waiting.remove(at).job)
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that the batch can hold.
    pub fn slots(&self) -> usize {
        self.limits.slots
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Carries out one step.
    pub fn step(&mut self, cache: &mut Cache, now: Instant) -> Step {
        let started = self.admit(cache);
        self.prefill(cache, now);
        let mut outputs = Vec::with_capacity(self.running.len());
        for run in self.running.iter_mut().filter(|r| r.prefill_left == 0) {
            outputs.push(run.decode());
        }
        self.running.retain(|r| r.prefill_left > 0 || !r.is_done());
        Step { started, outputs }
    }

    fn admit(&mut self, cache: &mut Cache) -> Vec<Started> {
        let free = self.limits.slots.saturating_sub(self.running.len());
        let entering = free.min(self.waiting.len());
        let mut started = Vec::with_capacity(entering);
        for Waiting { submission_id, job } in self.waiting.drain(..entering) {
            let hits = cache.lookup(&job.prompt.blocks);
            let next_token = job.resume_from.unwrap_or(0);
            let cached = (hits as u64 * BLOCK_TOKENS).min(job.prompt.tokens);
            let prefill_left = job.prompt.tokens - cached + u64::from(next_token);
            started.push(Started {
                submission_id,
                job: job.clone(),
                hits,
            });
            self.running.push(Running {
                submission_id,
                job,
                prefill_left,
                cached: false,
                next_token,
            });
        }
        started
    }

    fn prefill(&mut self, cache: &mut Cache, now: Instant) {
        let mut left = self.limits.prefill;
        for run in &mut self.running {
            let done = run.prefill_left.min(left);
            run.prefill_left -= done;
            left -= done;
            if run.prefill_left == 0 && !run.cached {
                run.cached = true;
                cache.insert(&run.job.prompt.blocks, now);
            }
        }
    }
}

impl Running {
    fn is_done(&self) -> bool {
        self.next_token >= self.job.answer_length()
    }

    fn decode(&mut self) -> Output {
        let token = (!self.is_done()).then_some(self.next_token);
        self.next_token += u32::from(token.is_some());
        Output {
            submission_id: self.submission_id,
            token,
            done: self.is_done(),
        }
    }
}
