//! A request that crashes backend servers is refused after the second crash.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use poplar_core::id::{Incarnation, Name};
use poplar_core::poison::{CrashHistory, CrashId, Fingerprint, Report, Sighting};

const SECOND: Duration = Duration::from_secs(1);

fn history(router: &str) -> CrashHistory {
    CrashHistory::new(Incarnation::new(router, 1), Duration::ZERO)
}

fn fingerprint() -> Fingerprint {
    Fingerprint::new("scenes", b"user\nboom\n")
}

fn crash(history: &mut CrashHistory, server: &str, now: Instant) -> Vec<Sighting> {
    let server: Name = server.into();
    history.record_lost_connection(fingerprint(), &server, None, now);
    history.record_dead_server(&server, None, now + SECOND)
}

#[test]
fn model_and_content_make_the_fingerprint() {
    assert_eq!(fingerprint(), Fingerprint::new("scenes", b"user\nboom\n"));
    assert_ne!(fingerprint(), Fingerprint::new("chat", b"user\nboom\n"));
    assert_ne!(fingerprint(), Fingerprint::new("scenes", b"user\nbooms\n"));
    // The boundary between model and prompt counts.
    assert_ne!(Fingerprint::new("ab", b"c"), Fingerprint::new("a", b"bc"));
}

#[test]
fn the_second_crash_is_refused_on_every_router() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    let first = crash(&mut a, "e0", now);
    assert!(a.is_suspect(fingerprint(), now) && a.refusal_reason(fingerprint(), now).is_none());
    for sighting in first {
        b.merge(sighting, now);
    }
    let later = now + SECOND * 20;
    crash(&mut b, "e1", later);
    assert_eq!(b.refusal_reason(fingerprint(), later).unwrap().crashes, 2);
    for sighting in b.sightings() {
        a.merge(sighting.clone(), later);
    }
    assert!(a.refusal_reason(fingerprint(), later).is_some());
}

#[test]
fn a_lost_connection_alone_is_not_a_crash() {
    let now = Instant::now();
    let mut history = history("a");
    for server in ["e0", "e1", "e2"] {
        history.record_lost_connection(fingerprint(), &server.into(), None, now);
    }
    assert!(!history.is_suspect(fingerprint(), now));
    // A server that is found dead much later died of something else.
    assert!(
        history
            .record_dead_server("e0", None, now + SECOND * 6)
            .is_empty()
    );
    // The death of another server proves nothing.
    history.record_lost_connection(fingerprint(), &"e1".into(), None, now);
    assert!(
        history
            .record_dead_server("e3", None, now + SECOND)
            .is_empty()
    );
}

#[test]
fn a_sighting_received_again_does_not_count_again() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    let seen = crash(&mut a, "e0", now);
    for _ in 0..10 {
        for sighting in &seen {
            b.merge(sighting.clone(), now);
        }
        for sighting in b.sightings() {
            a.merge(sighting.clone(), now);
        }
    }
    assert!(
        a.refusal_reason(fingerprint(), now).is_none()
            && b.refusal_reason(fingerprint(), now).is_none()
    );
    // The reported age may be wrong.
    let again = Sighting {
        at: now + SECOND * 10,
        ..seen[0].clone()
    };
    b.merge(again, now + SECOND * 10);
    assert!(b.refusal_reason(fingerprint(), now + SECOND * 10).is_none());
}

#[test]
fn one_crash_seen_by_two_routers_counts_once() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    crash(&mut a, "e0", now);
    for sighting in crash(&mut b, "e0", now + SECOND) {
        a.merge(sighting, now);
    }
    assert!(a.refusal_reason(fingerprint(), now).is_none());
    // The same server crashed again later does count.
    for sighting in crash(&mut b, "e0", now + SECOND * 30) {
        a.merge(sighting, now);
    }
    assert!(a.refusal_reason(fingerprint(), now).is_some());
}

#[test]
fn crashes_expire_and_the_history_is_bounded() {
    let now = Instant::now();
    let mut history = history("a");
    crash(&mut history, "e0", now);
    crash(&mut history, "e1", now);
    assert!(history.refusal_reason(fingerprint(), now).is_some());
    assert!(
        history
            .refusal_reason(fingerprint(), now + SECOND * 1000)
            .is_none()
    );
    for i in 0..2000u32 {
        let other = Fingerprint::new("scenes", &i.to_le_bytes());
        history.record_lost_connection(other, &"e2".into(), None, now);
        history.record_dead_server("e2", None, now);
    }
    let fingerprints: std::collections::BTreeSet<Fingerprint> =
        history.sightings().map(|s| s.fingerprint).collect();
    assert_eq!(fingerprints.len(), 1024);
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::new("scenes", name.as_bytes())
}

/// A sighting of a process whose start time is known.
fn sighting(name: &str, server: &str, started_ms: u64, at: Instant) -> Sighting {
    Sighting {
        fingerprint: request(name),
        server: server.into(),
        id: CrashId::Process(started_ms),
        at,
    }
}

/// Merges sightings of these requests at one crash.
fn crash_under(history: &mut CrashHistory, names: &[&str], server: &str, at: Instant) {
    for name in names {
        history.merge(sighting(name, server, 1, at), at);
    }
}

/// Guards against requests that are refused because another one, which they ran
/// beside, crashes servers.
#[test]
fn of_requests_that_share_crashes_none_is_refused_before_the_third() {
    let now = Instant::now();
    let mut history = history("a");
    let later = now + SECOND;
    crash_under(&mut history, &["poison", "beside", "other"], "e0", now);
    crash_under(&mut history, &["poison", "beside"], "e1", later);
    for name in ["poison", "beside", "other"] {
        assert!(history.refusal_reason(request(name), later).is_none());
    }
    crash_under(&mut history, &["poison"], "e2", later + SECOND);
    let reason = |name| history.refusal_reason(request(name), later + SECOND);
    assert_eq!(reason("poison").map(|r| r.crashes), Some(3));
    assert!(reason("beside").is_none() && reason("other").is_none());
}

/// The only request that two crashes have in common is refused at once, so that
/// the third server stays up.
#[test]
fn the_only_request_that_explains_two_crashes_is_refused() {
    let now = Instant::now();
    let mut history = history("a");
    crash_under(&mut history, &["poison", "beside"], "e0", now);
    crash_under(&mut history, &["poison", "other"], "e1", now + SECOND);
    let reason = |name| history.refusal_reason(request(name), now + SECOND);
    assert!(reason("poison").is_some());
    assert!(reason("beside").is_none() && reason("other").is_none());
}

/// Guards against a request that is refused because the router does not know yet
/// that another one, at another router, was at the same crashes.
#[test]
fn two_crashes_count_once_the_reports_of_others_can_have_arrived() {
    let now = Instant::now();
    let report_time = SECOND / 5;
    let mut history = CrashHistory::new(Incarnation::new("a", 1), report_time);
    crash_under(&mut history, &["beside"], "e0", now);
    crash_under(&mut history, &["beside"], "e1", now);
    let soon = now + report_time / 2;
    assert!(history.refusal_reason(request("beside"), soon).is_none());
    let mut alone = history.clone();
    let later = now + report_time;
    assert!(alone.refusal_reason(request("beside"), later).is_some());
    // A third crash counts at once.
    crash_under(&mut alone, &["beside"], "e2", soon);
    assert!(alone.refusal_reason(request("beside"), soon).is_some());
    for server in ["e0", "e1"] {
        history.merge(sighting("poison", server, 1, now), soon);
    }
    assert!(history.refusal_reason(request("beside"), later).is_none());
}

/// Guards against requests that are refused since they were, by chance, on two
/// of several servers that crash for another reason.
#[test]
fn a_request_is_not_refused_for_two_of_several_crashes() {
    let now = Instant::now();
    let mut history = history("a");
    crash_under(&mut history, &["unlucky"], "e0", now);
    crash_under(&mut history, &["another"], "e1", now);
    crash_under(&mut history, &["unlucky"], "e2", now + SECOND);
    assert!(
        history
            .refusal_reason(request("unlucky"), now + SECOND)
            .is_none()
    );
    // A crash that came long before says nothing about these.
    let later = now + SECOND * 30;
    crash_under(&mut history, &["late"], "e3", later);
    crash_under(&mut history, &["late"], "e4", later + SECOND);
    assert!(
        history
            .refusal_reason(request("late"), later + SECOND)
            .is_some()
    );
}

/// Guards against a request that is sent often and is therefore on some server
/// at each crash, whatever the cause.
#[test]
fn sightings_before_an_answer_do_not_count() {
    let now = Instant::now();
    let (mut a, mut b) = (history("a"), history("b"));
    for history in [&mut a, &mut b] {
        for server in ["e0", "e1", "e2"] {
            crash_under(history, &["popular"], server, now);
        }
        assert!(history.refusal_reason(request("popular"), now).is_some());
    }
    a.record_answer(request("popular"), now + SECOND);
    let cleared = a.clear_answered(request("popular"), now + SECOND);
    assert_eq!(cleared, Some(now + SECOND));
    let answer = Report::Answer {
        fingerprint: request("popular"),
        at: now + SECOND,
    };
    assert!(b.merge_report(answer.clone(), now + SECOND));
    assert!(!b.merge_report(answer, now + SECOND));
    for history in [&mut a, &mut b] {
        // A sighting that comes late was before the answer, too.
        assert!(!history.merge(sighting("popular", "e3", 1, now), now + SECOND));
        assert!(
            history
                .refusal_reason(request("popular"), now + SECOND)
                .is_none()
        );
        let later = now + SECOND * 2;
        for server in ["e0", "e1", "e2"] {
            history.merge(sighting("popular", server, 2, later), later);
        }
        assert!(history.refusal_reason(request("popular"), later).is_some());
    }
}

/// Guards against sightings that outlive an answer because they came after it,
/// from another router.
#[test]
fn an_answer_clears_sightings_that_come_later() {
    let now = Instant::now();
    let mut history = history("a");
    history.record_answer(request("popular"), now);
    history.record_answer(request("popular"), now + SECOND * 2);
    assert_eq!(history.clear_answered(request("popular"), now), None);
    let later = now + SECOND * 3;
    history.merge(sighting("popular", "e0", 1, now + SECOND), later);
    let cleared = history.clear_answered(request("popular"), later);
    assert_eq!(cleared, Some(now + SECOND * 2));
    // An answer before the crash shows nothing.
    history.merge(sighting("popular", "e1", 1, later), later);
    assert_eq!(history.clear_answered(request("popular"), later), None);
    assert_eq!(history.crashes(request("popular"), later), 1);
}

/// Guards against requests that are refused because they were at three crashes
/// beside one that was at more.
#[test]
fn a_request_that_another_one_explains_is_not_refused() {
    let now = Instant::now();
    let mut history = history("a");
    for server in ["e0", "e1", "e2"] {
        crash_under(&mut history, &["poison", "beside"], server, now);
    }
    // Nothing tells them apart yet.
    for name in ["poison", "beside"] {
        let reason = history.refusal_reason(request(name), now);
        assert!(reason.is_some_and(|r| r.is_shared), "{name}");
    }
    crash_under(&mut history, &["poison"], "e3", now);
    assert!(history.refusal_reason(request("beside"), now).is_none());
    // No other request was at all crashes of the cause, which needs no trial.
    let reason = history.refusal_reason(request("poison"), now);
    assert!(reason.is_some_and(|r| !r.is_shared));
    // A crash of its own is not explained.
    crash_under(&mut history, &["beside"], "e4", now);
    assert!(history.refusal_reason(request("beside"), now).is_some());
}

/// Guards against one crash that counts twice since it was seen at different
/// times, and two crashes of one server that count once.
#[test]
fn a_process_ends_once_and_the_next_one_ends_again() {
    let now = Instant::now();
    let mut history = history("a");
    history.merge(sighting("poison", "e0", 1, now), now);
    assert!(!history.merge(
        sighting("poison", "e0", 1, now + SECOND * 9),
        now + SECOND * 9
    ));
    assert_eq!(history.crashes(request("poison"), now), 1);
    history.merge(sighting("poison", "e0", 2, now + SECOND), now + SECOND);
    assert_eq!(history.crashes(request("poison"), now + SECOND), 2);
}

/// Guards against suspicions of one process that the end of the next confirms.
#[test]
fn the_end_of_another_process_confirms_nothing() {
    let now = Instant::now();
    let mut history = history("a");
    history.record_lost_connection(request("poison"), &"e0".into(), Some(1), now);
    assert!(history.has_suspects("e0", Some(1), now) && !history.has_suspects("e0", Some(2), now));
    assert!(history.record_dead_server("e0", Some(2), now).is_empty());
    assert!(history.record_dead_server("e0", None, now).is_empty());
    assert_eq!(history.record_dead_server("e0", Some(1), now).len(), 1);
    assert!(history.record_dead_server("e0", Some(1), now).is_empty());
}

/// Guards against a request that crashes servers being forgotten because one
/// server crashed with many others on it.
#[test]
fn crashes_under_many_requests_displace_none_that_crashed_more() {
    let now = Instant::now();
    let mut history = history("a");
    crash_under(&mut history, &["poison"], "e0", now);
    crash_under(&mut history, &["poison"], "e1", now);
    crash_under(&mut history, &["poison"], "e2", now);
    let later = now + SECOND;
    for n in 0..3000 {
        crash_under(&mut history, &[&format!("beside {n}")], "e3", later);
    }
    assert!(history.refusal_reason(request("poison"), later).is_some());
    assert_eq!(history.suspected_requests(), 1024);
}

proptest! {
    /// Guards against knowledge that depends on the order in which reports
    /// arrive, or on how often.
    #[test]
    fn reports_may_arrive_in_any_order_and_twice(
        reports in prop::collection::vec((0..3_usize, 0..5_usize, 0..60_u64, 0..4_u8), 1..16),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        const NAMES: [&str; 3] = ["one", "two", "three"];
        const SERVERS: [&str; 5] = ["e0", "e1", "e2", "e3", "e4"];
        let start = Instant::now();
        let now = start + SECOND * 100;
        let report = |&(name, server, at, kind): &(usize, usize, u64, u8)| {
            let at = start + SECOND * at as u32;
            if kind == 0 {
                let fingerprint = request(NAMES[name]);
                return Report::Answer { fingerprint, at };
            }
            // The process and the time are known alike to all that report it.
            let at = start + SECOND * (10 * u32::from(kind) + server as u32);
            Report::Crash(sighting(NAMES[name], SERVERS[server], u64::from(kind), at))
        };
        let reports: Vec<Report> = reports.iter().map(report).collect();
        let (mut in_order, mut shuffled) = (history("a"), history("b"));
        for report in &reports {
            in_order.merge_report(report.clone(), now);
        }
        for index in &order {
            shuffled.merge_report(index.get(&reports).clone(), now);
        }
        for report in reports.iter().rev() {
            shuffled.merge_report(report.clone(), now);
        }
        for name in NAMES {
            let reason = |history: &CrashHistory| history.refusal_reason(request(name), now);
            prop_assert_eq!(reason(&in_order), reason(&shuffled));
            let crashes = |history: &CrashHistory| history.crashes(request(name), now);
            prop_assert_eq!(crashes(&in_order), crashes(&shuffled));
        }
    }
}
