//! The list of backend servers through outages of the store.

use std::time::{Duration, Instant};

use poplar_core::deployment::{Server, ServerList};

fn server(id: &str, ready: bool) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        centre: "a".into(),
        ready,
        started_ms: 1,
        slots: 8,
    }
}

fn ready(list: &ServerList) -> usize {
    list.ready_servers("s").count()
}

#[test]
fn an_older_list_is_passed_over() {
    let now = Instant::now();
    let mut list = ServerList::default();
    assert!(list.update(vec![server("a", false)], 9, now));
    assert!(!list.update(vec![server("a", true)], 8, now));
    assert_eq!(ready(&list), 0);
}

#[test]
fn entries_that_lapsed_in_an_outage_are_kept_for_a_moment() {
    let now = Instant::now();
    let mut list = ServerList::default();
    list.update(vec![server("a", true), server("b", true)], 1, now);
    let back = now + Duration::from_secs(9);
    list.update(vec![server("a", true)], 2, back);
    assert_eq!(ready(&list), 2);
    // Read on as often as a router does.
    for step in 1..=6u32 {
        let now = back + Duration::from_millis(400) * step;
        list.update(vec![server("a", true)], 2 + u64::from(step), now);
    }
    assert_eq!(ready(&list), 1);
}

#[test]
fn an_entry_that_is_gone_in_touch_is_gone_at_once() {
    let now = Instant::now();
    let mut list = ServerList::default();
    list.update(vec![server("a", true), server("b", true)], 1, now);
    list.update(vec![server("a", true)], 2, now + Duration::from_millis(400));
    assert_eq!(ready(&list), 1);
}
