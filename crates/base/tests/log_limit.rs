//! The bound on lines that are logged.

use std::time::{Duration, Instant};

use poplar_base::log_limit::{LineLimiter, Verdict};

#[test]
fn a_storm_of_lines_is_cut_and_the_cut_is_told() {
    let start = Instant::now();
    let mut limit = LineLimiter::default();
    let mut written = 0;
    for line in 0..100_000u32 {
        // 10,000 lines a second for ten seconds.
        let now = start + Duration::from_micros(100) * line;
        written += u32::from(limit.admit(now) != Verdict::Drop);
    }
    assert!((3_000..4_500).contains(&written), "{written}");
    let later = start + Duration::from_secs(20);
    match limit.admit(later) {
        Verdict::Write { dropped } => assert!(dropped > 0),
        Verdict::Drop => panic!("dropped after ten quiet seconds"),
    }
    assert_eq!(limit.admit(later), Verdict::Write { dropped: 0 });
}
