//! Admission takes what can finish on time and refuses the rest at once.

use std::time::{Duration, Instant};

use poplar_core::admit::{Code, Conditions, DrainRate, Reason, Targets, Verdict, admit};
use poplar_core::queue::Backlog;
use poplar_core::route::predict::Forecast;

const MS: Duration = Duration::from_millis(1);

const TARGETS: Targets = Targets {
    first: Some(Duration::from_millis(500)),
    finish: Duration::from_millis(2000),
};

fn outlook() -> Conditions {
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

fn queued(tokens: u64) -> Conditions {
    Conditions {
        ahead: Backlog {
            entries: 1,
            tokens,
            rate: None,
        },
        has_room: false,
        ..outlook()
    }
}

#[test]
fn what_can_finish_is_taken_and_told_its_latest_start() {
    let now = Instant::now();
    let verdict = admit(TARGETS, &queued(300), 1, now);
    let expected = Verdict::Accept {
        send_by: now + MS * 450,
        start: MS * 300,
        reason: Reason::OnTime { finish: MS * 950 },
    };
    assert_eq!(verdict, expected);
}

#[test]
fn what_would_be_late_is_refused_with_a_jittered_time_to_come_back() {
    let now = Instant::now();
    let back = |dice| match admit(TARGETS, &queued(1450), dice, now) {
        Verdict::Refuse {
            code: Code::Overloaded,
            retry_after: Some(after),
            reason: Reason::LateFirst { .. },
        } => after,
        other => panic!("{other:?}"),
    };
    // The first token would be a second late.
    assert!((0..100).all(|dice| (MS * 1000..MS * 1500).contains(&back(dice))));
    assert_ne!(back(1), back(2));
}

#[test]
fn what_never_can_is_not_told_to_come_back() {
    let slow = Conditions {
        best: Some(Forecast {
            wait: MS * 10,
            first: MS * 60,
            finish: MS * 3000,
        }),
        ..outlook()
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
fn without_a_server_it_is_refused() {
    let none = Conditions {
        best: None,
        ..outlook()
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
fn the_drain_measures_what_is_sent_while_something_waits() {
    let now = Instant::now();
    let mut drain = DrainRate::default();
    // Little is asked for at first, so nothing waits and nothing is measured.
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
