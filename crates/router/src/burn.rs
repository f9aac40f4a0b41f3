//! Counts per minute from which `poplar-burn` computes how fast service-level
//! objectives burn their error budgets.

use std::sync::Mutex;

use serde::Serialize;

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use crate::refusal::Code;
use crate::sync::lock;

const MINUTE_MS: u64 = 60_000;
/// How long counts are kept: one day.
const RETENTION_MINUTES: u64 = 24 * 60;

#[derive(Debug, Default)]
struct Counts {
    met: u64,
    missed: u64,
    refusals: SortedVec<Code, RefusalCounts>,
}

#[derive(Debug, Default, Clone, Copy)]
struct RefusalCounts {
    total: u64,
    /// Refusals of requests that the budget would have covered.
    false_refusals: u64,
}

type Rows = SortedVec<(Name, Name), Counts>;

/// Counts by minute, workspace and class, for the last day.
#[derive(Debug, Default)]
pub struct BurnCounts {
    minutes: Mutex<SortedVec<u64, Rows>>,
}

impl BurnCounts {
    /// Counts an answered request; `met` says whether it met its targets.
    pub fn record_answer(&self, workspace: &Name, class: &Name, met: bool, now_ms: u64) {
        self.change(workspace, class, now_ms, |counts| {
            if met {
                counts.met += 1;
            } else {
                counts.missed += 1;
            }
        });
    }

    /// Counts a refusal.
    ///
    /// A refusal is false when the budget would have covered the request.
    pub fn record_refusal(
        &self,
        workspace: &Name,
        class: &Name,
        code: Code,
        false_refusal: bool,
        now_ms: u64,
    ) {
        self.change(workspace, class, now_ms, |counts| {
            let refusals = counts
                .refusals
                .get_or_insert_with(code, RefusalCounts::default);
            refusals.total += 1;
            refusals.false_refusals += u64::from(false_refusal);
        });
    }

    fn change(
        &self,
        workspace: &Name,
        class: &Name,
        now_ms: u64,
        change: impl FnOnce(&mut Counts),
    ) {
        let minute = now_ms / MINUTE_MS;
        let mut minutes = lock(&self.minutes);
        if !minutes.contains(&minute) {
            minutes.retain(|at, _| at + RETENTION_MINUTES > minute);
        }
        let rows = minutes.get_or_insert_with(minute, Rows::default);
        change(rows.get_or_insert_with((workspace.clone(), class.clone()), Counts::default));
    }

    /// Returns a copy of the counts for the admin API.
    pub fn snapshot(&self) -> BurnSnapshot {
        let minutes = lock(&self.minutes);
        BurnSnapshot {
            minutes: minutes.iter().map(minute_wire).collect(),
        }
    }
}

fn minute_wire((minute, rows): (&u64, &Rows)) -> MinuteWire {
    let row = |((workspace, class), counts): (&(Name, Name), &Counts)| RowWire {
        workspace: workspace.clone(),
        class: class.clone(),
        met: counts.met,
        missed: counts.missed,
        refused: counts.refusals.iter().map(refusal_wire).collect(),
    };
    MinuteWire {
        minute: *minute,
        rows: rows.iter().map(row).collect(),
    }
}

fn refusal_wire((code, refusals): (&Code, &RefusalCounts)) -> RefusalWire {
    RefusalWire {
        code: code.name(),
        count: refusals.total,
        false_refusals: refusals.false_refusals,
    }
}

/// Response of `/v1/burn` on the admin address.
#[derive(Debug)]
#[derive(Serialize)]
pub struct BurnSnapshot {
    minutes: Vec<MinuteWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct MinuteWire {
    minute: u64,
    rows: Vec<RowWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct RowWire {
    workspace: Name,
    class: Name,
    met: u64,
    missed: u64,
    refused: Vec<RefusalWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct RefusalWire {
    code: &'static str,
    count: u64,
    #[serde(rename = "false")]
    false_refusals: u64,
}
