//! The state of a service, which one lock protects.

use std::time::{Duration, Instant};

use super::Settings;
use super::control::Switches;
use super::counts::Counts;
use crate::admission::{Caller, FencingNumbers, Refusal};
use crate::load::{History, LoadWire};

/// The service's state.
#[derive(Debug)]
pub struct State {
    /// The switches.
    pub switches: Switches,
    /// The counts.
    pub counts: Counts,
    fencing: FencingNumbers,
    load: History,
    slots: usize,
    running: usize,
    waiting: usize,
}

impl State {
    /// Creates the state of an idle service.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let mut state = Self {
            switches: Switches {
                delay: settings.delay,
                drop_answers: 0,
                leaving: false,
                status: 200,
                fenced: settings.fenced,
                accept_delay: Duration::ZERO,
            },
            counts: Counts::default(),
            fencing: FencingNumbers::default(),
            load: History::new(settings.load_lag, LoadWire::default(), now),
            slots: settings.slots,
            running: 0,
            waiting: 0,
        };
        state.load = History::new(settings.load_lag, state.current_load(), now);
        state
    }

    /// Counts an arriving call and decides whether it may run.
    ///
    /// # Errors
    /// Returns the reason if the call is refused.
    pub fn check_arrival(&mut self, caller: &Caller, now: Instant) -> Result<(), Refusal> {
        let counts = &mut self.counts;
        let request = counts
            .requests
            .get_or_insert_with(caller.id.clone(), Default::default);
        request.seen += 1;
        let workspace = caller.workspace.clone();
        let workspace = counts
            .workspaces
            .get_or_insert_with(workspace, Default::default);
        workspace.seen += 1;
        let stale = self.fencing.record(caller);
        if self.switches.leaving {
            counts.after_leaving += 1;
            return Err(Refusal::Leaving);
        }
        if stale && self.switches.fenced {
            counts.fenced += 1;
            return Err(Refusal::Fenced);
        }
        self.waiting += 1;
        self.record_load(now);
        Ok(())
    }

    /// Starts a waiting call. Returns how often its request has run, including this
    /// time.
    pub fn begin_call(&mut self, caller: &Caller, now: Instant) -> u64 {
        self.waiting -= 1;
        self.running += 1;
        self.record_load(now);
        if let Some(workspace) = self.counts.workspaces.get_mut(&*caller.workspace) {
            workspace.runs += 1;
        }
        let request = self.counts.requests.get_mut(&*caller.id);
        request.map_or(0, |request| {
            request.runs += 1;
            request.runs
        })
    }

    /// Ends a call. Returns whether its answer is to be dropped.
    pub fn end_call(&mut self, now: Instant) -> bool {
        self.running -= 1;
        self.record_load(now);
        let dropped = self.switches.take_drop();
        self.counts.dropped += u64::from(dropped);
        dropped
    }

    /// Records the current load, which is reported after the lag.
    pub fn record_load(&mut self, now: Instant) {
        let load = self.current_load();
        self.load.record(load, now);
    }

    fn current_load(&self) -> LoadWire {
        LoadWire {
            running: self.running,
            waiting: self.waiting,
            slots: self.slots,
            step_us: self.switches.delay.as_micros() as u64,
            leaving: self.switches.leaving,
            age_ms: 0,
        }
    }

    /// The load report that callers see at `now`.
    pub fn reported_load(&self, now: Instant) -> LoadWire {
        self.load.report(now)
    }
}
