//! Minute by minute counts for the service-level burn report.

use std::sync::Mutex;

use serde::Serialize;

use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

use crate::refusal::Code;
use crate::sync::lock;

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// Minutes that are kept.
const DAY: u64 = 24 * 60;

#[derive(Debug, Default)]
struct Counts {
    met: u64,
    missed: u64,
    refused: SortedVec<Code, Refused>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Refused {
    count: u64,
    wrong: u64,
}

type Rows = SortedVec<(Name, Name), Counts>;

/// Counts by minute, workspace and class, for a day.
#[derive(Debug, Default)]
pub struct BurnCounts {
    minutes: Mutex<SortedVec<u64, Rows>>,
}

impl BurnCounts {
    /// Counts an answered request.
    pub fn record_answer(&self, workspace: &Name, class: &Name, met: bool, now_ms: u64) {
        self.change(workspace, class, now_ms, |counts| {
            if met {
                counts.met += 1;
            } else {
                counts.missed += 1;
            }
        });
    }

    /// Counts a refusal; `wrong` where the budget would have covered it.
    pub fn record_refusal(
        &self,
        workspace: &Name,
        class: &Name,
        code: Code,
        wrong: bool,
        now_ms: u64,
    ) {
        self.change(workspace, class, now_ms, |counts| {
            let refused = counts.refused.get_or_insert_with(code, Refused::default);
            refused.count += 1;
            refused.wrong += u64::from(wrong);
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
            minutes.retain(|at, _| at + DAY > minute);
        }
        let rows = minutes.get_or_insert_with(minute, Rows::default);
        change(rows.get_or_insert_with((workspace.clone(), class.clone()), Counts::default));
    }

    /// The counts as the admin page shows them.
    pub fn snapshot(&self) -> BurnSnapshot {
        let minutes = lock(&self.minutes);
        BurnSnapshot {
            minutes: minutes.iter().map(minute).collect(),
        }
    }
}

fn minute((minute, rows): (&u64, &Rows)) -> MinuteWire {
    let row = |((workspace, class), counts): (&(Name, Name), &Counts)| RowWire {
        workspace: workspace.clone(),
        class: class.clone(),
        met: counts.met,
        missed: counts.missed,
        refused: counts.refused.iter().map(refused).collect(),
    };
    MinuteWire {
        minute: *minute,
        rows: rows.iter().map(row).collect(),
    }
}

fn refused((code, refused): (&Code, &Refused)) -> RefusedWire {
    RefusedWire {
        code: code.name(),
        count: refused.count,
        wrong: refused.wrong,
    }
}

/// The burn page.
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
    refused: Vec<RefusedWire>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct RefusedWire {
    code: &'static str,
    count: u64,
    #[serde(rename = "false")]
    wrong: u64,
}
