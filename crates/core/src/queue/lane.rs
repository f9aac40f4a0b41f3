//! One priority of the queue, fair between workspaces.
//!
//! Start-time fair queueing by predicted tokens. Each workspace's next entry
//! has a start tag, and the entry with the lowest tag goes first. A workspace
//! that sends many requests moves only its own tags on. One that asked for
//! little keeps a bounded credit, so that its own small bursts don't wait for
//! turns of a workspace in a rush.

use std::collections::VecDeque;

use crate::id::Name;
use crate::queue::entry::Ticket;
use crate::sorted::SortedVec;

/// Tokens by which a workspace may fall behind the others and keep its turn.
const CREDIT: u64 = 4_000;

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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Entries.
    pub entries: u64,
    /// Their tokens.
    pub tokens: u64,
}

/// Entries of one priority.
#[derive(Debug, Clone, Default)]
pub(super) struct Lane {
    flows: SortedVec<Name, Flow>,
    /// Workspaces that have entries, by the start tag of the first one.
    ready: SortedVec<(u64, Name), ()>,
    /// Start tag of the entry that was served last.
    clock: u64,
    /// Entries and tokens queued.
    total: Ahead,
}

impl Lane {
    /// Queues an entry of `cost` tokens behind the workspace's others.
    pub(super) fn push(&mut self, workspace: &Name, ticket: Ticket, cost: u32) {
        self.forget_idle();
        let flow = self.flows.entry(workspace.clone(), Flow::default);
        flow.tickets.push_back(ticket);
        flow.backlog += u64::from(cost);
        self.total.entries += 1;
        self.total.tokens += u64::from(cost);
        if flow.tickets.len() == 1 {
            flow.start = flow.finish.max(self.clock.saturating_sub(CREDIT));
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
        self.total.entries -= 1;
        self.total.tokens -= u64::from(cost);
        if at == 0 {
            self.ready.remove(&(flow.start, workspace.clone()));
            if !flow.tickets.is_empty() {
                flow.start = flow.finish.max(self.clock.saturating_sub(CREDIT));
                self.ready.insert((flow.start, workspace.clone()), ());
            }
        }
        if self.total.entries == 0 {
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

    /// Everything queued.
    pub(super) fn total(&self) -> Ahead {
        self.total
    }

    /// What goes before a new entry of `workspace`.
    ///
    /// Each other busy workspace gets at most as much before it as its own
    /// workspace does.
    pub(super) fn ahead(&self, workspace: &str, cost: u32) -> Ahead {
        let flow = self.flows.get(workspace);
        let own = flow.map_or(0, |f| f.backlog);
        let busy = self.ready.len() as u64;
        let others = busy - u64::from(flow.is_some_and(|f| !f.tickets.is_empty()));
        let fair = others * (own + u64::from(cost));
        let tokens = own + fair.min(self.total.tokens - own);
        let share = tokens as f64 / self.total.tokens.max(1) as f64;
        Ahead {
            entries: (self.total.entries as f64 * share).ceil() as u64,
            tokens,
        }
    }

    /// Forgets idle workspaces that have no debt.
    fn forget_idle(&mut self) {
        if self.flows.len() > 2 * self.ready.len() + IDLE {
            let clock = self.clock;
            self.flows
                .retain(|_, f| !f.tickets.is_empty() || f.finish + CREDIT > clock);
        }
    }
}
