//! Admission control: accepts what can finish on time and refuses the rest.

use std::time::{Duration, Instant};

use poplar_core::admit::{Code, Conditions, DrainRate, Reason, Targets, Verdict, admit};
use poplar_core::queue::Backlog;
use poplar_core::route::predict::Forecast;

const MS: Duration = Duration::from_millis(1);

const TARGETS: Targets = Targets {
    first: Some(Duration::from_millis(500)),
    finish: Duration::from_millis(2000),
};

fn conditions() -> Conditions {
    Conditions {
        ahead: Backlog::default(),
        drain_rate: Some(1000.0),
        best: Some(Forecast {
            wait: Duration::ZERO,
            first: MS * 50,
            finish: MS * 650,
        }),
        has_room: true,
        elapsed: Duration::ZERO,
    }
}

fn conditions_with_queue(tokens: u64) -> Conditions {
    Conditions {
        ahead: Backlog {
            entries: 1,
            tokens,
            rate: None,
        },
        has_room: false,
        ..conditions()
    }
}

#[test]
fn a_request_that_can_finish_is_accepted_with_its_latest_send_time() {
    let now = Instant::now();
    let verdict = admit(TARGETS, &conditions_with_queue(300), 1, now);
    let expected = Verdict::Accept {
        send_by: now + MS * 450,
        start: MS * 300,
        reason: Reason::OnTime { finish: MS * 950 },
    };
    assert_eq!(verdict, expected);
}

#[test]
fn a_request_that_would_be_late_is_refused_with_a_jittered_retry_after() {
    let now = Instant::now();
    let retry_after = |random| match admit(TARGETS, &conditions_with_queue(1450), random, now) {
        Verdict::Refuse {
            code: Code::Overloaded,
            retry_after: Some(after),
            reason: Reason::LateFirst { .. },
        } => after,
        other => panic!("{other:?}"),
    };
    // The first token would be one second late.
    assert!((0..100).all(|random| (MS * 1000..MS * 1500).contains(&retry_after(random))));
    assert_ne!(retry_after(1), retry_after(2));
}

#[test]
fn a_request_that_can_never_finish_gets_no_retry_after() {
    let slow = Conditions {
        best: Some(Forecast {
            wait: MS * 10,
            first: MS * 60,
            finish: MS * 3000,
        }),
        ..conditions()
    };
    let verdict = admit(TARGETS, &slow, 1, Instant::now());
    let Verdict::Refuse {
        code, retry_after, ..
    } = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!((code.as_str(), retry_after), ("too_long", None));
}

#[test]
fn a_request_without_a_server_is_refused() {
    let none = Conditions {
        best: None,
        ..conditions()
    };
    let verdict = admit(TARGETS, &none, 1, Instant::now());
    assert!(matches!(
        verdict,
        Verdict::Refuse {
            code: Code::NoBackend,
            ..
        }
    ));
}

#[test]
fn the_drain_rate_is_measured_only_while_requests_wait() {
    let now = Instant::now();
    let mut drain = DrainRate::default();
    // Demand is low at first, so no requests wait and nothing is measured.
    for i in 0..100 {
        drain.record_sent(3, 100, now + MS * 100 * i);
    }
    assert_eq!(drain.rate(3), None);
    let start = now + MS * 20_000;
    drain.set_waiting(true, start);
    for i in 0..1000 {
        let priority = if i % 4 == 0 { 0 } else { 3 };
        drain.record_sent(priority, 100, start + MS * 10 * i);
    }
    let all = drain.rate(0).unwrap();
    let rest = drain.rate(3).unwrap();
    assert!((9_000.0..11_000.0).contains(&all), "{all}");
    assert!((6_700.0..8_300.0).contains(&rest), "{rest}");
}
