//! Only what may be repeated is, and within a budget.

use std::time::{Duration, Instant};

use poplar_core::retry::{
    Attempt, Budget, Failure, Next, RUNS, Reason, Refusal, Run, SENDS, decide,
};

const LEAVING: Failure = Failure::Refused(Refusal::Leaving);
const FENCED: Failure = Failure::Refused(Refusal::Fenced);

fn attempt(now: Instant) -> Attempt {
    Attempt {
        repeat: true,
        resumes: true,
        received: 0,
        sends: 1,
        runs: 0,
        latest: now + Duration::from_secs(10),
    }
}

fn next(failure: Failure, attempt: Attempt, now: Instant) -> Next {
    decide(failure, &attempt, &mut Budget::new(now), now)
}

fn sent_from(next: Next) -> Option<u32> {
    match next {
        Next::Send { from, .. } => Some(from),
        Next::GiveUp { .. } => None,
    }
}

#[test]
fn what_did_not_run_goes_elsewhere_even_if_it_may_not_be_repeated() {
    let now = Instant::now();
    let once = Attempt {
        repeat: false,
        resumes: false,
        ..attempt(now)
    };
    for failure in [Failure::Connect, LEAVING, Failure::Refused(Refusal::Full)] {
        assert_eq!(sent_from(next(failure, once, now)), Some(0), "{failure}");
    }
    let superseded = Next::GiveUp {
        run: Run::NotRun,
        reason: Reason::Superseded,
    };
    assert_eq!(next(FENCED, once, now), superseded);
}

#[test]
fn what_may_have_run_is_not_repeated_unless_it_may_be() {
    let now = Instant::now();
    let once = Attempt {
        repeat: false,
        runs: 1,
        ..attempt(now)
    };
    for failure in [
        Failure::Lost,
        Failure::Timeout,
        Failure::Fault,
        Failure::Garbled,
    ] {
        let given_up = Next::GiveUp {
            run: Run::Unknown,
            reason: Reason::NoRepeat(failure),
        };
        assert_eq!(next(failure, once, now), given_up);
        let again = Attempt {
            repeat: true,
            ..once
        };
        assert_eq!(sent_from(next(failure, again, now)), Some(0));
    }
}

#[test]
fn a_stream_goes_on_at_its_offset() {
    let now = Instant::now();
    let begun = Attempt {
        received: 17,
        runs: 1,
        ..attempt(now)
    };
    assert_eq!(sent_from(next(Failure::Lost, begun, now)), Some(17));
    let service = Attempt {
        resumes: false,
        ..begun
    };
    assert_eq!(sent_from(next(Failure::Lost, service, now)), None);
}

#[test]
fn attempts_are_capped_and_an_earlier_run_is_not_forgotten() {
    let now = Instant::now();
    let often = Attempt {
        sends: SENDS,
        runs: 1,
        ..attempt(now)
    };
    let given_up = Next::GiveUp {
        run: Run::Unknown,
        reason: Reason::Sends(Failure::Connect),
    };
    assert_eq!(next(Failure::Connect, often, now), given_up);
    let ran = Attempt {
        runs: RUNS,
        ..attempt(now)
    };
    assert_eq!(sent_from(next(Failure::Lost, ran, now)), None);
}

#[test]
fn without_budget_it_waits_and_is_given_up_only_when_it_would_be_late() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    while budget.take(now).is_ok() {}
    let Next::Send { after, .. } = decide(LEAVING, &attempt(now), &mut budget, now) else {
        panic!("given up with time left");
    };
    assert!(after > Duration::ZERO);
    let hurried = Attempt {
        latest: now + after / 2,
        ..attempt(now)
    };
    let late = Next::GiveUp {
        run: Run::NotRun,
        reason: Reason::Late(LEAVING),
    };
    assert_eq!(decide(LEAVING, &hurried, &mut budget, now), late);
    assert_eq!(budget.take(now + after * 2), Ok(()));
}

#[test]
fn refusals_don_t_blame_the_server() {
    assert!(!LEAVING.blames() && !FENCED.blames());
    assert!(Failure::Connect.blames() && Failure::Lost.blames());
}
