//! Exact counts of what an engine did.

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use serde::{Deserialize, Serialize};

use super::batch::{Job, Started};

/// What was used of an engine, in tokens but for `runs` and `resumes`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Times that a run started from the first token.
    pub runs: u64,
    /// Times that a run started at an offset.
    pub resumes: u64,
    /// Prompt tokens of runs from the first token.
    pub prompt: u64,
    /// Tokens made, also those that nobody received.
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

/// What one request came to at this engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestCount {
    /// The request.
    pub id: Name,
    /// Its workspace.
    pub workspace: Name,
    /// Times that it arrived, also where it was refused.
    pub seen: u64,
    /// What it used.
    #[serde(flatten)]
    pub usage: Usage,
    /// Runs that came to the answer's end.
    pub finished: u64,
    /// Submissions that were cancelled or lost their caller.
    pub cancelled: u64,
}

/// What one workspace used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceCount {
    /// The workspace.
    pub workspace: Name,
    /// What it used.
    #[serde(flatten)]
    pub usage: Usage,
}

/// Counts over all requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Arrivals while the engine was leaving, all refused.
    pub after_leaving: u64,
    /// Arrivals refused as fenced.
    pub fenced: u64,
    /// Arrivals refused as full.
    pub full: u64,
    /// Arrivals that ask for a model that the engine does not offer.
    #[serde(rename = "strange")]
    pub unknown_model: u64,
    /// Prompt blocks found in the cache.
    pub cached: u64,
    /// Prompt blocks not found in the cache.
    pub missed: u64,
    /// Steps taken.
    pub steps: u64,
    /// Streams cut on purpose.
    pub cut: u64,
}

/// All counts.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Counts over all requests.
    pub totals: Totals,
    requests: Vec<RequestCount>,
    /// Places in `requests`.
    by_id: SortedVec<Name, usize>,
    workspaces: SortedVec<Name, Usage>,
}

/// All counts on the wire.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CountsWire {
    /// The engine.
    pub name: Name,
    /// Counts over all requests.
    pub totals: Totals,
    /// By workspace.
    pub workspaces: Vec<WorkspaceCount>,
    /// By request, in order of first arrival.
    pub requests: Vec<RequestCount>,
}

impl Counts {
    /// Notes that a request arrived.
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

    /// Notes that a run started.
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

    /// Notes that a token was made.
    pub fn record_token(&mut self, job: &Job) {
        if let Some(usage) = self.workspaces.get_mut(&*job.workspace) {
            usage.generated += 1;
        }
        if let Some(request) = self.request_mut(&job.id) {
            request.usage.generated += 1;
        }
    }

    /// Notes that an answer was made to its end.
    pub fn record_finish(&mut self, id: &str) {
        if let Some(request) = self.request_mut(id) {
            request.finished += 1;
        }
    }

    /// Notes that a submission was taken out.
    pub fn record_cancel(&mut self, id: &str) {
        if let Some(request) = self.request_mut(id) {
            request.cancelled += 1;
        }
    }

    /// The count of one request.
    pub fn request(&self, id: &str) -> Option<&RequestCount> {
        let at = *self.by_id.get(id)?;
        self.requests.get(at)
    }

    /// The counts of all requests.
    pub fn requests(&self) -> &[RequestCount] {
        &self.requests
    }

    /// The counts of all workspaces.
    pub fn workspaces(&self) -> Vec<WorkspaceCount> {
        let all = self.workspaces.iter();
        let count = all.map(|(workspace, usage)| WorkspaceCount {
            workspace: workspace.clone(),
            usage: *usage,
        });
        count.collect()
    }

    /// The counts of the engine `name`.
    pub fn to_wire(&self, name: &str) -> CountsWire {
        CountsWire {
            name: name.into(),
            totals: self.totals,
            workspaces: self.workspaces(),
            requests: self.requests.clone(),
        }
    }
}
