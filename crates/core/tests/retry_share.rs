//! The shared repeat budget is kept by all routers together.

use std::time::{Duration, Instant};

use poplar_core::retry::share::{Share, SharedBudget};

const TERMS: SharedBudget = SharedBudget {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

#[test]
fn eight_routers_keep_the_common_budget_when_everything_fails() {
    let start = Instant::now();
    let mut shares = vec![Share::default(); 8];
    let (mut requests, mut repeats) = (0, 0);
    for step in 0..1000u32 {
        let now = start + Duration::from_millis(10) * step;
        for share in &mut shares {
            share.record_request(&TERMS, now);
            requests += 1;
            repeats += usize::from(share.take(&TERMS, 8, now));
        }
    }
    let most = TERMS.ratio * f64::from(requests) + TERMS.slack;
    assert!((repeats as f64) <= most, "{repeats} of {most}");
    assert!((repeats as f64) > 0.5 * most, "{repeats} of {most}");
}
