//! Continuous batching, step by step and without a clock.
//!
//! Waiting requests enter the batch by priority, then by arrival. A step does
//! prompt work up to a limit, in order of entry, and gives each request whose
//! prompt is done one token.

use std::time::Instant;

use poplar_core::id::Name;

use super::cache::Cache;
use super::text::{BLOCK, Prompt};

/// Prompt tokens that a cached block saves.
const BLOCK_TOKENS: u64 = BLOCK as u64 / 4;

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
    pub cap: u32,
    /// Tokens that the caller has already, where it resumes.
    pub resume: Option<u32>,
}

impl Job {
    /// Tokens in the whole answer.
    pub fn length(&self) -> u32 {
        self.prompt.length.min(self.cap)
    }

    /// Why the answer ends.
    pub fn reason(&self) -> &'static str {
        match self.prompt.length > self.cap {
            true => "length",
            false => "stop",
        }
    }
}

/// Names one submission for its time in the engine.
pub type Ticket = u64;

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    job: Job,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    job: Job,
    /// Prompt tokens still to be worked through.
    work: u64,
    /// Whether the prompt's blocks are in the cache.
    kept: bool,
    /// Index of the next token.
    next: u32,
}

/// How a batch is set up.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests in the batch.
    pub slots: usize,
    /// Prompt tokens worked through in a step.
    pub prefill: u64,
    /// Requests that may wait for the batch.
    pub waiting: usize,
}

/// A request entered the batch.
#[derive(Debug, Clone)]
pub struct Started {
    /// Its submission.
    pub ticket: Ticket,
    /// The request.
    pub job: Job,
    /// Blocks of its prompt found in the cache.
    pub hits: usize,
}

/// What a step made for one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Output {
    /// Its submission.
    pub ticket: Ticket,
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
pub struct Full;

/// The batch and those who wait for it.
#[derive(Debug)]
pub struct Batch {
    limits: Limits,
    running: Vec<Running>,
    /// In order of priority, then of ticket.
    waiting: Vec<Waiting>,
    tickets: Ticket,
}

impl Batch {
    /// An empty batch.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            tickets: 0,
        }
    }

    /// Takes a request in, to wait for the next step.
    ///
    /// # Errors
    /// [`Full`] where too many wait.
    pub fn submit(&mut self, job: Job) -> Result<Ticket, Full> {
        let free = self.limits.slots.saturating_sub(self.running.len());
        if self.waiting.len() >= self.limits.waiting + free {
            return Err(Full);
        }
        self.tickets += 1;
        let ticket = self.tickets;
        let at = self
            .waiting
            .partition_point(|w| w.job.priority <= job.priority);
        self.waiting.insert(at, Waiting { ticket, job });
        Ok(ticket)
    }

    /// Takes a submission out; `None` where it is not there any more.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Job> {
        if let Some(at) = self.running.iter().position(|r| r.ticket == ticket) {
            return Some(self.running.remove(at).job);
        }
        let at = self.waiting.iter().position(|w| w.ticket == ticket)?;
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
        for run in self.running.iter_mut().filter(|r| r.work == 0) {
            outputs.push(run.decode());
        }
        self.running.retain(|r| r.work > 0 || !r.is_done());
        Step { started, outputs }
    }

    fn admit(&mut self, cache: &mut Cache) -> Vec<Started> {
        let free = self.limits.slots.saturating_sub(self.running.len());
        let entering = free.min(self.waiting.len());
        let mut started = Vec::with_capacity(entering);
        for Waiting { ticket, job } in self.waiting.drain(..entering) {
            let hits = cache.hits(&job.prompt.blocks);
            let next = job.resume.unwrap_or(0);
            let cached = (hits as u64 * BLOCK_TOKENS).min(job.prompt.tokens);
            let work = job.prompt.tokens - cached + u64::from(next);
            started.push(Started {
                ticket,
                job: job.clone(),
                hits,
            });
            self.running.push(Running {
                ticket,
                job,
                work,
                kept: false,
                next,
            });
        }
        started
    }

    fn prefill(&mut self, cache: &mut Cache, now: Instant) {
        let mut left = self.limits.prefill;
        for run in &mut self.running {
            let done = run.work.min(left);
            run.work -= done;
            left -= done;
            if run.work == 0 && !run.kept {
                run.kept = true;
                cache.add(&run.job.prompt.blocks, now);
            }
        }
    }
}

impl Running {
    fn is_done(&self) -> bool {
        self.next >= self.job.length()
    }

    fn decode(&mut self) -> Output {
        let token = (!self.is_done()).then_some(self.next);
        self.next += u32::from(token.is_some());
        Output {
            ticket: self.ticket,
            token,
            done: self.is_done(),
        }
    }
}
