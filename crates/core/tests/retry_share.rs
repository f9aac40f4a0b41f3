//! All routers together stay within the shared retry budget.

use std::time::{Duration, Instant};

use poplar_core::retry::share::{Share, SharedBudget};

const BUDGET: SharedBudget = SharedBudget {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

#[test]
fn eight_routers_stay_within_the_budget_when_everything_fails() {
    let start = Instant::now();
    let mut shares = vec![Share::default(); 8];
    let (mut requests, mut retries) = (0, 0);
    for step in 0..1000u32 {
        let now = start + Duration::from_millis(10) * step;
        for share in &mut shares {
            share.record_request(&BUDGET, now);
            requests += 1;
            retries += usize::from(share.take(&BUDGET, 8, now));
        }
    }
    let limit = BUDGET.ratio * f64::from(requests) + BUDGET.slack;
    assert!((retries as f64) <= limit, "{retries} of {limit}");
    assert!((retries as f64) > 0.5 * limit, "{retries} of {limit}");
}
