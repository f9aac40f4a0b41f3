//! One priority of the queue, fair between workspaces.
//!
//! Start-time fair queueing by predicted tokens. Each workspace's next entry
//! has a start tag, and the entry with the lowest tag goes first. A workspace
//! that sends many requests moves only its own tags on.

use std::collections::VecDeque;

use crate::id::Name;
use crate::queue::entry::Ticket;
use crate::sorted::SortedVec;

/// Idle workspaces that are kept beyond twice the busy ones.
const IDLE: usize = 8;

/// A workspace's entries of one priority.
#[derive(Debug, Clone, Default)]
struct Flow {
    tickets: VecDeque<Ticket>,
    /// Tokens queued.
    backlog: u64,
    /// Start tag of the first entry while there is one.
    start: u64,
    /// Finish tag of the entry that was served last.
    finish: u64,
}

/// What is queued before a new entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Entries.
    pub entries: u64,
    /// Their tokens.
    pub tokens: u64,
    /// Tokens a second at which the workspace is served, where it gets only
    /// what the others leave.
    pub rate: Option<f64>,
}

/// Entries of one priority.
#[derive(Debug, Clone, Default)]
pub(super) struct Lane {
    flows: SortedVec<Name, Flow>,
    /// Workspaces that have entries, by the start tag of the first one.
    ready: SortedVec<(u64, Name), ()>,
    /// Start tag of the entry that was served last.
    clock: u64,
    /// Entries queued.
    entries: usize,
}

impl Lane {
    /// Queues an entry of `cost` tokens behind the workspace's others.
    pub(super) fn push(&mut self, workspace: &Name, ticket: Ticket, cost: u32) {
        self.forget_idle();
        let flow = self.flows.entry(workspace.clone(), Flow::default);
        flow.tickets.push_back(ticket);
        flow.backlog += u64::from(cost);
        self.entries += 1;
        if flow.tickets.len() == 1 {
            flow.start = flow.finish.max(self.clock);
            self.ready.insert((flow.start, workspace.clone()), ());
        }
    }

    /// Takes the workspace's first entry out as served.
    pub(super) fn serve(&mut self, workspace: &Name, cost: u32) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(ticket) = flow.tickets.front().copied() else {
            return;
        };
        self.clock = self.clock.max(flow.start);
        flow.finish = flow.start + u64::from(cost);
        self.remove(workspace, ticket, cost);
    }

    /// Takes an entry out without charging the workspace for it.
    pub(super) fn remove(&mut self, workspace: &Name, ticket: Ticket, cost: u32) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(at) = flow.tickets.iter().position(|t| *t == ticket) else {
            return;
        };
        flow.tickets.remove(at);
        flow.backlog -= u64::from(cost);
        self.entries -= 1;
        if at == 0 {
            self.ready.remove(&(flow.start, workspace.clone()));
            if !flow.tickets.is_empty() {
                flow.start = flow.finish.max(self.clock);
                self.ready.insert((flow.start, workspace.clone()), ());
            }
        }
        if self.entries == 0 {
            self.flows = SortedVec::new();
        }
    }

    /// First entries of the workspaces, in the order to serve them.
    pub(super) fn heads(&self) -> impl Iterator<Item = Ticket> {
        let first = |name: &Name| self.flows.get(name)?.tickets.front().copied();
        self.ready
            .iter()
            .filter_map(move |((_, name), ())| first(name))
    }

    /// Whether nothing is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Everything queued by the workspaces that count.
    pub(super) fn backlog(&self, counts: impl Fn(&str) -> bool) -> Backlog {
        let mut sum = Backlog::default();
        for (_, flow) in self.flows.iter().filter(|(name, _)| counts(name)) {
            sum.entries += flow.tickets.len() as u64;
            sum.tokens += flow.backlog;
        }
        sum
    }

    /// What goes before a new entry of `workspace`, by workspaces that count.
    ///
    /// Each other one gets at most as much before it as its own workspace does.
    pub(super) fn ahead(
        &self,
        workspace: &str,
        cost: u32,
        counts: impl Fn(&str) -> bool,
    ) -> Backlog {
        let own = self.backlog(|name| name == workspace);
        let turn = own.tokens + u64::from(cost);
        let mut sum = own;
        let others = self.flows.iter().filter(|(name, _)| ***name != *workspace);
        for (_, flow) in others.filter(|(name, _)| counts(name)) {
            let part = turn as f64 / flow.backlog.max(1) as f64;
            sum.entries += (flow.tickets.len() as f64 * part.min(1.0)).ceil() as u64;
            sum.tokens += turn.min(flow.backlog);
        }
        sum
    }

    /// Forgets idle workspaces that have no debt.
    fn forget_idle(&mut self) {
        if self.flows.len() > 2 * self.ready.len() + IDLE {
            let clock = self.clock;
            self.flows
                .retain(|_, f| !f.tickets.is_empty() || f.finish > clock);
        }
    }
}
