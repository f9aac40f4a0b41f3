//! Property tests of the decisions on generated histories, with a fixed seed.

use std::time::{Duration, Instant};

use poplar_core::queue::{Entry, Queue};
use poplar_core::retry::RetryBudget;
use poplar_core::route::limit;
use poplar_core::route::server::{Completion, InFlight, LoadReport, Server};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const MS: Duration = Duration::from_millis(1);

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn entry(id: usize, workspace: usize, cost: u32, now: Instant) -> Entry {
    Entry {
        id: id as u64,
        workspace: format!("w{workspace}").into(),
        priority: 0,
        cost,
        queued_at: now,
        send_by: now + MS * 60_000,
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// While all workspaces have entries waiting, the costs served to any two of
    /// them differ by at most the largest cost of an entry for each of the two.
    #[test]
    fn workspaces_are_served_fairly(costs in prop::collection::vec((0usize..4, 1u32..500), 40..200)) {
        let now = Instant::now();
        let mut queue = Queue::new(10_000);
        let mut left = [0usize; 4];
        for (id, (workspace, cost)) in costs.iter().enumerate() {
            queue.push(entry(id, *workspace, *cost, now)).unwrap();
            left[*workspace] += 1;
        }
        let mut served = [0u32; 4];
        while left.iter().all(|count| *count > 0) {
            let popped = queue.pop(now, |_| true).unwrap();
            let (workspace, cost) = costs[popped.entry.id as usize];
            served[workspace] += cost;
            left[workspace] -= 1;
            let spread = served.iter().max().unwrap() - served.iter().min().unwrap();
            prop_assert!(spread <= 2 * 500, "{served:?}");
        }
    }

    /// For any sequence of pushes, pops, removals and expiries, each entry leaves the
    /// queue exactly once, and none is popped after its `send_by`.
    #[test]
    fn each_entry_leaves_once_and_never_late(
        steps in prop::collection::vec((0u8..4, 0usize..5, 0u8..10, 1u32..300), 1..200),
    ) {
        let mut now = Instant::now();
        let mut queue = Queue::new(50);
        let mut tickets = Vec::new();
        let mut removals = vec![0; steps.len()];
        let mut pushed = 0;
        for (id, (action, workspace, priority, wait)) in steps.iter().enumerate() {
            now += MS * (*wait / 4);
            match action {
                0 | 1 => {
                    let entry = Entry {
                        priority: *priority,
                        send_by: now + MS * *wait,
                        ..entry(id, *workspace, *wait, now)
                    };
                    if let Ok(ticket) = queue.push(entry) {
                        pushed += 1;
                        tickets.push(ticket);
                    }
                }
                2 => if let Some(popped) = queue.pop(now, |e| e.id % 3 > 0) {
                    prop_assert!(popped.entry.send_by >= now);
                    removals[popped.entry.id as usize] += 1;
                },
                _ => if let Some(removed) = tickets.pop().and_then(|t| queue.remove(t)) {
                    removals[removed.id as usize] += 1;
                },
            }
            for expired in queue.expire(now) {
                prop_assert!(expired.send_by < now);
                removals[expired.id as usize] += 1;
            }
            prop_assert!(queue.len() <= 50);
        }
        for expired in queue.expire(now + MS * 1000) {
            removals[expired.id as usize] += 1;
        }
        prop_assert!(queue.is_empty());
        prop_assert!(removals.iter().all(|times| *times <= 1));
        prop_assert_eq!(removals.iter().sum::<i32>(), pushed);
    }

    /// Routers that each fill a server up to their own limit after the same report
    /// together hold at most the cap, or what was there before, plus one request
    /// each.
    #[test]
    fn router_limits_sum_to_the_cap(
        own_counts in prop::collection::vec(0u32..12, 1..12),
        slots in 1u32..64,
        salt: u64,
    ) {
        let now = Instant::now();
        let routers = own_counts.len() as u32;
        let running = own_counts.iter().sum();
        let report = LoadReport { running, waiting: 0, slots, step: MS * 6, taken: now };
        let flight = |sent| InFlight {
            priority: 3, sent, prefill: 100, remaining: 100, slot_free: true, last_token: None,
        };
        let mut total = 0;
        for (i, own) in own_counts.iter().enumerate() {
            let mut server = Server::new("e".into(), "nbo-a".into(), MS);
            server.salt = salt.wrapping_add(i as u64);
            for id in 0..*own {
                server.record_dispatch(id.into(), flight(now - MS));
            }
            server.record_report(report);
            let mut id = 1000;
            while limit::has_room(&server, routers) {
                server.record_dispatch(id, flight(now + MS));
                id += 1;
            }
            total += server.in_flight();
        }
        let cap = (f64::from(slots) * 1.05).ceil() as u32;
        // A router above its even share still occupies what the limits already
        // offer to the others.
        let excess: u32 = own_counts.iter().map(|own| own.saturating_sub(cap / routers)).sum();
        prop_assert!(total <= cap.max(running) + excess + routers, "{total}");
    }

    /// For any history, a router's own count equals its open requests and never
    /// exceeds the server's load.
    #[test]
    fn in_flight_count_is_exact_for_any_history(
        steps in prop::collection::vec((0u8..4, 0u64..8, 0u32..20), 1..100),
    ) {
        let start = Instant::now();
        let mut now = start + MS * 100;
        let mut server = Server::new("e".into(), "nbo-a".into(), MS);
        let mut open = std::collections::BTreeSet::new();
        for (action, id, gap) in steps {
            now += MS * gap;
            match action {
                0 if open.insert(id) => server.record_dispatch(id, InFlight {
                    priority: id as u8, sent: now, prefill: 100, remaining: 10, slot_free: false, last_token: None,
                }),
                1 => { open.remove(&id); server.record_end(id, Completion::Answered(10), now); }
                2 => server.record_tokens(id, 1, now),
                _ => server.record_report(LoadReport {
                    running: open.len() as u32, waiting: 0, slots: 8, step: MS, taken: now - MS * gap,
                }),
            }
            prop_assert_eq!(server.in_flight(), open.len() as u32);
            prop_assert!(server.in_flight_at_report() <= 8 && server.load() >= server.in_flight());
        }
    }

    /// For any history, the retries stay within the share of requests, the minimum
    /// rate and the initial allowance.
    #[test]
    fn retries_stay_within_the_retry_budget(steps in prop::collection::vec((0u8..3, 0u32..400), 1..400)) {
        let start = Instant::now();
        let mut now = start;
        let mut budget = RetryBudget::new(now);
        let (mut requests, mut retries) = (0u32, 0u32);
        for (action, gap) in steps {
            now += MS * gap;
            if action == 0 {
                requests += 1;
                budget.record_request(now);
            } else {
                retries += u32::from(budget.take(now).is_ok());
            }
            let seconds = (now - start).as_secs_f64();
            let limit = 10.0 + 0.1 * f64::from(requests) + seconds;
            prop_assert!(f64::from(retries) <= limit, "{retries} > {limit}");
        }
    }
}
