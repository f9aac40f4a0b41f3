//! Sizing of grants: follows the rate of spending and shrinks with what is left.

use std::time::{Duration, Instant};

use poplar_core::grant::{
    Peer, PeerRequest, Rate, Reason, Settings, State, choose_donor, draw, give_back,
    transfer_amount,
};

const SECOND: Duration = Duration::from_secs(1);

/// One of nine routers, each spending ten tokens per second, with an hour left.
fn state() -> State {
    State {
        free: 0,
        available: 9 * 10 * 3600,
        rate: 10.0,
        idle_time: Some(SECOND),
        request_cost: 50,
        routers: 9,
    }
}

fn settings() -> Settings {
    Settings {
        max_share: 0.5,
        ..Settings::default()
    }
}

#[test]
fn holdings_above_the_low_water_mark_last_through_a_five_minute_outage() {
    let drawn = draw(&state(), 0, &settings()).unwrap();
    assert_eq!((drawn.tokens, drawn.reason), (4800, Reason::Low));
    let with_free = |free| State { free, ..state() };
    // A holding is smallest just before the next draw.
    let smallest = (0..4800).find(|f| draw(&with_free(*f), 0, &settings()).is_none());
    assert!(smallest.unwrap() >= 10 * 300, "{smallest:?}");
    assert_eq!(draw(&with_free(4800), 0, &settings()), None);
}

#[test]
fn near_the_end_draws_shrink_but_a_request_is_covered_in_full() {
    let with_available = |available| State {
        available,
        ..state()
    };
    let advance = draw(&with_available(1800), 0, &settings()).unwrap();
    assert_eq!(advance.tokens, 1800 / 18);
    let needed = draw(&with_available(1800), 500, &settings()).unwrap();
    assert_eq!((needed.tokens, needed.reason), (500, Reason::Need));
}

#[test]
fn all_routers_together_hold_at_most_half_of_what_is_left() {
    for available in [100, 1_000, 10_000, 100_000, 1_000_000] {
        let mut left = available;
        let mut held = 0;
        for _ in 0..9 {
            let router = State {
                available: left,
                rate: 1e6,
                ..state()
            };
            let drawn = draw(&router, 0, &settings()).map_or(0, |d| d.tokens);
            left -= drawn;
            held += drawn;
        }
        assert!(held <= available / 2, "{held} of {available}");
    }
}

#[test]
fn an_idle_router_keeps_tokens_for_a_few_requests_only() {
    let idle = State {
        free: 5000,
        rate: 0.0,
        idle_time: Some(SECOND * 300),
        ..state()
    };
    let moved = give_back(&idle, &settings()).unwrap();
    assert_eq!((moved.tokens, moved.reason), (5000 - 200, Reason::Idle));
    let busy = State {
        free: 5000,
        ..state()
    };
    assert_eq!(give_back(&busy, &settings()), None);
    // The returned tokens are not drawn again at once.
    let after = State { free: 200, ..idle };
    assert_eq!(draw(&after, 0, &settings()), None);
}

#[test]
fn a_large_holding_shrinks_when_little_is_left() {
    let near_end = State {
        free: 4800,
        available: 0,
        ..state()
    };
    let moved = give_back(&near_end, &settings()).unwrap();
    assert_eq!(moved.reason, Reason::Surplus);
    assert_eq!(moved.tokens, 4800 - 4800 / 18);
}

#[test]
fn a_transfer_follows_the_rates_but_covers_the_need_first() {
    let request = |need, rate| PeerRequest { need, rate };
    assert_eq!(transfer_amount(1000, &request(10, 10.0), 10.0), 500);
    assert_eq!(transfer_amount(1000, &request(10, 30.0), 10.0), 750);
    assert_eq!(transfer_amount(1000, &request(900, 10.0), 10.0), 900);
    assert_eq!(transfer_amount(1000, &request(5000, 10.0), 10.0), 1000);
    assert_eq!(transfer_amount(1000, &request(0, 0.0), 0.0), 500);
}

#[test]
fn the_peer_with_most_estimated_free_tokens_is_chosen() {
    let peer = |free, rate, seconds| Peer {
        free,
        rate,
        age: SECOND * seconds,
    };
    assert_eq!(
        choose_donor(&[peer(100, 0.0, 1), peer(300, 10.0, 25)]),
        Some(0)
    );
    assert_eq!(
        choose_donor(&[peer(100, 0.0, 1), peer(300, 10.0, 5)]),
        Some(1)
    );
    assert_eq!(choose_donor(&[peer(0, 0.0, 1)]), None);
}

#[test]
fn the_rate_follows_spending_and_decays_after_it() {
    let now = Instant::now();
    let mut rate = Rate::default();
    for i in 0..60 {
        rate.record(10, now + SECOND * i);
    }
    let at = now + SECOND * 60;
    assert!(
        (9.0..11.0).contains(&rate.per_second(at)),
        "{}",
        rate.per_second(at)
    );
    assert!(rate.per_second(at + SECOND * 300) < 0.1);
    assert_eq!(rate.idle_time(at), Some(SECOND));
}
