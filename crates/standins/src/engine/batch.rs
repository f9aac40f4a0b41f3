//! Continuous batching, one step at a time and without a clock.
//!
//! Waiting requests enter the batch by priority, then by arrival. A step
//! processes prompt tokens up to a limit, in order of entry, and then generates
//! one token for each request whose prompt has been processed.

use std::time::Instant;

use poplar_core::id::Name;

use super::cache::Cache;
use super::text::{BLOCK_BYTES, Prompt};

/// Prompt tokens in a block, which a cache hit saves.
const BLOCK_TOKENS: u64 = BLOCK_BYTES as u64 / 4;

/// A request as submitted to the batch.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request ID.
    pub id: Name,
    /// Its workspace.
    pub workspace: Name,
    /// Label of the router that sent it, empty if it gave none.
    pub router: Name,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Its prompt.
    pub prompt: Prompt,
    /// Maximum length of the whole answer, in tokens.
    pub max_tokens: u32,
    /// Tokens that the caller already has, if it resumes an answer.
    pub resume_from: Option<u32>,
}

impl Job {
    /// Length of the whole answer, in tokens.
    pub fn answer_length(&self) -> u32 {
        self.prompt.natural_length.min(self.max_tokens)
    }

    /// The finish reason that the answer reports.
    pub fn finish_reason(&self) -> &'static str {
        match self.prompt.natural_length > self.max_tokens {
            true => "length",
            false => "stop",
        }
    }
}

/// Identifies one submission. A request sent twice has two of them.
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
    /// Tokens still to be processed before the next one is generated.
    prefill_left: u64,
    /// Whether the prompt's blocks have been added to the cache.
    cached: bool,
    /// Index of the next token to generate.
    next_token: u32,
}

/// Limits of a batch.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests that run at once.
    pub slots: usize,
    /// Prompt tokens processed per step.
    pub prefill: u64,
    /// Requests that may wait for the batch.
    pub max_waiting: usize,
}

/// A request that entered the batch.
#[derive(Debug, Clone)]
pub struct Started {
    /// Its submission.
    pub submission_id: SubmissionId,
    /// The request.
    pub job: Job,
    /// Leading blocks of its prompt that were in the cache.
    pub hits: usize,
}

/// What a step generated for one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Output {
    /// Its submission.
    pub submission_id: SubmissionId,
    /// Index of the generated token, if there was one.
    pub token: Option<u32>,
    /// Whether the answer is complete.
    pub done: bool,
}

/// The result of one step.
#[derive(Debug, Default)]
pub struct Step {
    /// Requests that entered the batch.
    pub started: Vec<Started>,
    /// Outputs, in the order in which their requests entered.
    pub outputs: Vec<Output>,
}

/// The request was refused because too many are waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// The batch and the requests that wait to enter it.
#[derive(Debug)]
pub struct Batch {
    limits: Limits,
    running: Vec<Running>,
    /// Sorted by priority, then by submission.
    waiting: Vec<Waiting>,
    last_id: SubmissionId,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            last_id: 0,
        }
    }

    /// Queues a request; it can enter the batch at the next step.
    ///
    /// # Errors
    /// Returns [`QueueFull`] if too many requests are waiting.
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

    /// Removes a submission. Returns `None` if it has already ended.
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

    /// Number of requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that can run at once.
    pub fn slots(&self) -> usize {
        self.limits.slots
    }

    /// Whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Runs one step.
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
        let mut budget = self.limits.prefill;
        for run in &mut self.running {
            let processed = run.prefill_left.min(budget);
            run.prefill_left -= processed;
            budget -= processed;
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
