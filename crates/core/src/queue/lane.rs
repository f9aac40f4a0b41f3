//! Fair queueing between workspaces within one priority.
//!
//! This is start-time fair queueing with predicted tokens as the cost. The first
//! entry of each workspace has a start tag, and the entry with the lowest tag is
//! served first. A workspace that sends many requests advances only its own tags.

use std::collections::VecDeque;

use crate::id::Name;
use crate::queue::entry::Ticket;
use crate::sorted::SortedVec;

/// Number of workspaces kept in addition to twice the number of busy ones.
const MAX_EXTRA_WORKSPACES: usize = 8;

/// A workspace's entries of one priority.
#[derive(Debug, Clone, Default)]
struct Flow {
    tickets: VecDeque<Ticket>,
    /// Number of queued tokens.
    tokens: u64,
    /// Start tag of the first entry, if there is one.
    start_tag: u64,
    /// Finish tag of the entry served last.
    finish_tag: u64,
}

/// Queued work that would be served before a new entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Number of entries.
    pub entries: u64,
    /// Number of tokens in these entries.
    pub tokens: u64,
    /// Rate at which the workspace is served, in tokens per second, if it is over its
    /// share and gets only what other workspaces leave.
    pub rate: Option<f64>,
}

/// The queue of one priority.
#[derive(Debug, Clone, Default)]
pub(super) struct Lane {
    flows: SortedVec<Name, Flow>,
    /// Workspaces with entries, by the start tag of their first entry.
    ready: SortedVec<(u64, Name), ()>,
    /// Virtual time: the highest start tag served so far.
    virtual_time: u64,
    /// Number of queued entries.
    entries: usize,
}

impl Lane {
    /// Queues an entry of `cost` tokens behind the other entries of its workspace.
    pub(super) fn push(&mut self, workspace: &Name, ticket: Ticket, cost: u32) {
        self.remove_idle();
        let flow = self
            .flows
            .get_or_insert_with(workspace.clone(), Flow::default);
        flow.tickets.push_back(ticket);
        flow.tokens += u64::from(cost);
        self.entries += 1;
        if flow.tickets.len() == 1 {
            flow.start_tag = flow.finish_tag.max(self.virtual_time);
            self.ready.insert((flow.start_tag, workspace.clone()), ());
        }
    }

    /// Removes the workspace's first entry and charges its cost to the workspace.
    pub(super) fn serve(&mut self, workspace: &Name, cost: u32) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(ticket) = flow.tickets.front().copied() else {
            return;
        };
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.finish_tag = flow.start_tag + u64::from(cost);
        self.remove(workspace, ticket, cost);
    }

    /// Removes an entry without charging the workspace for it.
    pub(super) fn remove(&mut self, workspace: &Name, ticket: Ticket, cost: u32) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(index) = flow.tickets.iter().position(|t| *t == ticket) else {
            return;
        };
        flow.tickets.remove(index);
        flow.tokens -= u64::from(cost);
        self.entries -= 1;
        if index == 0 {
            self.ready.remove(&(flow.start_tag, workspace.clone()));
            if !flow.tickets.is_empty() {
                flow.start_tag = flow.finish_tag.max(self.virtual_time);
                self.ready.insert((flow.start_tag, workspace.clone()), ());
            }
        }
        if self.entries == 0 {
            self.flows = SortedVec::new();
        }
    }

    /// Iterates over the workspaces' first entries, in the order to serve them.
    pub(super) fn heads(&self) -> impl Iterator<Item = Ticket> {
        let first = |name: &Name| self.flows.get(name)?.tickets.front().copied();
        self.ready
            .iter()
            .filter_map(move |((_, name), ())| first(name))
    }

    /// Whether no entries are queued.
    pub(super) fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Returns everything queued by the workspaces that `included` selects.
    pub(super) fn backlog(&self, included: impl Fn(&str) -> bool) -> Backlog {
        let mut sum = Backlog::default();
        for (_, flow) in self.flows.iter().filter(|(name, _)| included(name)) {
            sum.entries += flow.tickets.len() as u64;
            sum.tokens += flow.tokens;
        }
        sum
    }

    /// Returns what would be served before a new entry of `workspace`.
    ///
    /// Of the other workspaces, only those that `included` selects are considered.
    /// Each of them is served at most as many tokens as `workspace` itself before
    /// the new entry is complete.
    pub(super) fn backlog_ahead(
        &self,
        workspace: &str,
        cost: u32,
        included: impl Fn(&str) -> bool,
    ) -> Backlog {
        let own = self.backlog(|name| name == workspace);
        let own_finish = own.tokens + u64::from(cost);
        let mut sum = own;
        let others = self.flows.iter().filter(|(name, _)| ***name != *workspace);
        for (_, flow) in others.filter(|(name, _)| included(name)) {
            let fraction = own_finish as f64 / flow.tokens.max(1) as f64;
            sum.entries += (flow.tickets.len() as f64 * fraction.min(1.0)).ceil() as u64;
            sum.tokens += own_finish.min(flow.tokens);
        }
        sum
    }

    /// Removes idle workspaces whose finish tag is not ahead of the virtual time.
    fn remove_idle(&mut self) {
        if self.flows.len() > 2 * self.ready.len() + MAX_EXTRA_WORKSPACES {
            let virtual_time = self.virtual_time;
            self.flows
                .retain(|_, f| !f.tickets.is_empty() || f.finish_tag > virtual_time);
        }
    }
}
