//! Routing: forecasts, limits and the choice of a server.

use std::time::{Duration, Instant};

use poplar_core::id::Name;
use poplar_core::route::server::{Completion, HealthState, InFlight, LoadReport, Server};
use poplar_core::route::{Decision, Fleet, Job, Policy, Reason, choose, estimate, limit};

const MS: Duration = Duration::from_millis(1);

fn job() -> Job<'static> {
    Job {
        priority: 2,
        prompt: 400,
        output: 100,
        repeatable: true,
        tried: &[],
    }
}

fn report(running: u32, waiting: u32, taken: Instant) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 8,
        step: MS * 6,
        taken,
    }
}

fn in_flight(sent: Instant) -> InFlight {
    InFlight {
        priority: 2,
        sent,
        prefill: 400,
        remaining: 100,
        slot_free: true,
        last_token: None,
    }
}

fn servers(count: usize, now: Instant) -> Vec<Server> {
    let name = |i: usize| -> Name { format!("e{i}").into() };
    let mut all: Vec<Server> = (0..count)
        .map(|i| Server::new(name(i), "nbo-a".into(), MS))
        .collect();
    for server in &mut all {
        server.record_report(report(0, 0, now));
    }
    all
}

fn fleet(servers: &[Server]) -> Fleet<'_> {
    Fleet {
        servers,
        routers: 1,
        policy: Policy::Predicted,
        placed: 0,
    }
}

fn shared_fleet(servers: &[Server]) -> Fleet<'_> {
    Fleet {
        routers: 9,
        ..fleet(servers)
    }
}

fn chosen(servers: &[Server], random: u64, now: Instant) -> Option<usize> {
    match choose(&fleet(servers), &job(), |_| 0, &[], random, now) {
        Decision::Send(choice) => Some(choice.server),
        _ => None,
    }
}

#[test]
fn busy_slow_and_unresponsive_servers_are_mostly_avoided() {
    let now = Instant::now();
    let mut all = servers(4, now);
    all[0].record_report(report(8, 8, now));
    all[1].record_report(LoadReport {
        step: MS * 60,
        ..report(0, 0, now)
    });
    all[2].record_dispatch(1, in_flight(now));
    let later = now + MS * 4000;
    let hits = (0..1000).filter(|random| chosen(&all, *random, later) == Some(3));
    assert!(hits.count() > 950);
}

#[test]
fn equal_servers_are_all_chosen() {
    let now = Instant::now();
    let all = servers(4, now);
    for at in 0..4 {
        let hits = (0..1000).filter(|random| chosen(&all, *random, now) == Some(at));
        assert!(hits.count() > 50, "server {at}");
    }
}

#[test]
fn a_cached_prefix_decides_and_is_the_reason() {
    let now = Instant::now();
    let all = servers(2, now);
    let long = Job {
        prompt: 40_000,
        output: 10,
        ..job()
    };
    let cached = |at: usize| if at == 1 { 39_000 } else { 0 };
    let decision = choose(&fleet(&all), &long, cached, &[], 7, now);
    let Decision::Send(choice) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(choice.server, 1);
    assert_eq!(choice.reason, Reason::Prefix { tokens: 39_000 });
}

#[test]
fn a_request_waits_for_a_good_server_rather_than_go_to_a_slow_one() {
    let now = Instant::now();
    let mut all = servers(2, now);
    all[0].record_report(report(12, 0, now));
    let slow = LoadReport {
        step: MS * 30,
        ..report(0, 0, now)
    };
    all[1].record_report(slow);
    let decision = choose(&shared_fleet(&all), &job(), |_| 0, &[], 1, now);
    assert_eq!(decision, Decision::Wait(Reason::AtLimit { servers: 1 }));
    // A server that is not much slower is used.
    all[1].record_report(LoadReport {
        step: MS * 10,
        ..slow
    });
    let decision = choose(&shared_fleet(&all), &job(), |_| 0, &[], 1, now);
    assert!(matches!(decision, Decision::Send(c) if c.server == 1));
}

#[test]
fn of_many_servers_a_sample_and_the_near_ones_are_considered() {
    let now = Instant::now();
    let all = servers(1000, now);
    let considered = std::cell::RefCell::new(Vec::new());
    let cached = |at: usize| {
        considered.borrow_mut().push(at);
        if at == 777 { 390 } else { 0 }
    };
    for random in 0..50 {
        considered.borrow_mut().clear();
        let decision = choose(&fleet(&all), &job(), cached, &[777], random, now);
        assert!(matches!(decision, Decision::Send(_)));
        assert!(considered.borrow().len() <= 65 && considered.borrow().contains(&777));
    }
}

#[test]
fn a_call_that_does_not_stream_is_not_overdue_before_its_answer() {
    let now = Instant::now();
    let mut server = servers(1, now).remove(0);
    server.record_dispatch(1, in_flight(now));
    let queued = InFlight {
        slot_free: false,
        ..in_flight(now)
    };
    server.record_dispatch(2, queued);
    // Each answer is expected to take 100 steps of 6 ms.
    assert_eq!(server.overdue(now + MS * 900), Duration::ZERO);
    server.record_end(1, Completion::Answered(100), now + MS * 900);
    assert_eq!(server.overdue(now + MS * 1800), Duration::ZERO);
    assert!(server.overdue(now + MS * 4000) > MS * 1000);
    // Once the server streams, a response is due at each step.
    server.record_tokens(2, 1, now + MS * 4000);
    assert!(server.overdue(now + MS * 4100) > MS * 50);
    server.record_end(2, Completion::Other, now + MS * 4100);
    assert_eq!(server.overdue(now + MS * 9000), Duration::ZERO);
    // From then on the first token of each request is due soon.
    server.record_dispatch(3, in_flight(now + MS * 9000));
    assert!(server.overdue(now + MS * 9200) > MS * 50);
}

#[test]
fn queueing_in_the_server_is_not_measured_as_slow_prefill() {
    let now = Instant::now();
    let mut all = servers(1, now);
    for id in 0..40 {
        let sent = now + MS * 2000 * id as u32;
        all[0].record_dispatch(id, in_flight(sent));
        let took = if id % 2 == 0 { MS * 30 } else { MS * 1000 };
        all[0].record_tokens(id, 1, sent + took);
        all[0].record_end(id, Completion::Answered(100), sent + MS * 1500);
    }
    let estimated = estimate(&fleet(&all), &job(), |_| 0, &[], 1, now + MS * 80_000);
    assert!(estimated.best.unwrap().first < MS * 60, "{estimated:?}");
    // A request sent to a full server waited, even if the sender expected a free slot.
    let mut full = servers(1, now).remove(0);
    full.record_report(report(8, 0, now + MS));
    for id in 0..40 {
        full.record_dispatch(id, in_flight(now + MS * 2));
        full.record_tokens(id, 1, now + MS * 3000);
        full.record_end(id, Completion::Answered(100), now + MS * 3000);
    }
    full.record_report(report(0, 0, now + MS * 4000));
    let estimated = estimate(&fleet(&[full]), &job(), |_| 0, &[], 1, now + MS * 4000);
    assert!(estimated.best.unwrap().first < MS * 60, "{estimated:?}");
    // If every request takes that long, the server is slow.
    for id in 40..140 {
        let sent = now + MS * 2000 * id as u32;
        all[0].record_dispatch(id, in_flight(sent));
        all[0].record_tokens(id, 1, sent + MS * 1000);
        all[0].record_end(id, Completion::Answered(100), sent + MS * 1500);
    }
    let estimated = estimate(&fleet(&all), &job(), |_| 0, &[], 1, now + MS * 280_000);
    assert!(estimated.best.unwrap().first > MS * 500, "{estimated:?}");
}

#[test]
fn unusable_servers_get_no_requests() {
    let now = Instant::now();
    let mut all = servers(5, now);
    all[0].leaving = true;
    all[1].fenced = true;
    all[2].health = HealthState::Ejected;
    let tried = [all[3].name.clone()];
    let retried = Job {
        tried: &tried,
        ..job()
    };
    for random in 0..200 {
        let decision = choose(&fleet(&all), &retried, |_| 0, &[], random, now);
        assert!(matches!(decision, Decision::Send(c) if c.server == 4));
    }
    all[4].leaving = true;
    let decision = choose(&fleet(&all), &retried, |_| 0, &[], 1, now);
    assert_eq!(decision, Decision::NoServer(Reason::AllTried));
    let decision = choose(&fleet(&all[..3]), &job(), |_| 0, &[], 1, now);
    let reason = Reason::Unusable {
        leaving: 2,
        ejected: 1,
    };
    assert_eq!(decision, Decision::NoServer(reason));
    assert!(
        estimate(&fleet(&all[..3]), &job(), |_| 0, &[], 1, now)
            .best
            .is_none()
    );
}

#[test]
fn an_ejected_server_is_probed_by_one_request_at_a_time() {
    let now = Instant::now();
    let mut all = servers(2, now);
    all[0].health = HealthState::Probing;
    let decision = choose(&fleet(&all), &job(), |_| 0, &[], 1, now);
    assert!(matches!(decision, Decision::Send(c) if c.reason == Reason::Probe));
    all[0].record_dispatch(1, in_flight(now));
    assert_eq!(chosen(&all, 1, now), Some(1));
}

#[test]
fn the_load_report_is_corrected_by_own_dispatches_and_ends() {
    let now = Instant::now();
    let mut server = servers(1, now).remove(0);
    for id in 0..3 {
        server.record_dispatch(id, in_flight(now + MS * (id as u32 + 1)));
    }
    server.record_end(0, Completion::Answered(100), now + MS * 5);
    assert_eq!(server.load(), 2);
    // The report was taken after the first two were sent and before the first ended.
    server.record_report(report(5, 1, now + MS * 2));
    assert_eq!(server.load(), 6 + 1 - 1);
    // A request sent and ended since the report doesn't affect the correction.
    server.record_dispatch(9, in_flight(now + MS * 6));
    server.record_end(9, Completion::Answered(1), now + MS * 7);
    server.record_report(report(5, 1, now + MS * 4));
    assert_eq!((server.load(), server.in_flight_at_report()), (5, 3));
    server.record_report(report(5, 1, now + MS * 4));
    assert_eq!((server.load(), server.in_flight_at_report()), (5, 3));
    // An older report is ignored.
    server.record_report(report(0, 0, now));
    assert_eq!(server.load(), 5);
}

#[test]
fn rejections_shrink_the_limit_and_answers_grow_it() {
    let now = Instant::now();
    let mut server = servers(1, now).remove(0);
    let before = limit::own_limit(&server, 1);
    server.record_dispatch(1, in_flight(now));
    server.record_end(1, Completion::RejectedFull, now);
    let after = limit::own_limit(&server, 1);
    assert!(after < before, "{after} after {before}");
    for id in 0..100 {
        server.record_dispatch(id, in_flight(now));
        server.record_end(id, Completion::Answered(100), now);
    }
    assert_eq!(limit::own_limit(&server, 1), before);
}

#[test]
fn routers_that_act_on_one_report_overcommit_by_a_bounded_number() {
    let now = Instant::now();
    let routers = 9;
    for load in [0, 3, 7, 8, 20] {
        let mut total = load;
        for router in 0..routers {
            let mut server = servers(1, now).remove(0);
            server.salt = u64::from(router);
            server.record_report(report(load, 0, now));
            let mut id = 0;
            while limit::has_room(&server, routers) {
                server.record_dispatch(id, in_flight(now + MS));
                id += 1;
            }
            total += id as u32;
        }
        // Each router may have one request, and its share of the cap of 10 is rounded.
        assert!(total <= load.max(10) + routers, "{load}: {total}");
    }
}
