//! Everything an engine keeps, behind one lock.

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

/// An output and when it was made.
#[derive(Debug, Clone, Copy)]
pub struct TimedOutput {
    /// What was made.
    pub output: Output,
    /// When.
    pub at: Instant,
}

/// Where the outputs of a submission go.
#[derive(Debug)]
struct Submission {
    job: Arc<Job>,
    sender: mpsc::UnboundedSender<TimedOutput>,
    used: TokensUsed,
}

/// What one submission used so far, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokensUsed {
    /// Prompt tokens, also of a resumed run; 0 before it entered the batch.
    pub prompt: u64,
    /// Tokens made, also those that nobody received.
    pub generated: u64,
}

/// Whether the process lives on after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepResult {
    /// It does.
    Continues,
    /// It crashes here.
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
    /// Answers on their way.
    pub open_answers: usize,
    batch: Batch,
    fencing: FencingNumbers,
    load: History,
    submissions: SortedVec<SubmissionId, Submission>,
    /// What the newest ended submission of a request by a router used.
    ended_usage: SortedVec<(Name, Name), TokensUsed>,
    step_time: Duration,
    frozen_until: Option<Instant>,
}

impl State {
    /// An engine without work.
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

    /// Counts an arrival and refuses what may not run.
    ///
    /// # Errors
    /// Says why it does not run.
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

    /// Takes a request in.
    ///
    /// # Errors
    /// [`Refusal::Full`] where too many wait.
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

    /// Takes one submission out; its stream ends.
    pub fn remove(&mut self, submission_id: SubmissionId, now: Instant) {
        if let Some(job) = self.batch.cancel(submission_id) {
            self.counts.record_cancel(&job.id);
        }
        self.finish_submission(submission_id);
        self.record_load(now);
    }

    /// Forgets a submission but for what it used.
    fn finish_submission(&mut self, submission_id: SubmissionId) {
        if let Some(Submission { job, used, .. }) = self.submissions.remove(&submission_id) {
            let key = (job.id.clone(), job.router.clone());
            self.ended_usage.insert(key, used);
        }
    }

    /// Takes a router's submissions of a request out; returns what they used.
    ///
    /// Where none is left, it is what the newest one used, so that a repeated
    /// cancel is answered alike. `None` means that there never was one.
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

    /// Carries out one step, unless frozen, and hands out what it made.
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
        // A receiver that has gone takes its submission out by itself.
        let _ = submission.sender.send(TimedOutput { output, at: now });
        if output.done {
            self.counts.record_finish(&submission.job.id);
            self.finish_submission(output.submission_id);
        }
        StepResult::Continues
    }

    /// Stops stepping for `time`; nothing ends a freeze at once.
    pub fn freeze(&mut self, time: Duration, now: Instant) {
        self.frozen_until = Some(now + time);
    }

    /// Until when no step is taken, where the engine is frozen.
    pub fn frozen_until(&self, now: Instant) -> Option<Instant> {
        self.frozen_until.filter(|until| *until > now)
    }

    /// Time of a step as it is now.
    pub fn step_time(&self) -> Duration {
        self.step_time.mul_f64(self.switches.step_factor)
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.batch.is_idle()
    }

    /// Whether it was told to drain and has nothing left to do or to send.
    pub fn is_drained(&self) -> bool {
        self.switches.drain && self.is_idle() && self.open_answers == 0
    }

    /// Notes the load, to be reported after the lag.
    pub fn record_load(&mut self, now: Instant) {
        let load = self.current_load();
        self.load.record(load, now);
    }

    fn current_load(&self) -> LoadWire {
        LoadWire {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            slots: self.batch.slots(),
            step_us: self.step_time().as_micros() as u64,
            leaving: self.switches.refuses_new(),
            age_ms: 0,
        }
    }

    /// The load as it is reported.
    pub fn reported_load(&self, now: Instant) -> LoadWire {
        self.load.report(now)
    }

    /// The identity of a request that came without one.
    pub fn anonymous_id(&self) -> Name {
        format!("anonymous-{}", self.counts.requests().len()).into()
    }
}

fn crashes(started: &Started) -> bool {
    started.job.prompt.crashes
}
