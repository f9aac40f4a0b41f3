//! How fast a server works: its load is uneven servers, and machines that work more
//! slowly for moments.
//!
//! The slow component is learned from how long work took against what was expected.
//! What all servers of a service have in common is learned apart from what each of them
//! adds, so that a slow-down of all is not one of each. The fast component is what the
//! server states of its machine, and says less with each millisecond.

use std::time::{Duration, Instant};

/// Least weight of a sample in the deviation of a server.
const MIN_WEIGHT: f64 = 0.1;
/// Least weight of a sample in what all servers have in common.
const MIN_COMMON_WEIGHT: f64 = 0.05;
/// Largest factor by which a sample may differ from what is known of the server, so that
/// one slow request does not make a slow server.
const MAX_FACTOR: f64 = 3.0;
/// Largest and least time that work may take at a server, against the others.
const MAX_DEVIATION: f64 = 10.0;
/// Time in which what was learned loses half of its weight against new samples.
const MEMORY: Duration = Duration::from_secs(60);
/// Time in which a stated figure loses half of its weight: machines change several times
/// a second.
const FIGURE_HALF_LIFE_MS: f64 = 90.0;
/// Time for which the state of a machine lasts, on which it has no effect later.
const STATE_MS: f64 = 300.0;
/// Weight of a figure in the mean of those that a server stated.
const FIGURE_WEIGHT: f64 = 0.1;
/// Largest and least factor of a figure against that mean.
const MAX_FIGURE: f64 = 10.0;
/// Ratio of the paces of neighbouring classes.
const CLASS_RATIO: f64 = 1.6;
/// Distance from a class, in classes, at which a server changes to another one: far
/// enough that routers which learned different paces agree on it.
const CLASS_MARGIN: f64 = 0.75;
/// Samples before a server changes its class.
const MIN_CLASS_SAMPLES: f64 = 4.0;
/// The farthest class.
const MAX_CLASS: f64 = 3.0;

/// What all servers of a service have in common.
#[derive(Debug, Clone, Default)]
pub struct Common {
    /// Logarithm of the time that work takes, against what was expected.
    log: f64,
    samples: u32,
}

impl Common {
    /// Counts a sample and returns its weight.
    fn next_weight(&mut self) -> f64 {
        self.samples = self.samples.saturating_add(1);
        (1.0 / f64::from(self.samples)).max(MIN_COMMON_WEIGHT)
    }
}

/// What the server states of its machine.
#[derive(Debug, Clone, Copy)]
struct Figure {
    /// Time that work takes, against the usual time.
    time: f64,
    at: Instant,
}

/// The pace of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// Logarithm of the time that work takes here, against other servers.
    log: f64,
    /// Weight of what was learned, in samples.
    samples: f64,
    sampled: Option<Instant>,
    figure: Option<Figure>,
    /// Mean of the figures; 0 before the first one.
    usual: f64,
    class: i8,
}

impl Pace {
    /// Records that work took `took` of which `expected` was expected; the weight says
    /// how much that tells of the server, 1 for the most.
    pub fn record(
        &mut self,
        common: &mut Common,
        took: Duration,
        expected: f64,
        weight: f64,
        now: Instant,
    ) {
        let ratio = (took.as_secs_f64() * 1e3 / expected).ln();
        if !ratio.is_finite() {
            return;
        }
        let most = MAX_FACTOR.ln();
        let off = (ratio - common.log - self.log).clamp(-most, most);
        let in_common = off * weight * common.next_weight();
        common.log += in_common;
        if let Some(at) = self.sampled {
            let age = now.saturating_duration_since(at).as_secs_f64();
            self.samples *= 0.5f64.powf(age / MEMORY.as_secs_f64());
        }
        self.sampled = Some(now);
        self.samples += weight;
        let share = weight * (1.0 / (self.samples + 1.0)).max(MIN_WEIGHT);
        let most = MAX_DEVIATION.ln();
        self.log = (self.log + share * (off - in_common)).clamp(-most, most);
        self.update_class();
    }

    /// Records the time that work takes now, in percent of the usual time.
    pub fn record_figure(&mut self, percent: u32, now: Instant) {
        if percent == 0 {
            return;
        }
        let time = f64::from(percent) / 100.0;
        if self.figure.is_none() {
            self.usual = time;
        }
        self.usual += FIGURE_WEIGHT * (time - self.usual);
        self.figure = Some(Figure { time, at: now });
    }

    /// Whether the server states the time that work takes.
    pub fn is_stated(&self) -> bool {
        self.figure.is_some()
    }

    /// The learned pace: 1 is that of most servers, 2 twice as fast.
    pub fn slow(&self) -> f64 {
        (-self.log).exp()
    }

    /// Time that `work` takes at this server from now on, both in milliseconds.
    pub fn time_ms(&self, work: f64, now: Instant) -> f64 {
        let time = work / self.slow();
        let Some(figure) = self.figure else {
            return time;
        };
        let age = now.saturating_duration_since(figure.at).as_secs_f64() * 1e3;
        let weight = 0.5f64.powf(age / FIGURE_HALF_LIFE_MS);
        let factor = (figure.time / self.usual).clamp(1.0 / MAX_FIGURE, MAX_FIGURE);
        (time + (factor - 1.0) * weight * time.min(STATE_MS)).max(0.0)
    }

    /// Weight of the server in the choice of homes; changes in large steps only.
    pub fn home_weight(&self) -> f64 {
        CLASS_RATIO.powi(i32::from(self.class))
    }

    fn update_class(&mut self) {
        let place = -self.log / CLASS_RATIO.ln();
        let is_off = (place - f64::from(self.class)).abs() > CLASS_MARGIN;
        if is_off && self.samples >= MIN_CLASS_SAMPLES {
            self.class = place.round().clamp(-MAX_CLASS, MAX_CLASS) as i8;
        }
    }
}
