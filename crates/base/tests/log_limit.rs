//! Rate limit of log lines.

use std::time::{Duration, Instant};

use poplar_base::log_limit::{LineLimiter, Verdict};

#[test]
fn a_burst_of_lines_is_limited_and_the_dropped_lines_are_counted() {
    let start = Instant::now();
    let mut limiter = LineLimiter::default();
    let mut written = 0;
    for line in 0..100_000u32 {
        // 10,000 lines per second for ten seconds.
        let now = start + Duration::from_micros(100) * line;
        written += u32::from(limiter.admit(now) != Verdict::Drop);
    }
    assert!((3_000..4_500).contains(&written), "{written}");
    let later = start + Duration::from_secs(20);
    match limiter.admit(later) {
        Verdict::Write { dropped } => assert!(dropped > 0),
        Verdict::Drop => panic!("dropped after ten seconds without a line"),
    }
    assert_eq!(limiter.admit(later), Verdict::Write { dropped: 0 });
}
