//! Only repeatable requests are repeated, and within a budget.

use std::time::{Duration, Instant};

use poplar_core::retry::{
    Attempt, Execution, Failure, MAX_RUNS, MAX_SENDS, Reason, Refusal, RetryBudget, RetryDecision,
    decide,
};

const LEAVING: Failure = Failure::Refused(Refusal::Leaving);
const FENCED: Failure = Failure::Refused(Refusal::Fenced);

fn attempt(now: Instant) -> Attempt {
    Attempt {
        repeatable: true,
        resumable: true,
        received: 0,
        sends: 1,
        runs: 0,
        send_by: now + Duration::from_secs(10),
    }
}

fn next(failure: Failure, attempt: Attempt, now: Instant) -> RetryDecision {
    decide(failure, &attempt, &mut RetryBudget::new(now), now)
}

fn sent_from(next: RetryDecision) -> Option<u32> {
    match next {
        RetryDecision::Send { offset, .. } => Some(offset),
        RetryDecision::GiveUp { .. } => None,
    }
}

#[test]
fn a_request_that_did_not_run_is_sent_elsewhere_even_if_not_repeatable() {
    let now = Instant::now();
    let once = Attempt {
        repeatable: false,
        resumable: false,
        ..attempt(now)
    };
    for failure in [Failure::Connect, LEAVING, Failure::Refused(Refusal::Full)] {
        assert_eq!(sent_from(next(failure, once, now)), Some(0), "{failure}");
    }
    let superseded = RetryDecision::GiveUp {
        execution: Execution::NotRun,
        reason: Reason::Superseded,
    };
    assert_eq!(next(FENCED, once, now), superseded);
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_if_repeatable() {
    let now = Instant::now();
    let once = Attempt {
        repeatable: false,
        runs: 1,
        ..attempt(now)
    };
    for failure in [
        Failure::Lost,
        Failure::Timeout,
        Failure::Fault,
        Failure::Garbled,
    ] {
        let given_up = RetryDecision::GiveUp {
            execution: Execution::Unknown,
            reason: Reason::NotRepeatable(failure),
        };
        assert_eq!(next(failure, once, now), given_up);
        let again = Attempt {
            repeatable: true,
            ..once
        };
        assert_eq!(sent_from(next(failure, again, now)), Some(0));
    }
}

#[test]
fn a_stream_continues_at_its_offset() {
    let now = Instant::now();
    let begun = Attempt {
        received: 17,
        runs: 1,
        ..attempt(now)
    };
    assert_eq!(sent_from(next(Failure::Lost, begun, now)), Some(17));
    let service = Attempt {
        resumable: false,
        ..begun
    };
    assert_eq!(sent_from(next(Failure::Lost, service, now)), None);
}

#[test]
fn sends_are_limited_and_an_earlier_run_is_reported() {
    let now = Instant::now();
    let often = Attempt {
        sends: MAX_SENDS,
        runs: 1,
        ..attempt(now)
    };
    let given_up = RetryDecision::GiveUp {
        execution: Execution::Unknown,
        reason: Reason::TooManySends(Failure::Connect),
    };
    assert_eq!(next(Failure::Connect, often, now), given_up);
    let ran = Attempt {
        runs: MAX_RUNS,
        ..attempt(now)
    };
    assert_eq!(sent_from(next(Failure::Lost, ran, now)), None);
}

#[test]
fn without_budget_a_request_waits_as_long_as_its_deadline_allows() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    while budget.take(now).is_ok() {}
    let RetryDecision::Send { delay, .. } = decide(LEAVING, &attempt(now), &mut budget, now) else {
        panic!("given up with time left");
    };
    assert!(delay > Duration::ZERO);
    let hurried = Attempt {
        send_by: now + delay / 2,
        ..attempt(now)
    };
    let late = RetryDecision::GiveUp {
        execution: Execution::NotRun,
        reason: Reason::TooLate(LEAVING),
    };
    assert_eq!(decide(LEAVING, &hurried, &mut budget, now), late);
    assert_eq!(budget.take(now + delay * 2), Ok(()));
}

#[test]
fn refusals_don_t_blame_the_server() {
    assert!(!LEAVING.blames_server() && !FENCED.blames_server());
    assert!(Failure::Connect.blames_server() && Failure::Lost.blames_server());
}
