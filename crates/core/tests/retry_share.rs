//! All routers together stay within the shared retry budget.

use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::retry::share::{SharedBudget, Shares};

const BUDGET: SharedBudget = SharedBudget {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};
const STEP: Duration = Duration::from_millis(10);

fn service() -> Name {
    "plain".into()
}

/// Takes as many retries as the shares allow; returns when.
fn take_all(shares: &mut Shares, now: Instant, taken: &mut Vec<Instant>) {
    while shares.take(&service(), &BUDGET, now) {
        taken.push(now);
    }
}

/// The most retries in a window.
fn busiest_window(taken: &[Instant]) -> usize {
    let in_window = |start: usize| {
        let end = taken[start] + BUDGET.window;
        taken[start..].iter().take_while(|at| **at < end).count()
    };
    (0..taken.len()).map(in_window).max().unwrap_or(0)
}

#[test]
fn eight_routers_stay_within_the_budget_when_everything_fails() {
    let start = Instant::now();
    let mut shares = vec![Shares::new(start); 8];
    let (mut requests, mut retries) = (0, 0);
    for step in 0..1000u32 {
        let now = start + STEP * step;
        for shares in &mut shares {
            shares.record_routers(8, now);
            shares.record_request(&service(), &BUDGET, now);
            requests += 1;
            retries += usize::from(shares.take(&service(), &BUDGET, now));
        }
    }
    let limit = BUDGET.ratio * f64::from(requests) + BUDGET.slack;
    assert!((retries as f64) <= limit, "{retries} of {limit}");
    assert!((retries as f64) > 0.5 * limit, "{retries} of {limit}");
}

/// Guards against processes that restart and take a part of the slack which the
/// process before them has used.
#[test]
fn restarted_routers_take_no_slack_twice() {
    let start = Instant::now();
    let mut shares = vec![Shares::new(start); 8];
    let mut taken = Vec::new();
    for step in 0..6000u32 {
        let now = start + STEP * step;
        for (n, shares) in shares.iter_mut().enumerate() {
            // Each restarts every 12 to 19 s, and uses its part at once.
            if step > 0 && step.is_multiple_of(1200 + 100 * n as u32) {
                *shares = Shares::new(now);
            }
            shares.record_routers(8, now);
            take_all(shares, now, &mut taken);
        }
    }
    let most = busiest_window(&taken);
    assert!(
        most as f64 <= BUDGET.slack,
        "{most} retries without requests"
    );
    assert!(most as f64 > 0.3 * BUDGET.slack, "only {most} retries");
}

/// Guards against routers that divide the slack among those that they see, while
/// others, which are cut off, still use their parts.
#[test]
fn routers_that_are_no_longer_seen_keep_their_part() {
    let start = Instant::now();
    let mut shares = vec![Shares::new(start); 8];
    let mut taken = Vec::new();
    for step in 0..4000u32 {
        let now = start + STEP * step;
        let is_cut = step > 1500;
        for (n, shares) in shares.iter_mut().enumerate() {
            let seen = if is_cut && n < 5 { 5 } else { 8 };
            shares.record_routers(seen, now);
            take_all(shares, now, &mut taken);
        }
    }
    let most = busiest_window(&taken);
    assert!(
        most as f64 <= BUDGET.slack,
        "{most} retries without requests"
    );
}

/// Guards against slack that is lost for good with routers that have ended.
#[test]
fn the_part_of_a_router_that_has_ended_is_used_some_minutes_later() {
    let start = Instant::now();
    let mut shares = Shares::new(start);
    shares.record_routers(8, start);
    let later = start + Duration::from_secs(6 * 60);
    shares.record_routers(1, later);
    let mut taken = Vec::new();
    take_all(&mut shares, later, &mut taken);
    assert!(taken.len() as f64 > 0.8 * BUDGET.slack, "{}", taken.len());
}

/// Guards against retries of a process that was frozen before it sent them, which
/// arrive in a later window than they were taken in.
#[test]
fn a_retry_counts_when_it_is_sent() {
    let start = Instant::now();
    let mut shares = Shares::new(start);
    let taken_at = start + Duration::from_secs(20);
    let mut taken = Vec::new();
    take_all(&mut shares, taken_at, &mut taken);
    let sent_at = taken_at + Duration::from_secs(8);
    for at in &taken {
        shares.record_send(&service(), *at, sent_at);
    }
    for after in [4, 9] {
        let now = sent_at + Duration::from_secs(after);
        assert!(!shares.take(&service(), &BUDGET, now), "{after} s later");
    }
    let next_window = sent_at + Duration::from_secs(12);
    assert!(shares.take(&service(), &BUDGET, next_window));
}
