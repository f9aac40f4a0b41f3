//! Accounts of what requests hold in the memory of engines.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use poplar_core::engine_memory::{Account, Need, decayed, margin};

const CAPACITY: u64 = 100_000;

fn need(prompt: u64, output: u64) -> Need {
    Need {
        prompt,
        output,
        ..Need::default()
    }
}

fn peer(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, n).into()
}

/// Guards against an engine that gets more than it can hold because only the requests of
/// one router count, and against an account that keeps what has ended.
#[test]
fn all_routers_requests_together_leave_the_margin_free() {
    let now = Instant::now();
    let mut account = Account::default();
    let mut own = account.reserve(&need(30_000, 10_000));
    account.record_peer(peer(2), 20_000, now);
    account.record_peer(peer(3), 15_000, now);
    assert_eq!((account.own(), account.held(now)), (40_000, 75_000));
    assert_eq!(margin(CAPACITY), 10_000);
    assert!(account.has_room(&need(14_000, 1_000), CAPACITY, now));
    assert!(!account.has_room(&need(14_000, 1_001), CAPACITY, now));
    account.record_peer(peer(3), 0, now);
    assert!(account.has_room(&need(20_000, 10_000), CAPACITY, now));
    account.release(&mut own);
    account.release(&mut own);
    assert_eq!((account.own(), account.held(now)), (0, 20_000));
}

/// Guards against a figure that is forgotten with a lost datagram, and against one that
/// counts for ever after its router has ended.
#[test]
fn the_last_figure_of_a_lost_peer_counts_less_and_less() {
    let now = Instant::now();
    let mut account = Account::default();
    account.record_peer(peer(2), 80_000, now);
    let at = |s| now + Duration::from_secs_f64(s);
    let held: Vec<u64> = [6.0, 9.0, 12.0].map(|s| account.held(at(s))).to_vec();
    assert_eq!(held, [80_000, 40_000, 0]);
    assert_eq!(decayed(u64::MAX, Duration::ZERO), u64::MAX);
    assert_eq!(decayed(u64::MAX, Duration::MAX), 0);
    account.record_peer(peer(2), 80_000, at(13.0));
    account.forget_peers();
    assert_eq!(account.held(at(13.0)), 0);
}

/// Guards against a request that no engine can hold and that is refused again and again
/// as if there were no room just now, and against one that fits and is never placed.
#[test]
fn the_largest_request_fits_an_empty_engine_only() {
    let now = Instant::now();
    let largest = need(99_000, 1_000);
    assert!(!largest.fits_nowhere(CAPACITY));
    assert!(need(99_000, 1_001).fits_nowhere(CAPACITY));
    let mut account = Account::default();
    assert!(account.has_room(&largest, CAPACITY, now));
    let _held = account.reserve(&need(1, 0));
    assert!(!account.has_room(&largest, CAPACITY, now));
}

/// Guards against engines without a stated memory that get no requests.
#[test]
fn a_capacity_of_zero_is_no_limit() {
    let now = Instant::now();
    let mut account = Account::default();
    account.record_peer(peer(2), u64::MAX, now);
    let huge = need(u64::MAX, u64::MAX);
    assert!(account.has_room(&huge, 0, now) && !huge.fits_nowhere(0));
}

/// Guards against counts near the largest number that wrap round and look small.
#[test]
fn counts_do_not_overflow() {
    let now = Instant::now();
    let huge = Need {
        prompt: u64::MAX,
        hint: Some(u64::MAX),
        output: u64::MAX,
        done: u64::MAX,
        ..Need::default()
    };
    assert!(huge.fits_nowhere(u64::MAX - 1));
    let mut account = Account::default();
    account.record_peer(peer(2), u64::MAX, now);
    account.record_peer(peer(3), u64::MAX, now);
    let mut held = [account.reserve(&huge), account.reserve(&huge)];
    assert_eq!(account.held(now), u64::MAX);
    assert!(!account.has_room(&need(1, 1), CAPACITY, now));
    assert_eq!(held[0].add_output(u64::MAX), 0);
    account.grow(u64::MAX);
    held.iter_mut().for_each(|held| account.release(held));
    account.record_peer(peer(2), 0, now);
    assert!(account.own() == 0 && !account.has_room(&need(1, 1), CAPACITY, now));
}

/// Guards against outputs that are longer than expected and don't count, and against a
/// reservation that outgrows what the request allows.
#[test]
fn a_reservation_grows_to_the_allowed_output() {
    let mut account = Account::default();
    let hinted = Need {
        hint: Some(100),
        ..need(1_000, 400)
    };
    let mut held = account.reserve(&hinted);
    assert_eq!(account.own(), 1_150);
    assert_eq!(held.add_output(150), 0);
    for _ in 0..100 {
        let growth = held.add_output(5);
        account.grow(growth);
    }
    assert_eq!(account.own(), 1_400);
    account.release(&mut held);
    assert_eq!(account.own(), 0);
    let resumed = Need {
        done: 300,
        ..hinted
    };
    let mut held = account.reserve(&resumed);
    assert_eq!((account.own(), held.add_output(40)), (1_364, 0));
}

/// Guards against prompts with a common beginning that count it each time, so that an
/// engine that holds it once looks full, at this router or over all routers.
#[test]
fn a_shared_part_counts_once() {
    let now = Instant::now();
    let shared = Need {
        shared_id: 7,
        shared: 13_000,
        ..need(14_000, 500)
    };
    let mut account = Account::default();
    let mut held: Vec<_> = (0..10).map(|_| account.reserve(&shared)).collect();
    assert_eq!(account.own(), 13_000 + 10 * 1_500);
    account.record_peer(peer(2), 60_000, now);
    assert!(account.has_room(&shared, CAPACITY, now));
    let other = Need {
        shared_id: 8,
        ..shared
    };
    assert!(!account.has_room(&other, CAPACITY, now));
    account.record_announcement(7, now);
    assert_eq!(account.figure(now), 15_000);
    assert_eq!(account.figure(now + Duration::from_secs(2)), 28_000);
    held.iter_mut().for_each(|held| account.release(held));
    assert_eq!(account.figure(now), 0);
}

/// Guards against figures that the other routers never learn because larger ones come
/// first in every message.
#[test]
fn what_was_told_long_ago_gets_urgent_again() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut account = Account::default();
    let mut held = account.reserve(&need(5_000, 0));
    assert_eq!(account.urgency(now), 5_000);
    account.record_told(now);
    assert_eq!(account.urgency(now), 0);
    assert_eq!(account.urgency(later), 2_500);
    account.release(&mut held);
    assert!(account.has_news());
    assert_eq!(account.urgency(later), 5_000);
    account.record_told(later);
    assert!(!account.has_news());
}
