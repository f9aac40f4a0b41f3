//! Exact counts of the requests and tokens that an engine processed.

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

use super::batch::{Job, Started};

/// Usage of an engine; all fields but `runs` and `resumes` count tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Runs that started from the first token.
    pub runs: u64,
    /// Runs that resumed at an offset.
    pub resumes: u64,
    /// Prompt tokens of runs that started from the first token.
    pub prompt: u64,
    /// Generated tokens, including those that no caller received.
    pub generated: u64,
    /// Prompt tokens of resumed runs.
    pub reprefill: u64,
}

impl Usage {
    fn record_start(&mut self, job: &Job) {
        if job.resume_from.is_some() {
            self.resumes += 1;
            self.reprefill += job.prompt.tokens;
        } else {
            self.runs += 1;
            self.prompt += job.prompt.tokens;
        }
    }
}

/// Counts of one request at this engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestCount {
    /// The request ID.
    pub id: Name,
    /// Its workspace.
    pub workspace: Name,
    /// How often it arrived, including refused arrivals.
    pub seen: u64,
    /// Its usage.
    #[serde(flatten)]
    pub usage: Usage,
    /// Runs that generated the answer to its end.
    pub finished: u64,
    /// Submissions that were cancelled or whose caller disconnected.
    pub cancelled: u64,
}

/// Usage of one workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceCount {
    /// The workspace.
    pub workspace: Name,
    /// Its usage.
    #[serde(flatten)]
    pub usage: Usage,
}

/// Totals over all requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Arrivals refused because the engine was leaving.
    pub after_leaving: u64,
    /// Arrivals refused for a stale fencing number.
    pub fenced: u64,
    /// Arrivals refused because too many requests were waiting.
    pub full: u64,
    /// Arrivals that ask for no model or for one that the engine does not offer.
    #[serde(rename = "strange")]
    pub unknown_model: u64,
    /// Prompt blocks that were in the cache.
    pub cached: u64,
    /// Prompt blocks that were not in the cache.
    pub missed: u64,
    /// Steps run.
    pub steps: u64,
    /// Streams cut by a switch.
    pub cut: u64,
}

/// All counts.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Totals over all requests.
    pub totals: Totals,
    requests: Vec<RequestCount>,
    /// Indexes into `requests`.
    by_id: SortedVec<Name, usize>,
    workspaces: SortedVec<Name, Usage>,
}

/// All counts on the wire.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CountsWire {
    /// Name of the engine.
    pub name: Name,
    /// Totals over all requests.
    pub totals: Totals,
    /// Usage by workspace.
    pub workspaces: Vec<WorkspaceCount>,
    /// Counts by request, in order of first arrival.
    pub requests: Vec<RequestCount>,
}

impl Counts {
    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, id: &Name, workspace: &Name) {
        let next = self.requests.len();
        let at = *self.by_id.get_or_insert_with(id.clone(), || next);
        if at == next {
            self.requests.push(RequestCount {
                id: id.clone(),
                workspace: workspace.clone(),
                seen: 0,
                usage: Usage::default(),
                finished: 0,
                cancelled: 0,
            });
        }
        self.requests[at].seen += 1;
    }

    fn request_mut(&mut self, id: &str) -> Option<&mut RequestCount> {
        let at = *self.by_id.get(id)?;
        self.requests.get_mut(at)
    }

    /// Counts the start of a run.
    pub fn record_start(&mut self, started: &Started) {
        let job = &started.job;
        self.totals.cached += started.hits as u64;
        self.totals.missed += (job.prompt.blocks.len() - started.hits) as u64;
        let workspace = job.workspace.clone();
        let usage = self
            .workspaces
            .get_or_insert_with(workspace, Usage::default);
        usage.record_start(job);
        if let Some(request) = self.request_mut(&job.id) {
            request.usage.record_start(job);
        }
    }

    /// Counts a generated token.
    pub fn record_token(&mut self, job: &Job) {
        if let Some(usage) = self.workspaces.get_mut(&*job.workspace) {
            usage.generated += 1;
        }
        if let Some(request) = self.request_mut(&job.id) {
            request.usage.generated += 1;
        }
    }

    /// Counts an answer that was generated to its end.
    pub fn record_finish(&mut self, id: &str) {
        if let Some(request) = self.request_mut(id) {
            request.finished += 1;
        }
    }

    /// Counts a cancelled submission.
    pub fn record_cancel(&mut self, id: &str) {
        if let Some(request) = self.request_mut(id) {
            request.cancelled += 1;
        }
    }

    /// The counts of one request.
    pub fn request(&self, id: &str) -> Option<&RequestCount> {
        let at = *self.by_id.get(id)?;
        self.requests.get(at)
    }

    /// The counts of all requests.
    pub fn requests(&self) -> &[RequestCount] {
        &self.requests
    }

    /// The usage of all workspaces.
    pub fn workspaces(&self) -> Vec<WorkspaceCount> {
        let all = self.workspaces.iter();
        let count = all.map(|(workspace, usage)| WorkspaceCount {
            workspace: workspace.clone(),
            usage: *usage,
        });
        count.collect()
    }

    /// The counts on the wire, with the name of the engine.
    pub fn to_wire(&self, name: &str) -> CountsWire {
        CountsWire {
            name: name.into(),
            totals: self.totals,
            workspaces: self.workspaces(),
            requests: self.requests.clone(),
        }
    }
}
