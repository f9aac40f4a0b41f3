//! The request queue for the backend servers of one model or service.
//!
//! Entries are queued in one lane per priority, and more urgent lanes are served
//! first. Within a lane, workspaces are served in turn by predicted tokens. Except
//! in the most urgent lane, a workspace that was recently served far more than an
//! even share is served after all others, so that its burst doesn't delay less
//! urgent work of other workspaces. An entry close to its deadline is served before
//! more urgent ones as long as these have time to spare, so that bulk work neither
//! starves nor displaces urgent work. The queue is bounded, and no workspace may
//! fill it alone.

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

/// First priority at which workspaces over their share are served after all others.
const DEPRIORITISE_FROM: u8 = 1;

/// Maximum number of entries of a lane that are offered for placement.
const MAX_OFFERED: usize = 2;

/// Maximum number of entries of a lane that are checked for a near deadline.
const MAX_SCANNED: usize = 16;

/// Elapsed fraction of its time to wait from which an entry's deadline is near.
const NEAR_DEADLINE_FRACTION: f64 = 0.75;

/// Elapsed fraction of its time to wait up to which an entry can let others go first.
const CAN_WAIT_FRACTION: f64 = 0.25;

/// Why an entry was served next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was its workspace's turn in the most urgent lane.
    FairTurn,
    /// Its workspace is over its share, but no other entry could be placed.
    OverShare,
    /// Its deadline was near, and more urgent entries had time to spare.
    NearDeadline,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FairTurn => "its workspace's turn",
            Self::OverShare => {
                "its workspace is over its share, and no other entry could be placed"
            }
            Self::NearDeadline => {
                "its deadline is near, and more urgent entries have time to spare"
            }
        })
    }
}

/// Error of [`Queue::push`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushError {
    /// The queue is full.
    QueueFull,
    /// The workspace has as many entries queued as there are free places.
    WorkspaceLimit {
        /// Number of entries that it has queued.
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

/// An entry removed from the queue to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Popped {
    /// The entry.
    pub entry: Entry,
    /// Priority to send it with: raised if its deadline is near, lowered if its
    /// workspace is over its share.
    pub priority: u8,
    /// Why it was served next.
    pub reason: Reason,
}

/// Requests waiting for one model or service.
#[derive(Debug, Clone)]
pub struct Queue {
    capacity: usize,
    len: usize,
    slab: Slab,
    lanes: SortedVec<u8, Lane>,
    usage: Usage,
    deadlines: BinaryHeap<Reverse<(Instant, Ticket)>>,
    late: Vec<Entry>,
}

impl Queue {
    /// Creates an empty queue of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            slab: Slab::default(),
            lanes: SortedVec::new(),
            usage: Usage::default(),
            deadlines: BinaryHeap::new(),
            late: Vec::new(),
        }
    }

    /// Queues an entry.
    ///
    /// # Errors
    /// The queue is full, or the workspace has as many entries queued as there are
    /// free places.
    pub fn push(&mut self, entry: Entry) -> Result<Ticket, PushError> {
        if self.len >= self.capacity {
            return Err(PushError::QueueFull);
        }
        let queued = self.queued_by(&entry.workspace);
        if queued >= self.capacity - self.len {
            return Err(PushError::WorkspaceLimit { queued });
        }
        self.len += 1;
        let (workspace, cost) = (entry.workspace.clone(), entry.cost);
        let (priority, send_by) = (entry.priority, entry.send_by);
        let ticket = self.slab.insert(entry);
        self.usage.add_queued(&workspace);
        self.deadlines.push(Reverse((send_by, ticket)));
        let lane = self.lanes.get_or_insert_with(priority, Lane::default);
        lane.push(&workspace, ticket, cost);
        Ok(ticket)
    }

    /// Removes the next entry to serve among those that can be placed.
    ///
    /// `can_place` is called for a few entries of each lane. Once it has found that
    /// no server has room, it should return false without checking again.
    pub fn pop(
        &mut self,
        now: Instant,
        mut can_place: impl FnMut(&Entry) -> bool,
    ) -> Option<Popped> {
        self.remove_late(now);
        let due = self
            .near_deadline(now)
            .filter(|ticket| self.slab.get(*ticket).is_some_and(&mut can_place));
        let (ticket, reason) = match due {
            Some(ticket) => (ticket, Reason::NearDeadline),
            None => self.next_in_order(can_place)?,
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

    /// Removes an entry whose caller has disconnected.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.slab.remove(ticket)?;
        self.len -= 1;
        self.usage.remove_queued(&entry.workspace);
        if let Some(lane) = self.lanes.get_mut(&entry.priority) {
            lane.remove(&entry.workspace, ticket, entry.cost);
        }
        Some(entry)
    }

    /// Removes the entries that can no longer finish on time.
    pub fn expire(&mut self, now: Instant) -> Vec<Entry> {
        self.remove_late(now);
        std::mem::take(&mut self.late)
    }

    /// Returns when the next entry expires, if nothing is sent before.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.deadlines.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns what would be served before a new entry of this priority, workspace
    /// and cost.
    pub fn backlog_ahead(&self, priority: u8, workspace: &str, cost: u32, now: Instant) -> Backlog {
        let deprioritised =
            |level: u8, name: &str| level >= DEPRIORITISE_FROM && self.usage.is_over_share(name);
        let is_deprioritised = deprioritised(priority, workspace);
        let mut sum = Backlog {
            rate: is_deprioritised.then(|| self.usage.rate(workspace, now)),
            ..Backlog::default()
        };
        for (level, lane) in self
            .lanes
            .iter()
            .take_while(|(level, _)| **level <= priority)
        {
            let part = if is_deprioritised {
                lane.backlog(|name| name == workspace)
            } else if *level < priority {
                lane.backlog(|name| !deprioritised(*level, name))
            } else {
                lane.backlog_ahead(workspace, cost, |name| !deprioritised(*level, name))
            };
            sum.entries += part.entries;
            sum.tokens += part.tokens;
        }
        sum
    }

    /// Returns the number of entries of one workspace.
    pub fn queued_by(&self, workspace: &str) -> usize {
        self.usage.queued(workspace)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn remove_late(&mut self, now: Instant) {
        while let Some(Reverse((send_by, ticket))) = self.deadlines.peek().copied() {
            if send_by >= now && self.slab.get(ticket).is_some() {
                break;
            }
            self.deadlines.pop();
            let late = self.remove(ticket);
            self.late.extend(late);
        }
    }

    /// Removes an entry and records it as served.
    fn serve(&mut self, ticket: Ticket, now: Instant) -> Option<Entry> {
        let entry = self.slab.remove(ticket)?;
        self.len -= 1;
        self.usage.remove_queued(&entry.workspace);
        self.usage.record_served(&entry.workspace, entry.cost, now);
        if let Some(lane) = self.lanes.get_mut(&entry.priority) {
            lane.serve(&entry.workspace, entry.cost);
        }
        Some(entry)
    }

    /// Iterates over the first entries of a lane's workspaces, in the order to serve
    /// them.
    fn heads<'a>(&'a self, lane: &'a Lane) -> impl Iterator<Item = (Ticket, &'a Entry)> {
        let with_entry = |ticket| Some((ticket, self.slab.get(ticket)?));
        lane.heads().filter_map(with_entry)
    }

    fn is_deprioritised(&self, entry: &Entry) -> bool {
        entry.priority >= DEPRIORITISE_FROM && self.usage.is_over_share(&entry.workspace)
    }

    /// Returns the next entry by lane, then by turn; workspaces over their share
    /// come last.
    fn next_in_order(&self, mut can_place: impl FnMut(&Entry) -> bool) -> Option<(Ticket, Reason)> {
        for reason in [Reason::FairTurn, Reason::OverShare] {
            let deprioritised = reason == Reason::OverShare;
            for (_, lane) in self.lanes.iter() {
                let heads = self
                    .heads(lane)
                    .filter(|(_, e)| self.is_deprioritised(e) == deprioritised);
                if let Some((ticket, _)) = heads.take(MAX_OFFERED).find(|(_, e)| can_place(e)) {
                    return Some((ticket, reason));
                }
            }
        }
        None
    }

    /// Returns an entry whose deadline is near, if all more urgent entries can wait.
    fn near_deadline(&self, now: Instant) -> Option<Ticket> {
        let mut lanes = self.lanes.iter().map(|(_, l)| l).filter(|l| !l.is_empty());
        let can_wait = |lane: &Lane| {
            let first = self.heads(lane).next();
            first.is_none_or(|(_, urgent)| urgent.wait_fraction(now) <= CAN_WAIT_FRACTION)
        };
        if !can_wait(lanes.next()?) {
            return None;
        }
        for lane in lanes {
            let heads = self.heads(lane).take(MAX_SCANNED);
            let mut due = heads.filter(|(_, e)| {
                e.wait_fraction(now) >= NEAR_DEADLINE_FRACTION && !self.is_deprioritised(e)
            });
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
