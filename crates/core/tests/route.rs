//! Routing sends to who is predicted to finish first, within limits.

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

fn flight(sent: Instant) -> InFlight {
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

fn shared(servers: &[Server]) -> Fleet<'_> {
    Fleet {
        routers: 9,
        ..fleet(servers)
    }
}

fn chosen(servers: &[Server], dice: u64, now: Instant) -> Option<usize> {
    match choose(&fleet(servers), &job(), |_| 0, &[], dice, now) {
        Decision::Send(choice) => Some(choice.server),
        _ => None,
    }
}

#[test]
fn a_busy_a_slow_and_a_silent_server_are_passed_over_mostly() {
    let now = Instant::now();
    let mut all = servers(4, now);
    all[0].record_report(report(8, 8, now));
    all[1].record_report(LoadReport {
        step: MS * 60,
        ..report(0, 0, now)
    });
    all[2].record_dispatch(1, flight(now));
    let later = now + MS * 4000;
    let hits = (0..1000).filter(|dice| chosen(&all, *dice, later) == Some(3));
    assert!(hits.count() > 950);
}

#[test]
fn equal_servers_are_all_chosen_in_turn_of_the_dice() {
    let now = Instant::now();
    let all = servers(4, now);
    for at in 0..4 {
        let hits = (0..1000).filter(|dice| chosen(&all, *dice, now) == Some(at));
        assert!(hits.count() > 50, "server {at}");
    }
}

#[test]
fn a_held_prefix_wins_and_is_the_reason() {
    let now = Instant::now();
    let all = servers(2, now);
    let long = Job {
        prompt: 40_000,
        output: 10,
        ..job()
    };
    let held = |at: usize| if at == 1 { 39_000 } else { 0 };
    let outcome = choose(&fleet(&all), &long, held, &[], 7, now);
    let Decision::Send(choice) = outcome else {
        panic!("{outcome:?}");
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
    let outcome = choose(&shared(&all), &job(), |_| 0, &[], 1, now);
    assert_eq!(outcome, Decision::Wait(Reason::AtLimit { servers: 1 }));
    // One that is not much slower is taken.
    all[1].record_report(LoadReport {
        step: MS * 10,
        ..slow
    });
    let outcome = choose(&shared(&all), &job(), |_| 0, &[], 1, now);
    assert!(matches!(outcome, Decision::Send(c) if c.server == 1));
}

#[test]
fn of_many_servers_a_sample_and_the_near_ones_are_looked_at() {
    let now = Instant::now();
    let all = servers(1000, now);
    let looked = std::cell::RefCell::new(Vec::new());
    let held = |at: usize| {
        looked.borrow_mut().push(at);
        if at == 777 { 390 } else { 0 }
    };
    for dice in 0..50 {
        looked.borrow_mut().clear();
        let outcome = choose(&fleet(&all), &job(), held, &[777], dice, now);
        assert!(matches!(outcome, Decision::Send(_)));
        assert!(looked.borrow().len() <= 65 && looked.borrow().contains(&777));
    }
}

#[test]
fn a_call_that_does_not_stream_is_not_taken_for_silence() {
    let now = Instant::now();
    let mut server = servers(1, now).remove(0);
    server.record_dispatch(1, flight(now));
    let queued = InFlight {
        slot_free: false,
        ..flight(now)
    };
    server.record_dispatch(2, queued);
    // A hundred steps of 6 ms are expected of each.
    assert_eq!(server.overdue(now + MS * 900), Duration::ZERO);
    server.record_end(1, Completion::Answered(100), now + MS * 900);
    assert_eq!(server.overdue(now + MS * 1800), Duration::ZERO);
    assert!(server.overdue(now + MS * 4000) > MS * 1000);
    // One that streams is heard of at each step.
    server.record_tokens(2, 1, now + MS * 4000);
    assert!(server.overdue(now + MS * 4100) > MS * 50);
    server.record_end(2, Completion::Other, now + MS * 4100);
    assert_eq!(server.overdue(now + MS * 9000), Duration::ZERO);
    // From then on its first token is expected soon.
    server.record_dispatch(3, flight(now + MS * 9000));
    assert!(server.overdue(now + MS * 9200) > MS * 50);
}

#[test]
fn a_wait_that_was_not_seen_is_not_taken_for_slow_prompt_work() {
    let now = Instant::now();
    let mut all = servers(1, now);
    for id in 0..40 {
        let sent = now + MS * 2000 * id as u32;
        all[0].record_dispatch(id, flight(sent));
        let took = if id % 2 == 0 { MS * 30 } else { MS * 1000 };
        all[0].record_tokens(id, 1, sent + took);
        all[0].record_end(id, Completion::Answered(100), sent + MS * 1500);
    }
    let sight = estimate(&fleet(&all), &job(), |_| 0, &[], 1, now + MS * 80_000);
    assert!(sight.best.unwrap().first < MS * 60, "{sight:?}");
    // Sent to a full server it waited, whatever the sender thought.
    let mut full = servers(1, now).remove(0);
    full.record_report(report(8, 0, now + MS));
    for id in 0..40 {
        full.record_dispatch(id, flight(now + MS * 2));
        full.record_tokens(id, 1, now + MS * 3000);
        full.record_end(id, Completion::Answered(100), now + MS * 3000);
    }
    full.record_report(report(0, 0, now + MS * 4000));
    let sight = estimate(&fleet(&[full]), &job(), |_| 0, &[], 1, now + MS * 4000);
    assert!(sight.best.unwrap().first < MS * 60, "{sight:?}");
    // Where all take that long, the server is slow.
    for id in 40..140 {
        let sent = now + MS * 2000 * id as u32;
        all[0].record_dispatch(id, flight(sent));
        all[0].record_tokens(id, 1, sent + MS * 1000);
        all[0].record_end(id, Completion::Answered(100), sent + MS * 1500);
    }
    let sight = estimate(&fleet(&all), &job(), |_| 0, &[], 1, now + MS * 280_000);
    assert!(sight.best.unwrap().first > MS * 500, "{sight:?}");
}

#[test]
fn nothing_goes_to_a_server_that_may_not_be_used() {
    let now = Instant::now();
    let mut all = servers(5, now);
    all[0].leaving = true;
    all[1].fenced = true;
    all[2].health = HealthState::Ejected;
    let tried = [all[3].name.clone()];
    let again = Job {
        tried: &tried,
        ..job()
    };
    for dice in 0..200 {
        let outcome = choose(&fleet(&all), &again, |_| 0, &[], dice, now);
        assert!(matches!(outcome, Decision::Send(c) if c.server == 4));
    }
    all[4].leaving = true;
    let outcome = choose(&fleet(&all), &again, |_| 0, &[], 1, now);
    assert_eq!(outcome, Decision::NoServer(Reason::AllTried));
    let outcome = choose(&fleet(&all[..3]), &job(), |_| 0, &[], 1, now);
    let reason = Reason::Unusable {
        leaving: 2,
        ejected: 1,
    };
    assert_eq!(outcome, Decision::NoServer(reason));
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
    let outcome = choose(&fleet(&all), &job(), |_| 0, &[], 1, now);
    assert!(matches!(outcome, Decision::Send(c) if c.reason == Reason::Probe));
    all[0].record_dispatch(1, flight(now));
    assert_eq!(chosen(&all, 1, now), Some(1));
}

#[test]
fn the_load_report_is_corrected_by_own_dispatches_and_ends() {
    let now = Instant::now();
    let mut server = servers(1, now).remove(0);
    for id in 0..3 {
        server.record_dispatch(id, flight(now + MS * (id as u32 + 1)));
    }
    server.record_end(0, Completion::Answered(100), now + MS * 5);
    assert_eq!(server.load(), 2);
    // Taken after the first two were sent and before the first one ended.
    server.record_report(report(5, 1, now + MS * 2));
    assert_eq!(server.load(), 6 + 1 - 1);
    // One that was sent and ended since is in no report and ends nothing in it.
    server.record_dispatch(9, flight(now + MS * 6));
    server.record_end(9, Completion::Answered(1), now + MS * 7);
    server.record_report(report(5, 1, now + MS * 4));
    assert_eq!((server.load(), server.in_flight_at_report()), (5, 3));
    server.record_report(report(5, 1, now + MS * 4));
    assert_eq!((server.load(), server.in_flight_at_report()), (5, 3));
    // An older report changes nothing.
    server.record_report(report(0, 0, now));
    assert_eq!(server.load(), 5);
}

#[test]
fn refusals_as_full_narrow_the_limit_and_answers_widen_it() {
    let now = Instant::now();
    let mut server = servers(1, now).remove(0);
    let before = limit::own_limit(&server, 1);
    server.record_dispatch(1, flight(now));
    server.record_end(1, Completion::RejectedFull, now);
    let cut = limit::own_limit(&server, 1);
    assert!(cut < before, "{cut} after {before}");
    for id in 0..100 {
        server.record_dispatch(id, flight(now));
        server.record_end(id, Completion::Answered(100), now);
    }
    assert_eq!(limit::own_limit(&server, 1), before);
}

#[test]
fn routers_that_act_on_one_report_over_commit_by_a_bounded_number() {
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
                server.record_dispatch(id, flight(now + MS));
                id += 1;
            }
            total += id as u32;
        }
        // Each may have one of its own, and its part of the cap of 10 is rounded.
        assert!(total <= load.max(10) + routers, "{load}: {total}");
    }
}
