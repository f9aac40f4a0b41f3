//! Reports of crashes as routers exchange them, in datagrams and in the table.
//!
//! Times are ages, since the routers have no clock in common. Fingerprints of requests
//! have fields of their own: builds that count only features don't read these, and send
//! and understand the others.

use std::time::Instant;

use poplar_core::id::Name;
use poplar_core::poison::{CrashId, Fingerprint, Kind, Report, Sighting};
use serde::{Deserialize, Serialize};

use crate::relay::age::{age_ms, time_of};

/// Reports with their ages.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportsWire {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashWire>,
    /// Answers to requests with a feature.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    answers: Vec<AnswerWire>,
    /// Answers to requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    content_answers: Vec<AnswerWire>,
}

/// A crash and the requests that were on the server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct CrashWire {
    server: Name,
    started_ms: u64,
    age_ms: u64,
    /// Features of the requests.
    requests: Vec<String>,
    /// The requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    contents: Vec<String>,
}

/// A request that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct AnswerWire {
    request: String,
    age_ms: u64,
}

pub(super) fn encode_hash(fingerprint: Fingerprint) -> String {
    format!("{:032x}", fingerprint.hash)
}

pub(super) fn decode_hash(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

fn decode(texts: &[String], of: fn(u128) -> Fingerprint) -> impl Iterator<Item = Fingerprint> {
    texts.iter().filter_map(|text| decode_hash(text)).map(of)
}

impl ReportsWire {
    /// Encodes reports at `now`. Crashes whose process is not known are left
    /// out.
    pub fn encode<'a>(reports: impl IntoIterator<Item = &'a Report>, now: Instant) -> Self {
        let mut wire = Self::default();
        for report in reports {
            match report {
                Report::Crash(sighting) => wire.add_crash(sighting, now),
                Report::Answer { fingerprint, at } => {
                    let answers = match fingerprint.kind {
                        Kind::Feature => &mut wire.answers,
                        Kind::Request => &mut wire.content_answers,
                    };
                    answers.push(AnswerWire {
                        request: encode_hash(*fingerprint),
                        age_ms: age_ms(*at, now),
                    });
                }
            }
        }
        wire
    }

    fn add_crash(&mut self, sighting: &Sighting, now: Instant) {
        let CrashId::Process(started_ms) = sighting.id else {
            return;
        };
        let is_same = |c: &CrashWire| c.server == sighting.server && c.started_ms == started_ms;
        let place = self.crashes.iter().position(is_same);
        let place = place.unwrap_or_else(|| {
            self.crashes.push(CrashWire {
                server: sighting.server.clone(),
                started_ms,
                age_ms: age_ms(sighting.at, now),
                requests: Vec::new(),
                contents: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[place];
        let hashes = match sighting.fingerprint.kind {
            Kind::Feature => &mut crash.requests,
            Kind::Request => &mut crash.contents,
        };
        hashes.push(encode_hash(sighting.fingerprint));
    }

    /// The reports, of which `now` is the time that they were encoded at.
    /// Requests that can't be decoded are left out.
    pub fn decode(&self, now: Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for crash in &self.crashes {
            let contents = decode(&crash.contents, Fingerprint::of_request);
            let found = decode(&crash.requests, Fingerprint::of_feature).chain(contents);
            reports.extend(found.map(|fingerprint| {
                Report::Crash(Sighting {
                    fingerprint,
                    server: crash.server.clone(),
                    id: CrashId::Process(crash.started_ms),
                    at: time_of(crash.age_ms, now),
                })
            }));
        }
        let answers = self.answers.iter();
        let answers = answers.map(|a| (a, Fingerprint::of_feature as fn(u128) -> _));
        let contents = self.content_answers.iter();
        let contents = contents.map(|a| (a, Fingerprint::of_request as fn(u128) -> _));
        reports.extend(answers.chain(contents).filter_map(|(answer, of)| {
            Some(Report::Answer {
                fingerprint: of(decode_hash(&answer.request)?),
                at: time_of(answer.age_ms, now),
            })
        }));
        reports
    }
}
