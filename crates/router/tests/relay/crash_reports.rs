//! Reports of crashes between routers: what goes into datagrams and into the
//! table, and how much of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::deployment::{ColdNotice, Server};
use poplar_core::poison::{CrashId, EXPIRY, Features, Fingerprint, Report, Sighting};
use poplar_core::retry::Failure;
use poplar_platform::rows::{Row, Write};
use poplar_router::relay::crashes::wire::ReportsWire;
use poplar_router::relay::crashes::{Crashes, Source};
use poplar_router::relay::servers::Listing;

use crate::site::crashes_of;

/// Bytes that a row may have: a tenth of a second of 10 Mbit/s for 40 of them.
const MAX_ROW_BYTES: usize = 3_000;
/// Bytes of the reports in one datagram.
const MAX_DATAGRAM_BYTES: usize = 1_500;
/// Rows that the table may have.
const MAX_ROWS: u64 = 1_000;

fn request(n: u64) -> Fingerprint {
    Fingerprint::new("/read/", &n.to_le_bytes())
}

/// The request by itself, without a prompt.
fn features(n: u64) -> Features {
    Features {
        content: request(n),
        resource: None,
        parts: Vec::new(),
    }
}

/// Makes a router see a crash under these requests.
fn crash(crashes: &Arc<Crashes>, server: u64, requests: std::ops::Range<u64>, now: Instant) {
    let server = Server {
        id: format!("i-{server:010x}").into(),
        service: "plain".into(),
        address: "127.0.0.1:9".parse().expect("valid"),
        centre: "a".into(),
        software: "v1".into(),
        ready: true,
        started_ms: 1_760_000_000_000,
        slots: 8,
        cold: ColdNotice::default(),
    };
    for n in requests {
        let listing = Listing::Restarted;
        crashes.suspect(&features(n), &server, listing, Failure::Lost, now);
    }
}

fn row(write: &Write) -> Row {
    Row {
        key: write.key.clone(),
        version: 1,
        value: write.value.clone().expect("a row is added"),
    }
}

/// A row that another router wrote when the store's clock was `clock`.
fn other_row(clock: u64) -> Row {
    Row {
        key: format!("{clock:014}-0").into(),
        version: 1,
        value: format!("{{\"clock\":{clock}}}").into_bytes(),
    }
}

/// Guards against reports that are lost with one datagram, and against
/// datagrams that take the bandwidth of requests.
#[test]
fn each_report_goes_into_three_small_datagrams() {
    let now = Instant::now();
    let crashes = crashes_of("a");
    crash(&crashes, 1, 0..100, now);
    let mut sent: Vec<Report> = Vec::new();
    loop {
        let reports = crashes.take_unsent(Instant::now());
        if reports.is_empty() {
            break;
        }
        let wire = serde_json::to_vec(&ReportsWire::encode(&reports, now)).expect("plain data");
        assert!(wire.len() <= MAX_DATAGRAM_BYTES, "{}", wire.len());
        sent.extend(reports);
    }
    assert_eq!(sent.len(), 300);
    for n in 0..100 {
        let is_this = |r: &&Report| matches!(r, Report::Crash(s) if s.fingerprint == request(n));
        assert_eq!(sent.iter().filter(is_this).count(), 3);
    }
}

/// Guards against a table that grows without limit, and against rows that are
/// too large for a small link.
#[test]
fn rows_are_small_and_old_ones_are_removed() {
    let now = Instant::now();
    let crashes = crashes_of("a");
    let clock = EXPIRY.as_millis() as u64 * 2;
    crash(&crashes, 1, 0..100, now);
    assert!(crashes.next_writes(now).is_none(), "the table was not read");
    let rows: Vec<Row> = (0..MAX_ROWS + 5)
        .map(|n| other_row(clock - 9_000 + n))
        .collect();
    crashes.merge_rows(rows.iter(), clock, now);
    let (reports, writes) = crashes.next_writes(now).expect("reports");
    assert_eq!((reports.len(), writes.len()), (64, 7));
    assert!(row(&writes[0]).value.len() <= MAX_ROW_BYTES);
    let removed: Vec<&str> = writes[1..].iter().map(|w| &*w.key).collect();
    let oldest: Vec<&str> = rows[..6].iter().map(|row| &*row.key).collect();
    assert_eq!(removed, oldest);
    // A write without an answer is repeated with the same reports.
    assert_eq!(crashes.next_writes(now).expect("reports").0, reports);
    crashes.record_written(&reports);
    assert_eq!(crashes.next_writes(now).expect("reports").0.len(), 36);
    let expired = [other_row(1), other_row(clock - 1)];
    crashes.merge_rows(expired.iter(), clock, now);
    let (_, writes) = crashes.next_writes(now).expect("reports");
    assert_eq!((writes.len(), &writes[1].key), (2, &expired[0].key));
}

/// Guards against reports that change what they say on the way.
#[test]
fn a_router_learns_from_the_table_what_another_one_saw() {
    let now = Instant::now();
    let (a, b) = (crashes_of("a"), crashes_of("b"));
    for server in 1..=3 {
        crash(&a, server, 0..1, now);
    }
    a.merge_rows([].iter(), 5_000, now);
    let (_, writes) = a.next_writes(now).expect("reports");
    let rows = [
        row(&writes[0]),
        other_row(7),
        Row {
            key: "invalid".into(),
            version: 1,
            value: b"not JSON".to_vec(),
        },
    ];
    // The other router reads it 20 s later, several times.
    let later = now + Duration::from_secs(20);
    for _ in 0..3 {
        b.merge_rows(rows.iter(), 25_000, later);
    }
    let reason = b.refusal_reason(&features(0), later).expect("refused");
    assert_eq!((reason.crashes, reason.ago.as_secs()), (3, 20));
    // An answer clears it there, too.
    a.record_answer(&features(0), later);
    let answer = a.take_unsent(later);
    b.merge(answer, Source::Peer, later);
    assert!(b.refusal_reason(&features(0), later).is_none());
}

/// Reports as builds decode them that count only features of requests.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct OldReports {
    #[serde(default)]
    crashes: Vec<OldCrash>,
    #[serde(default)]
    answers: Vec<OldAnswer>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct OldCrash {
    server: String,
    started_ms: u64,
    requests: Vec<String>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct OldAnswer {
    request: String,
}

fn sighting(fingerprint: Fingerprint, at: Instant) -> Report {
    Report::Crash(Sighting {
        fingerprint,
        server: "i-1".into(),
        id: CrashId::Process(7),
        at,
    })
}

/// Guards against reports that the build before can't read, or by which it would count
/// a crash twice.
#[test]
fn builds_that_count_only_features_read_these_and_nothing_else() {
    let now = Instant::now();
    let resource = request(1);
    let content = Fingerprint::of_fields([b"GET".as_slice(), b"/read/"]);
    let answer = |fingerprint| Report::Answer {
        fingerprint,
        at: now,
    };
    let reports = [
        sighting(content, now),
        sighting(resource, now),
        answer(content),
        answer(resource),
    ];
    let wire = ReportsWire::encode(&reports, now);
    let text = serde_json::to_string(&wire).expect("plain data");
    let hash = format!("{:032x}", resource.hash);
    let old: OldReports = serde_json::from_str(&text).expect("readable");
    let [crash] = &old.crashes[..] else {
        panic!("{old:?}");
    };
    assert_eq!((&*crash.server, crash.started_ms), ("i-1", 7));
    assert_eq!(crash.requests, std::slice::from_ref(&hash));
    let answers: Vec<&str> = old.answers.iter().map(|a| &*a.request).collect();
    assert_eq!(answers, [&*hash]);
    let decoded = serde_json::from_str::<ReportsWire>(&text).expect("readable");
    let decoded = decoded.decode(now);
    assert!(reports.iter().all(|report| decoded.contains(report)));
    // What the build before sends.
    let old = format!(
        "{{\"crashes\":[{{\"server\":\"i-1\",\"started_ms\":7,\"age_ms\":0,\
         \"requests\":[\"{hash}\"]}}],\"answers\":[{{\"request\":\"{hash}\",\"age_ms\":0}}]}}"
    );
    let old = serde_json::from_str::<ReportsWire>(&old).expect("readable");
    assert_eq!(old.decode(now), [sighting(resource, now), answer(resource)]);
}
