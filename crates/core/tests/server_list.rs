//! The list of backend servers during and after outages of the store.

use std::time::{Duration, Instant};

use poplar_core::deployment::{ColdNotice, Server, ServerList};

fn server(id: &str, ready: bool) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        centre: "a".into(),
        software: "v1".into(),
        ready,
        started_ms: 1,
        slots: 8,
        cold: ColdNotice::default(),
    }
}

fn ready(list: &ServerList, now: Instant) -> usize {
    list.ready_servers("s", now).count()
}

#[test]
fn an_older_list_is_ignored() {
    let now = Instant::now();
    let mut list = ServerList::default();
    assert!(list.update(vec![server("a", false)], 9, now));
    assert!(!list.update(vec![server("a", true)], 8, now));
    assert_eq!(ready(&list, now), 0);
}

#[test]
fn servers_missing_after_an_outage_stay_listed_for_the_grace_period() {
    let now = Instant::now();
    let mut list = ServerList::default();
    list.update(vec![server("a", true), server("b", true)], 1, now);
    list.record_failed_read();
    let outage_end = now + Duration::from_secs(9);
    list.update(vec![server("a", true)], 2, outage_end);
    assert_eq!(ready(&list, outage_end), 2);
    // A router reads the list about this often.
    for step in 1..=6u32 {
        let now = outage_end + Duration::from_millis(400) * step;
        list.update(vec![server("a", true)], 2 + u64::from(step), now);
    }
    assert_eq!(ready(&list, outage_end + Duration::from_millis(2400)), 1);
}

#[test]
fn a_server_missing_without_an_outage_is_removed_at_once() {
    let now = Instant::now();
    let mut list = ServerList::default();
    list.update(vec![server("a", true), server("b", true)], 1, now);
    let next = now + Duration::from_millis(400);
    list.update(vec![server("a", true)], 2, next);
    assert_eq!(ready(&list, next), 1);
}

/// Guards against a list that counts as read after an outage, and keeps servers
/// that have left, because its reads take long over a small link.
#[test]
fn a_server_missing_after_a_slow_read_is_removed_at_once() {
    let now = Instant::now();
    let mut list = ServerList::default();
    list.update(vec![server("a", true), server("b", true)], 1, now);
    let next = now + Duration::from_secs(3);
    list.update(vec![server("a", true)], 2, next);
    assert_eq!(ready(&list, next), 1);
}

/// Guards against requests to a server that left during an outage, in the time
/// between the end of the grace period and the next read of the list.
#[test]
fn a_missing_server_gets_no_requests_after_the_grace_period() {
    let now = Instant::now();
    let mut list = ServerList::default();
    list.update(vec![server("a", true), server("b", true)], 1, now);
    list.record_failed_read();
    let outage_end = now + Duration::from_secs(9);
    list.update(vec![server("a", true)], 2, outage_end);
    assert_eq!(ready(&list, outage_end + Duration::from_millis(2100)), 2);
    assert_eq!(ready(&list, outage_end + Duration::from_millis(2300)), 1);
}
