//! Reports of crashes as routers exchange them, in datagrams and in the table.
//!
//! Times are ages, since the routers have no clock in common.

use std::time::Instant;

use poplar_core::id::Name;
use poplar_core::poison::{CrashId, Fingerprint, Report, Sighting};
use serde::{Deserialize, Serialize};

use crate::relay::age::{age_ms, time_of};

/// Reports with their ages.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportsWire {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashWire>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    answers: Vec<AnswerWire>,
}

/// A crash and the requests that were on the server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct CrashWire {
    server: Name,
    started_ms: u64,
    age_ms: u64,
    requests: Vec<String>,
}

/// A request that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct AnswerWire {
    request: String,
    age_ms: u64,
}

pub(super) fn encode_fingerprint(fingerprint: Fingerprint) -> String {
    format!("{:032x}", fingerprint.0)
}

pub(super) fn decode_fingerprint(text: &str) -> Option<Fingerprint> {
    u128::from_str_radix(text, 16).ok().map(Fingerprint)
}

impl ReportsWire {
    /// Encodes reports at `now`. Crashes whose process is not known are left
    /// out.
    pub fn encode<'a>(reports: impl IntoIterator<Item = &'a Report>, now: Instant) -> Self {
        let mut wire = Self::default();
        for report in reports {
            match report {
                Report::Crash(sighting) => wire.add_crash(sighting, now),
                Report::Answer { fingerprint, at } => wire.answers.push(AnswerWire {
                    request: encode_fingerprint(*fingerprint),
                    age_ms: age_ms(*at, now),
                }),
            }
        }
        wire
    }

    fn add_crash(&mut self, sighting: &Sighting, now: Instant) {
        let CrashId::Process(started_ms) = sighting.id else {
            return;
        };
        let request = encode_fingerprint(sighting.fingerprint);
        let mut known = self.crashes.iter_mut();
        let is_same =
            |c: &&mut CrashWire| c.server == sighting.server && c.started_ms == started_ms;
        match known.find(is_same) {
            Some(crash) => crash.requests.push(request),
            None => self.crashes.push(CrashWire {
                server: sighting.server.clone(),
                started_ms,
                age_ms: age_ms(sighting.at, now),
                requests: vec![request],
            }),
        }
    }

    /// The reports, of which `now` is the time that they were encoded at.
    /// Requests that can't be decoded are left out.
    pub fn decode(&self, now: Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for crash in &self.crashes {
            let requests = crash.requests.iter();
            let requests = requests.filter_map(|text| decode_fingerprint(text));
            reports.extend(requests.map(|fingerprint| {
                Report::Crash(Sighting {
                    fingerprint,
                    server: crash.server.clone(),
                    id: CrashId::Process(crash.started_ms),
                    at: time_of(crash.age_ms, now),
                })
            }));
        }
        let answers = self.answers.iter().filter_map(|answer| {
            Some(Report::Answer {
                fingerprint: decode_fingerprint(&answer.request)?,
                at: time_of(answer.age_ms, now),
            })
        });
        reports.extend(answers);
        reports
    }
}
