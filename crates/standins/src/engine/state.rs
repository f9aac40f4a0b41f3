//! Everything an engine keeps, behind one lock.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use tokio::sync::mpsc;

use super::Settings;
use super::batch::{Batch, Job, Limits, Output, Started, Ticket};
use super::cache::{self, Cache};
use super::control::Switches;
use super::counts::Counts;
use crate::door::{Caller, Fence, Refusal};
use crate::load::{History, LoadWire};

/// An output and when it was made.
#[derive(Debug, Clone, Copy)]
pub struct Made {
    /// What was made.
    pub output: Output,
    /// When.
    pub at: Instant,
}

/// Where the outputs of a submission go.
#[derive(Debug)]
struct Sink {
    job: Arc<Job>,
    sender: mpsc::UnboundedSender<Made>,
    used: Used,
}

/// What one submission used so far, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Used {
    /// Prompt tokens, also of a resumed run; 0 before it entered the batch.
    pub prompt: u64,
    /// Tokens made, also those that nobody received.
    pub generated: u64,
}

/// Whether the process lives on after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It does.
    Lives,
    /// It crashes here.
    Dies,
}

impl Used {
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
    pub open: usize,
    batch: Batch,
    fence: Fence,
    load: History,
    sinks: SortedVec<Ticket, Sink>,
    /// What the newest ended submission of a request by a router used.
    ended: SortedVec<(Name, Name), Used>,
    step: Duration,
    frozen: Option<Instant>,
}

impl State {
    /// An engine without work.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let limits = Limits {
            slots: settings.slots,
            prefill: settings.prefill,
            waiting: settings.waiting,
        };
        let cache = cache::Settings {
            blocks: settings.blocks,
            gap: settings.gap,
            seed: settings.seed,
        };
        let mut state = Self {
            switches: Switches::new(settings.fenced),
            counts: Counts::default(),
            cache: Cache::new(&cache),
            open: 0,
            batch: Batch::new(limits),
            fence: Fence::default(),
            load: History::new(settings.load_lag, LoadWire::default(), now),
            sinks: SortedVec::new(),
            ended: SortedVec::new(),
            step: settings.step,
            frozen: None,
        };
        state.load = History::new(settings.load_lag, state.current(), now);
        state
    }

    /// Counts an arrival and refuses what may not run.
    ///
    /// # Errors
    /// Says why it does not run.
    pub fn arrive(&mut self, caller: &Caller) -> Result<(), Refusal> {
        self.counts.seen(&caller.id, &caller.workspace);
        let stale = self.fence.note(caller);
        let totals = &mut self.counts.totals;
        if self.switches.refuses() {
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
    ) -> Result<(Ticket, mpsc::UnboundedReceiver<Made>), Refusal> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let sink = Sink {
            job: Arc::new(job.clone()),
            sender,
            used: Used::default(),
        };
        let Ok(ticket) = self.batch.submit(job) else {
            self.counts.totals.full += 1;
            return Err(Refusal::Full);
        };
        self.sinks.insert(ticket, sink);
        self.report(now);
        Ok((ticket, receiver))
    }

    /// Takes one submission out; its stream ends.
    pub fn leave(&mut self, ticket: Ticket, now: Instant) {
        if let Some(job) = self.batch.cancel(ticket) {
            self.counts.cancelled(&job.id);
        }
        self.end(ticket);
        self.report(now);
    }

    /// Forgets a submission but for what it used.
    fn end(&mut self, ticket: Ticket) {
        if let Some(Sink { job, used, .. }) = self.sinks.remove(&ticket) {
            let key = (job.id.clone(), job.router.clone());
            self.ended.insert(key, used);
        }
    }

    /// Takes a router's submissions of a request out; returns what they used.
    ///
    /// Where none is left, it is what the newest one used, so that a repeated
    /// cancel is answered alike. `None` means that there never was one.
    pub fn cancel(&mut self, id: &Name, router: &Name, now: Instant) -> Option<Used> {
        let sinks = self.sinks.iter();
        let of = sinks.filter(|(_, sink)| sink.job.id == *id && sink.job.router == *router);
        let found: Vec<_> = of.map(|(ticket, sink)| (*ticket, sink.used)).collect();
        for (ticket, _) in &found {
            self.leave(*ticket, now);
        }
        let sum = found.iter().map(|(_, used)| *used).reduce(Used::plus);
        sum.or_else(|| self.ended.get(&(id.clone(), router.clone())).copied())
    }

    /// Carries out one step, unless frozen, and hands out what it made.
    pub fn step(&mut self, now: Instant) -> Fate {
        if self.frozen(now).is_some() {
            return Fate::Lives;
        }
        let step = self.batch.step(&mut self.cache, now);
        self.counts.totals.steps += 1;
        for started in &step.started {
            self.counts.started(started);
            self.charge(started);
        }
        if step.started.iter().any(crashes) {
            return Fate::Dies;
        }
        for output in step.outputs {
            if self.hand(output, now) == Fate::Dies {
                return Fate::Dies;
            }
        }
        self.report(now);
        Fate::Lives
    }

    fn charge(&mut self, started: &Started) {
        if let Some(sink) = self.sinks.get_mut(&started.ticket) {
            sink.used.prompt = started.job.prompt.tokens;
        }
    }

    fn hand(&mut self, output: Output, now: Instant) -> Fate {
        let Some(sink) = self.sinks.get_mut(&output.ticket) else {
            return Fate::Lives;
        };
        if output.token.is_some() {
            sink.used.generated += 1;
            self.counts.token(&sink.job);
            if self.switches.dies() {
                return Fate::Dies;
            }
        }
        // A receiver that has gone takes its submission out by itself.
        let _ = sink.sender.send(Made { output, at: now });
        if output.done {
            self.counts.finished(&sink.job.id);
            self.end(output.ticket);
        }
        Fate::Lives
    }

    /// Stops stepping for `time`; nothing ends a freeze at once.
    pub fn freeze(&mut self, time: Duration, now: Instant) {
        self.frozen = Some(now + time);
    }

    /// Until when no step is taken, where the engine is frozen.
    pub fn frozen(&self, now: Instant) -> Option<Instant> {
        self.frozen.filter(|until| *until > now)
    }

    /// Time of a step as it is now.
    pub fn pace(&self) -> Duration {
        self.step.mul_f64(self.switches.slow)
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.batch.is_idle()
    }

    /// Whether it was told to drain and has nothing left to do or to send.
    pub fn is_drained(&self) -> bool {
        self.switches.drain && self.is_idle() && self.open == 0
    }

    /// Notes the load, to be reported after the lag.
    pub fn report(&mut self, now: Instant) {
        let load = self.current();
        self.load.note(load, now);
    }

    fn current(&self) -> LoadWire {
        LoadWire {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            slots: self.batch.slots(),
            step_us: self.pace().as_micros() as u64,
            leaving: self.switches.refuses(),
            age_ms: 0,
        }
    }

    /// The load as it is reported.
    pub fn load(&self, now: Instant) -> LoadWire {
        self.load.report(now)
    }

    /// The identity of a request that came without one.
    pub fn name(&self) -> Name {
        format!("anonymous-{}", self.counts.requests().len()).into()
    }
}

fn crashes(started: &Started) -> bool {
    started.job.prompt.crash
}
