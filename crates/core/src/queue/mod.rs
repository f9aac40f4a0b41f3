//! The queue before the backend servers of one model or service.
//!
//! Classes stand in lanes by priority, and the more urgent lane goes first.
//! Inside a lane workspaces take turns by predicted tokens. Except in the most
//! urgent lanes, a workspace that was served far more than an even part of late
//! stands back behind all others, so that one's rush doesn't hold up another's
//! less urgent work. An entry that is about to be late goes before more urgent
//! ones while those have time to spare, so that bulk work neither starves nor
//! displaces what is urgent. The queue is bounded, and nobody may fill it.

mod entry;
mod lane;
mod usage;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::time::Instant;

pub use entry::{Entry, Ticket, priority_for_target};
pub use lane::Backlog;

use crate::queue::entry::Slab;
use crate::queue::lane::Lane;
use crate::queue::usage::Usage;
use crate::route::server::PRIORITY_LEVELS;
use crate::sorted::SortedVec;

/// Priorities from this one on stand back for other workspaces' entries.
const STANDS_BACK: u8 = 1;

/// First entries of a lane that are offered for placing.
const TRIES: usize = 2;

/// First entries of a lane that are looked at for one that is due.
const LOOKS: usize = 16;

/// Part of its time after which an entry is about to be late.
const DUE: f64 = 0.75;

/// Part of its time up to which an entry can let another one go first.
const SPARE: f64 = 0.25;

/// Why an entry went next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was its workspace's turn in the most urgent lane.
    FairTurn,
    /// Its workspace was served more than its part, but nobody else waits.
    OverShare,
    /// It was about to be late, and more urgent ones had time to spare.
    NearDeadline,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FairTurn => "its workspace's turn",
            Self::OverShare => "beyond its workspace's part, and no other could go",
            Self::NearDeadline => "about to be late, and the more urgent had time to spare",
        })
    }
}

/// Why an entry was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushError {
    /// The queue is at its bound.
    QueueFull,
    /// The workspace has as much queued as is left for all.
    WorkspaceLimit {
        /// Entries that it has queued.
        queued: usize,
    },
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QueueFull => f.write_str("the queue is full"),
            Self::WorkspaceLimit { queued } => write!(f, "the workspace has {queued} queued"),
        }
    }
}

impl std::error::Error for PushError {}

/// An entry that goes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Popped {
    /// The entry.
    pub entry: Entry,
    /// Priority to send it with: raised where it is due, lowered where it is
    /// beyond its workspace's part.
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
    pub fn push(&mut self, entry: Entry) -> Result<Ticket, PushError> {
        if self.len >= self.bound {
            return Err(PushError::QueueFull);
        }
        let queued = self.queued_by(&entry.workspace);
        if queued >= self.bound - self.len {
            return Err(PushError::WorkspaceLimit { queued });
        }
        self.len += 1;
        let (workspace, cost) = (entry.workspace.clone(), entry.cost);
        let (priority, send_by) = (entry.priority, entry.send_by);
        let ticket = self.slab.insert(entry);
        self.usage.push(&workspace);
        self.timers.push(Reverse((send_by, ticket)));
        let lane = self.lanes.entry(priority, Lane::default);
        lane.push(&workspace, ticket, cost);
        Ok(ticket)
    }

    /// Takes out the entry that goes next among those that can be placed.
    ///
    /// `can_place` is asked for a few entries of each lane. Once no server has
    /// room it should say so without looking again.
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
            Some(ticket) => (ticket, Reason::NearDeadline),
            None => self.turn(can_place)?,
        };
        let urgent = self.lanes.iter().find(|(_, l)| !l.is_empty());
        let urgent = urgent.map(|(priority, _)| *priority);
        let entry = self.serve(ticket, now)?;
        let priority = match reason {
            Reason::FairTurn => entry.priority,
            Reason::OverShare => entry.priority + 1,
            Reason::NearDeadline => urgent.unwrap_or(entry.priority),
        };
        Some(Popped {
            entry,
            priority: priority.min(PRIORITY_LEVELS as u8 - 1),
            reason,
        })
    }

    /// Takes an entry out whose caller has gone.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.slab.remove(ticket)?;
        self.len -= 1;
        self.usage.pop(&entry.workspace);
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
    pub fn backlog_ahead(&self, priority: u8, workspace: &str, cost: u32, now: Instant) -> Backlog {
        let stands_back = |at: u8, name: &str| at >= STANDS_BACK && self.usage.stands_back(name);
        let back = stands_back(priority, workspace);
        let mut sum = Backlog {
            rate: back.then(|| self.usage.rate(workspace, now)),
            ..Backlog::default()
        };
        for (at, lane) in self.lanes.iter().take_while(|(at, _)| **at <= priority) {
            let part = if back {
                lane.backlog(|name| name == workspace)
            } else if *at < priority {
                lane.backlog(|name| !stands_back(*at, name))
            } else {
                lane.ahead(workspace, cost, |name| !stands_back(*at, name))
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
        while let Some(Reverse((send_by, ticket))) = self.timers.peek().copied() {
            if send_by >= now && self.slab.get(ticket).is_some() {
                break;
            }
            self.timers.pop();
            let late = self.remove(ticket);
            self.late.extend(late);
        }
    }

    /// Takes an entry out as served.
    fn serve(&mut self, ticket: Ticket, now: Instant) -> Option<Entry> {
        let entry = self.slab.remove(ticket)?;
        self.len -= 1;
        self.usage.pop(&entry.workspace);
        self.usage.served(&entry.workspace, entry.cost, now);
        if let Some(lane) = self.lanes.get_mut(&entry.priority) {
            lane.serve(&entry.workspace, entry.cost);
        }
        Some(entry)
    }

    /// First entries of a lane's workspaces, in the order to serve them.
    fn heads<'a>(&'a self, lane: &'a Lane) -> impl Iterator<Item = (Ticket, &'a Entry)> {
        let with_entry = |ticket| Some((ticket, self.slab.get(ticket)?));
        lane.heads().filter_map(with_entry)
    }

    fn stands_back(&self, entry: &Entry) -> bool {
        entry.priority >= STANDS_BACK && self.usage.stands_back(&entry.workspace)
    }

    /// The next entry by lane, then by turn; those that stand back come last.
    fn turn(&self, mut can_place: impl FnMut(&Entry) -> bool) -> Option<(Ticket, Reason)> {
        for reason in [Reason::FairTurn, Reason::OverShare] {
            let back = reason == Reason::OverShare;
            for (_, lane) in self.lanes.iter() {
                let heads = self
                    .heads(lane)
                    .filter(|(_, e)| self.stands_back(e) == back);
                if let Some((ticket, _)) = heads.take(TRIES).find(|(_, e)| can_place(e)) {
                    return Some((ticket, reason));
                }
            }
        }
        None
    }

    /// An entry that has to go before more urgent ones, which can all wait.
    fn due(&self, now: Instant) -> Option<Ticket> {
        let mut lanes = self.lanes.iter().map(|(_, l)| l).filter(|l| !l.is_empty());
        let can_wait = |lane: &Lane| {
            let first = self.heads(lane).next();
            first.is_none_or(|(_, urgent)| urgent.wait_fraction(now) <= SPARE)
        };
        if !can_wait(lanes.next()?) {
            return None;
        }
        for lane in lanes {
            let heads = self.heads(lane).take(LOOKS);
            let mut due =
                heads.filter(|(_, e)| e.wait_fraction(now) >= DUE && !self.stands_back(e));
            if let Some((ticket, _)) = due.next() {
                return Some(ticket);
            }
            if !can_wait(lane) {
                return None;
            }
        }
        None
    }
}
