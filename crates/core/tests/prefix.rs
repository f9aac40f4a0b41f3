//! Block hashes follow the protocol, and caches are estimated from late events.

use poplar_core::prefix::{BlockHashes, CacheEvent, CacheOp, CacheView, RecentServers};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

fn add(seq: u64, prefix: u64) -> CacheEvent {
    let op = CacheOp::Add;
    CacheEvent { seq, op, prefix }
}

fn drop(seq: u64, prefix: u64) -> CacheEvent {
    let op = CacheOp::Drop;
    CacheEvent { seq, op, prefix }
}

#[test]
fn blocks_are_chained_and_an_incomplete_one_is_left_out() {
    let mut chain = BlockHashes::new();
    chain.add_message("system", &"a".repeat(300));
    chain.add_message("user", &"b".repeat(200));
    let text = format!("system\n{}\nuser\n{}\n", "a".repeat(300), "b".repeat(200));
    let first = xxh3_64(&text.as_bytes()[..256]);
    let second = xxh3_64_with_seed(&text.as_bytes()[256..512], first);
    assert_eq!(chain.hashes(), [first, second]);
    assert_eq!(chain.tokens_in(1, 514), 256);
}

#[test]
fn a_prompt_matches_up_to_the_first_block_that_is_missing() {
    let mut view = CacheView::new(100);
    for (seq, prefix) in [(1, 10), (2, 11), (3, 13)] {
        view.apply(add(seq, prefix));
    }
    assert_eq!(view.matched_blocks(&[10, 11, 12, 13]), 2);
    view.apply(drop(4, 10));
    assert_eq!(view.matched_blocks(&[10, 11]), 0);
    assert_eq!(view.cursor(), 4);
}

#[test]
fn a_late_event_does_not_undo_a_newer_one() {
    let mut view = CacheView::new(100);
    view.apply(add(1, 10));
    view.apply(add(3, 10));
    view.apply(drop(2, 10));
    assert_eq!(view.matched_blocks(&[10]), 1);
}

#[test]
fn a_sent_prompt_counts_as_cached_until_an_event_says_otherwise() {
    let mut view = CacheView::new(100);
    view.record_sent(&[10, 11]);
    assert_eq!(view.matched_blocks(&[10, 11, 12]), 2);
    view.apply(drop(1, 11));
    assert_eq!(view.matched_blocks(&[10, 11, 12]), 1);
}

#[test]
fn a_long_gap_clears_the_view_and_a_short_one_does_not() {
    let mut view = CacheView::new(100);
    (1..=20).for_each(|seq| view.apply(add(seq, seq)));
    view.apply(add(25, 25));
    assert_eq!(view.len(), 21);
    view.apply(add(60, 60));
    assert_eq!(view.len(), 1);
}

#[test]
fn the_view_is_bounded_and_evicts_the_least_recently_used() {
    let mut view = CacheView::new(64);
    (1..=64).for_each(|seq| view.apply(add(seq, seq)));
    view.record_sent(&[1]);
    (65..=70).for_each(|seq| view.apply(add(seq, seq)));
    assert!(view.len() <= 64);
    assert_eq!(view.matched_blocks(&[1]), 1);
    assert_eq!(view.matched_blocks(&[2]), 0);
}

#[test]
fn the_most_recent_servers_of_the_longest_prefix_are_found() {
    let chain: Vec<u64> = (1..=12).collect();
    let mut recent = RecentServers::new(1024);
    recent.record_sent(&chain[..4], 7);
    assert_eq!(recent.lookup(&chain), [7]);
    recent.record_sent(&chain, 8);
    recent.record_sent(&chain, 9);
    assert_eq!(recent.lookup(&chain), [9, 8]);
    assert_eq!(recent.lookup(&chain[..4]), [9, 8]);
    assert!(recent.lookup(&[99]).is_empty());
}
