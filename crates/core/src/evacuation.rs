//! Data centres that the operator has evacuated, and the return of load afterwards.
//!
//! While a data centre is evacuated, its servers get no new work from any router, and
//! answers that have begun go on. The load concerned is that of a whole data centre:
//! when the evacuation ends, all routers would choose its idle servers at once, which
//! may be cold. Its servers are therefore offered to a part of the requests only, which
//! grows in [`STEPS`]. The other requests use them if no other server is left.

use std::time::{Duration, Instant};

use crate::id::Name;
use crate::sorted::SortedVec;

/// Parts of the requests that may choose servers of the data centre, one after
/// another, from the end of the evacuation on. They begin below the part of one data
/// centre of four, since idle servers get nearly all requests that may choose them.
pub const STEPS: [f64; 4] = [0.05, 0.1, 0.2, 0.4];
/// Length of a step. All steps together take longer than a cold start of 3 s.
pub const STEP_TIME: Duration = Duration::from_secs(1);

/// What a data centre gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Intake {
    /// All requests.
    Full,
    /// This part of the requests, from 0 to 1.
    Part(f64),
    /// None: it is evacuated.
    None,
}

impl Intake {
    /// Whether a request with this draw from 0 to 1 may choose a server there.
    pub fn includes(self, draw: f64) -> bool {
        match self {
            Self::Full => true,
            Self::Part(part) => draw < part,
            Self::None => false,
        }
    }
}

/// The draw from 0 to 1 of all requests with a shared prompt.
pub fn draw_of(prompt_id: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(&prompt_id.to_le_bytes());
    (hash >> 32) as f64 / (f64::from(u32::MAX) + 1.0)
}

/// A change of the evacuated data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The evacuation of this data centre began, by a row of this version.
    Began(Name, u64),
    /// It ended.
    Ended(Name),
}

/// The evacuated data centres as this router knows them.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Those that are evacuated, and the versions of their rows.
    current: SortedVec<Name, u64>,
    /// Those whose evacuation ended less than all steps ago.
    ended: SortedVec<Name, Instant>,
}

impl Evacuations {
    /// Replaces the evacuated data centres by those that were just read, with the
    /// versions of their rows.
    pub fn update(&mut self, read: SortedVec<Name, u64>, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for (centre, version) in read.iter() {
            if !self.current.contains(&**centre) {
                changes.push(Change::Began(centre.clone(), *version));
                self.ended.remove(&**centre);
            }
        }
        for (centre, _) in self.current.iter() {
            if !read.contains(&**centre) {
                changes.push(Change::Ended(centre.clone()));
                self.ended.insert(centre.clone(), now);
            }
        }
        self.current = read;
        let length = STEP_TIME * STEPS.len() as u32;
        self.ended.retain(|_, at| now < *at + length);
        changes
    }

    /// What a data centre gets at `now`.
    pub fn intake(&self, centre: &str, now: Instant) -> Intake {
        if self.current.contains(centre) {
            return Intake::None;
        }
        let Some(ended) = self.ended.get(centre) else {
            return Intake::Full;
        };
        let past = now.saturating_duration_since(*ended);
        let step = past.as_millis() / STEP_TIME.as_millis();
        let part = usize::try_from(step).ok().and_then(|step| STEPS.get(step));
        part.map_or(Intake::Full, |part| Intake::Part(*part))
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        self.current.contains(centre)
    }

    /// Number of evacuated data centres, for the metrics.
    pub fn count(&self) -> usize {
        self.current.len()
    }

    /// Number of data centres that get only a part of the requests, for the metrics.
    pub fn returning_count(&self, now: Instant) -> usize {
        let ended = self.ended.iter();
        let partial = ended.filter(|(centre, _)| self.intake(centre, now) != Intake::Full);
        partial.count()
    }
}
