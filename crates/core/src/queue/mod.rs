//! The queue before the backend servers of one model or service.
//!
//! Classes stand in lanes by priority, and the more urgent lane goes first.
//! Inside a lane workspaces take turns by predicted tokens. A less urgent
//! entry that is about to miss its time goes before more urgent ones only
//! while those have time to spare or belong to a workspace that has had more
//! than its part. So bulk work neither starves nor displaces what is urgent.
//! The queue is bounded, and no workspace may fill it.

mod entry;
mod lane;
mod usage;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::time::Instant;

pub use entry::{Entry, Ticket, priority_of};
pub use lane::Ahead;

use crate::queue::entry::Slab;
use crate::queue::lane::Lane;
use crate::queue::usage::Usage;
use crate::sorted::SortedVec;

/// First entries of a lane that are offered for placing.
const TRIES: usize = 4;

/// Part of its time after which an entry is about to be late.
const DUE: f64 = 0.75;

/// Part of its time up to which an entry can let another one go first.
const SPARE: f64 = 0.25;

/// Why an entry went next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was its workspace's turn in the most urgent lane.
    Turn,
    /// It was about to be late, and more urgent ones had time to spare or came
    /// from workspaces that have had more.
    Due,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Turn => "its workspace's turn",
            Self::Due => "about to be late, and the more urgent could wait",
        })
    }
}

/// Why an entry was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
    /// The queue is at its bound.
    Queue,
    /// The workspace has as much queued as is left for all.
    Workspace {
        /// Entries that it has queued.
        queued: usize,
    },
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queue => f.write_str("the queue is full"),
            Self::Workspace { queued } => write!(f, "the workspace has {queued} queued"),
        }
    }
}

impl std::error::Error for Full {}

/// An entry that goes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Popped {
    /// The entry.
    pub entry: Entry,
    /// Priority to send it with; above its own where it is due.
    pub priority: u8,
    /// Why it went next.
    pub reason: Reason,
}

/// Requests that wait for one model or service.
#[derive(Debug, Clone)]
pub struct Queue {
    bound: usize,
    len: usize,
    slab: Slab,
    lanes: SortedVec<u8, Lane>,
    usage: Usage,
    timers: BinaryHeap<Reverse<(Instant, Ticket)>>,
    late: Vec<Entry>,
}

impl Queue {
    /// An empty queue of at most `bound` entries.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            len: 0,
            slab: Slab::default(),
            lanes: SortedVec::new(),
            usage: Usage::default(),
            timers: BinaryHeap::new(),
            late: Vec::new(),
        }
    }

    /// Queues an entry.
    ///
    /// # Errors
    /// The queue is full, or the workspace has as much queued as is left.
    pub fn push(&mut self, entry: Entry) -> Result<Ticket, Full> {
        if self.len >= self.bound {
            return Err(Full::Queue);
        }
        let queued = self.queued_by(&entry.workspace);
        if queued >= self.bound - self.len {
            return Err(Full::Workspace { queued });
        }
        self.len += 1;
        let (workspace, cost) = (entry.workspace.clone(), entry.cost);
        let (priority, latest) = (entry.priority, entry.latest);
        let ticket = self.slab.insert(entry);
        self.usage.push(&workspace);
        self.timers.push(Reverse((latest, ticket)));
        let lane = self.lanes.entry(priority, Lane::default);
        lane.push(&workspace, ticket, cost);
        Ok(ticket)
    }

    /// Takes out the entry that goes next among those that can be placed.
    pub fn pop(
        &mut self,
        now: Instant,
        mut can_place: impl FnMut(&Entry) -> bool,
    ) -> Option<Popped> {
        self.drop_late(now);
        let due = self
            .due(now)
            .filter(|ticket| self.slab.get(*ticket).is_some_and(&mut can_place));
        let (ticket, reason) = match due {
            Some(ticket) => (ticket, Reason::Due),
            None => (self.turn(can_place)?, Reason::Turn),
        };
        let urgent = self.lanes.iter().find(|(_, l)| l.total().entries > 0);
        let urgent = urgent.map(|(priority, _)| *priority);
        let entry = self.slab.remove(ticket)?;
        self.len -= 1;
        self.usage.pop(&entry.workspace, entry.cost);
        if let Some(lane) = self.lanes.get_mut(&entry.priority) {
            lane.serve(&entry.workspace, entry.cost);
        }
        let priority = match reason {
            Reason::Due => urgent.unwrap_or(entry.priority),
            Reason::Turn => entry.priority,
        };
        Some(Popped {
            entry,
            priority,
            reason,
        })
    }

    /// Takes an entry out whose caller has gone.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.slab.remove(ticket)?;
        self.len -= 1;
        self.usage.pop(&entry.workspace, 0);
        if let Some(lane) = self.lanes.get_mut(&entry.priority) {
            lane.remove(&entry.workspace, ticket, entry.cost);
        }
        Some(entry)
    }

    /// Takes out the entries that can no longer finish on time.
    pub fn expire(&mut self, now: Instant) -> Vec<Entry> {
        self.drop_late(now);
        std::mem::take(&mut self.late)
    }

    /// When the next entry can no longer finish on time, if nothing is sent.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// What goes before a new entry of this priority, workspace and cost.
    pub fn ahead(&self, priority: u8, workspace: &str, cost: u32) -> Ahead {
        let mut sum = Ahead::default();
        for (at, lane) in self.lanes.iter().take_while(|(at, _)| **at <= priority) {
            let part = if *at < priority {
                lane.total()
            } else {
                lane.ahead(workspace, cost)
            };
            sum.entries += part.entries;
            sum.tokens += part.tokens;
        }
        sum
    }

    /// Entries of one workspace.
    pub fn queued_by(&self, workspace: &str) -> usize {
        self.usage.queued(workspace)
    }

    /// Entries in all.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn drop_late(&mut self, now: Instant) {
        while let Some(Reverse((latest, ticket))) = self.timers.peek().copied() {
            if latest >= now && self.slab.get(ticket).is_some() {
                break;
            }
            self.timers.pop();
            let late = self.remove(ticket);
            self.late.extend(late);
        }
    }

    fn turn(&self, mut can_place: impl FnMut(&Entry) -> bool) -> Option<Ticket> {
        let mut heads = self.lanes.iter().flat_map(|(_, l)| l.heads().take(TRIES));
        heads.find(|ticket| self.slab.get(*ticket).is_some_and(&mut can_place))
    }

    /// The first entry of a lane that has to go before more urgent ones.
    fn due(&self, now: Instant) -> Option<Ticket> {
        let first = |lane: &Lane| lane.heads().next();
        let heads: Vec<(Ticket, &Entry)> = self
            .lanes
            .iter()
            .filter_map(|(_, lane)| first(lane))
            .filter_map(|ticket| self.slab.get(ticket).map(|entry| (ticket, entry)))
            .collect();
        let can_wait = |urgent: &Entry, due: &Entry| {
            urgent.used(now) <= SPARE
                || self
                    .usage
                    .has_more(&urgent.workspace, &due.workspace, due.cost)
        };
        let goes = |at: usize, due: &Entry| {
            let mut urgent = heads[..at].iter();
            due.used(now) >= DUE && urgent.all(|(_, urgent)| can_wait(urgent, due))
        };
        let mut behind = heads.iter().enumerate().skip(1);
        let found = behind.find(|(at, (_, due))| goes(*at, due));
        found.map(|(_, (ticket, _))| *ticket)
    }
}
