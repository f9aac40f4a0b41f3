//! Properties of the decisions over generated histories, with fixed seeds.

use std::time::{Duration, Instant};

use poplar_core::queue::{Entry, Queue};
use poplar_core::retry::RetryBudget;
use poplar_core::route::limit;
use poplar_core::route::server::{Completion, InFlight, LoadReport, Server};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const MS: Duration = Duration::from_millis(1);

fn fixed() -> ProptestConfig {
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
    #![proptest_config(fixed())]

    /// Between two workspaces that both always wait, what they were served
    /// never differs by more than one of the largest entries each.
    #[test]
    fn turns_are_fair(costs in prop::collection::vec((0usize..4, 1u32..500), 40..200)) {
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

    /// Whatever is pushed, popped, removed or expired, nothing leaves twice or
    /// late, and nothing is lost.
    #[test]
    fn each_entry_leaves_once_and_never_late(
        steps in prop::collection::vec((0u8..4, 0usize..5, 0u8..10, 1u32..300), 1..200),
    ) {
        let mut now = Instant::now();
        let mut queue = Queue::new(50);
        let mut tickets = Vec::new();
        let mut gone = vec![0; steps.len()];
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
                    gone[popped.entry.id as usize] += 1;
                },
                _ => if let Some(removed) = tickets.pop().and_then(|t| queue.remove(t)) {
                    gone[removed.id as usize] += 1;
                },
            }
            for late in queue.expire(now) {
                prop_assert!(late.send_by < now);
                gone[late.id as usize] += 1;
            }
            prop_assert!(queue.len() <= 50);
        }
        for late in queue.expire(now + MS * 1000) {
            gone[late.id as usize] += 1;
        }
        prop_assert!(queue.is_empty());
        prop_assert!(gone.iter().all(|times| *times <= 1));
        prop_assert_eq!(gone.iter().sum::<i32>(), pushed);
    }

    /// Routers that fill up to their limits after one report stay together
    /// within the cap or what was there, and one request each.
    #[test]
    fn limits_sum_to_the_cap(
        owns in prop::collection::vec(0u32..12, 1..12),
        slots in 1u32..64,
        salt: u64,
    ) {
        let now = Instant::now();
        let routers = owns.len() as u32;
        let running = owns.iter().sum();
        let report = LoadReport { running, waiting: 0, slots, step: MS * 6, taken: now };
        let flight = |sent| InFlight {
            priority: 3, sent, prefill: 100, remaining: 100, slot_free: true, last_token: None,
        };
        let mut total = 0;
        for (i, own) in owns.iter().enumerate() {
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
        // What a router above its part passes on is not yet given up by it.
        let passed: u32 = owns.iter().map(|own| own.saturating_sub(cap / routers)).sum();
        prop_assert!(total <= cap.max(running) + passed + routers, "{total}");
    }

    /// Own counts follow any history, and never exceed the load.
    #[test]
    fn counts_follow_any_history(
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

    /// Over any history the sends again stay within the share, the floor and
    /// the first allowance.
    #[test]
    fn the_retry_budget_bounds(steps in prop::collection::vec((0u8..3, 0u32..400), 1..400)) {
        let start = Instant::now();
        let mut now = start;
        let mut budget = RetryBudget::new(now);
        let (mut requests, mut again) = (0u32, 0u32);
        for (action, gap) in steps {
            now += MS * gap;
            if action == 0 {
                requests += 1;
                budget.record_request(now);
            } else {
                again += u32::from(budget.take(now).is_ok());
            }
            let seconds = (now - start).as_secs_f64();
            let most = 10.0 + 0.1 * f64::from(requests) + seconds;
            prop_assert!(f64::from(again) <= most, "{again} > {most}");
        }
    }
}
