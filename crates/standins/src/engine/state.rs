//! The state of an engine, which one lock protects.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use tokio::sync::mpsc;

use super::Settings;
use super::batch::{Batch, Job, Limits, Output, Started, SubmissionId};
use super::cache::{self, Cache};
use super::control::Switches;
use super::counts::Counts;
use crate::admission::{Caller, FencingNumbers, Refusal};
use crate::load::{History, LoadWire};

/// An output and the time at which it was generated.
#[derive(Debug, Clone, Copy)]
pub struct TimedOutput {
    /// The output.
    pub output: Output,
    /// When it was generated.
    pub at: Instant,
}

/// A submission and the channel that its outputs are sent to.
#[derive(Debug)]
struct Submission {
    job: Arc<Job>,
    sender: mpsc::UnboundedSender<TimedOutput>,
    used: TokensUsed,
}

/// Tokens used by one submission so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokensUsed {
    /// Prompt tokens, including those of a resumed run; 0 until it enters the
    /// batch.
    pub prompt: u64,
    /// Generated tokens, including those that no caller received.
    pub generated: u64,
}

/// Whether the process continues after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepResult {
    /// The process continues.
    Continues,
    /// The process must abort now.
    Crashed,
}

impl TokensUsed {
    fn plus(self, other: Self) -> Self {
        Self {
            prompt: self.prompt + other.prompt,
            generated: self.generated + other.generated,
        }
    }
}

/// The engine's state.
#[derive(Debug)]
pub struct State {
    /// The switches.
    pub switches: Switches,
    /// The counts.
    pub counts: Counts,
    /// The prefix cache.
    pub cache: Cache,
    /// Answers that are not yet fully sent.
    pub open_answers: usize,
    batch: Batch,
    fencing: FencingNumbers,
    load: History,
    submissions: SortedVec<SubmissionId, Submission>,
    /// Tokens used by the latest ended submission, by request and router.
    ended_usage: SortedVec<(Name, Name), TokensUsed>,
    step_time: Duration,
    frozen_until: Option<Instant>,
}

impl State {
    /// Creates the state of an idle engine.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let limits = Limits {
            slots: settings.slots,
            prefill: settings.prefill,
            max_waiting: settings.max_waiting,
        };
        let cache = cache::Settings {
            blocks: settings.cache_blocks,
            event_loss: settings.event_loss,
            seed: settings.seed,
        };
        let mut state = Self {
            switches: Switches::new(settings.fenced),
            counts: Counts::default(),
            cache: Cache::new(&cache),
            open_answers: 0,
            batch: Batch::new(limits),
            fencing: FencingNumbers::default(),
            load: History::new(settings.load_lag, LoadWire::default(), now),
            submissions: SortedVec::new(),
            ended_usage: SortedVec::new(),
            step_time: settings.step_time,
            frozen_until: None,
        };
        state.load = History::new(settings.load_lag, state.current_load(), now);
        state
    }

    /// Counts an arriving request and decides whether it may run.
    ///
    /// # Errors
    /// Returns the reason if the request is refused.
    pub fn check_arrival(&mut self, caller: &Caller) -> Result<(), Refusal> {
        self.counts.record_arrival(&caller.id, &caller.workspace);
        let stale = self.fencing.record(caller);
        let totals = &mut self.counts.totals;
        if self.switches.refuses_new() {
            totals.after_leaving += 1;
            return Err(Refusal::Leaving);
        }
        if stale && self.switches.fenced {
            totals.fenced += 1;
            return Err(Refusal::Fenced);
        }
        Ok(())
    }

    /// Adds a request to the waiting queue.
    ///
    /// # Errors
    /// Returns [`Refusal::Full`] if too many requests are waiting.
    pub fn submit(
        &mut self,
        job: Job,
        now: Instant,
    ) -> Result<(SubmissionId, mpsc::UnboundedReceiver<TimedOutput>), Refusal> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let submission = Submission {
            job: Arc::new(job.clone()),
            sender,
            used: TokensUsed::default(),
        };
        let Ok(submission_id) = self.batch.submit(job) else {
            self.counts.totals.full += 1;
            return Err(Refusal::Full);
        };
        self.submissions.insert(submission_id, submission);
        self.record_load(now);
        Ok((submission_id, receiver))
    }

    /// Removes one submission, which ends its stream.
    pub fn remove(&mut self, submission_id: SubmissionId, now: Instant) {
        if let Some(job) = self.batch.cancel(submission_id) {
            self.counts.record_cancel(&job.id);
        }
        self.finish_submission(submission_id);
        self.record_load(now);
    }

    /// Drops a submission and keeps only its token usage.
    fn finish_submission(&mut self, submission_id: SubmissionId) {
        if let Some(Submission { job, used, .. }) = self.submissions.remove(&submission_id) {
            let key = (job.id.clone(), job.router.clone());
            self.ended_usage.insert(key, used);
        }
    }

    /// Cancels a router's submissions of a request and returns the tokens used.
    ///
    /// If none is open, returns the usage of the latest one that ended, so that a
    /// repeated cancel gets the same answer. `None` means that there was no such
    /// submission.
    pub fn cancel(&mut self, id: &Name, router: &Name, now: Instant) -> Option<TokensUsed> {
        let all = self.submissions.iter();
        let matching = all.filter(|(_, s)| s.job.id == *id && s.job.router == *router);
        let found: Vec<_> = matching.map(|(key, s)| (*key, s.used)).collect();
        for (submission_id, _) in &found {
            self.remove(*submission_id, now);
        }
        let sum = found.iter().map(|(_, used)| *used).reduce(TokensUsed::plus);
        sum.or_else(|| self.ended_usage.get(&(id.clone(), router.clone())).copied())
    }

    /// Runs one step, unless the engine is frozen, and delivers its outputs.
    pub fn step(&mut self, now: Instant) -> StepResult {
        if self.frozen_until(now).is_some() {
            return StepResult::Continues;
        }
        let step = self.batch.step(&mut self.cache, now);
        self.counts.totals.steps += 1;
        for started in &step.started {
            self.counts.record_start(started);
            self.record_prompt(started);
        }
        if step.started.iter().any(crashes) {
            return StepResult::Crashed;
        }
        for output in step.outputs {
            if self.deliver(output, now) == StepResult::Crashed {
                return StepResult::Crashed;
            }
        }
        self.record_load(now);
        StepResult::Continues
    }

    fn record_prompt(&mut self, started: &Started) {
        if let Some(submission) = self.submissions.get_mut(&started.submission_id) {
            submission.used.prompt = started.job.prompt.tokens;
        }
    }

    fn deliver(&mut self, output: Output, now: Instant) -> StepResult {
        let Some(submission) = self.submissions.get_mut(&output.submission_id) else {
            return StepResult::Continues;
        };
        if output.token.is_some() {
            submission.used.generated += 1;
            self.counts.record_token(&submission.job);
            if self.switches.count_token() {
                return StepResult::Crashed;
            }
        }
        // If the receiver is gone, dropping it has already started the removal of
        // this submission.
        let _ = submission.sender.send(TimedOutput { output, at: now });
        if output.done {
            self.counts.record_finish(&submission.job.id);
            self.finish_submission(output.submission_id);
        }
        StepResult::Continues
    }

    /// Stops the steps for `time`. A `time` of zero ends a freeze.
    pub fn freeze(&mut self, time: Duration, now: Instant) {
        self.frozen_until = Some(now + time);
    }

    /// The end of the current freeze, if the engine is frozen.
    pub fn frozen_until(&self, now: Instant) -> Option<Instant> {
        self.frozen_until.filter(|until| *until > now)
    }

    /// Duration of a step at the current slowdown.
    pub fn current_step_time(&self) -> Duration {
        self.step_time.mul_f64(self.switches.step_factor)
    }

    /// Whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.batch.is_idle()
    }

    /// Whether the engine is draining and has no work and no open answers left.
    pub fn is_drained(&self) -> bool {
        self.switches.drain && self.is_idle() && self.open_answers == 0
    }

    /// Records the current load, which is reported after the lag.
    pub fn record_load(&mut self, now: Instant) {
        let load = self.current_load();
        self.load.record(load, now);
    }

    fn current_load(&self) -> LoadWire {
        LoadWire {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            slots: self.batch.slots(),
            step_us: self.current_step_time().as_micros() as u64,
            leaving: self.switches.refuses_new(),
            age_ms: 0,
        }
    }

    /// The load report that callers see at `now`.
    pub fn reported_load(&self, now: Instant) -> LoadWire {
        self.load.report(now)
    }

    /// Makes an ID for a request that arrived without one.
    pub fn anonymous_id(&self) -> Name {
        format!("anonymous-{}", self.counts.requests().len()).into()
    }
}

fn crashes(started: &Started) -> bool {
    started.job.prompt.crashes
}
