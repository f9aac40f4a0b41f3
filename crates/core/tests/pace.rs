//! Paces that are learned, and the choice of a server by the predicted completion.

use std::time::{Duration, Instant};

use poplar_core::affinity::{self, Candidate, Choice, Query};
use poplar_core::completion::{self, Outlook};
use poplar_core::cost::Work;
use poplar_core::pace::{Common, Pace};
use poplar_core::route::rng::SplitMix64;
use poplar_core::route::server::HealthState;

const MS: Duration = Duration::from_millis(1);
const PACES: [f64; 3] = [0.6, 1.0, 1.6];
/// A request without a long shared prefix.
const WORK: Work = Work {
    prompt_tokens: 600,
    shared_tokens: 0,
    output_tokens: 150,
    call_ms: 0.0,
};
const LONG_PREFIX: u64 = 13_000;

/// What routers learn from `rounds` samples of servers of these paces, each off by a
/// random factor of up to one and a half.
fn learn(paces: &[f64], rounds: u32, now: Instant) -> (Common, Vec<Pace>) {
    let mut rng = SplitMix64::new(3);
    let mut common = Common::default();
    let mut learned = vec![Pace::default(); paces.len()];
    for round in 0..rounds {
        for (pace, known) in paces.iter().zip(&mut learned) {
            let factor = 1.5f64.powf(2.0 * rng.next_f64() - 1.0);
            let took = MS.mul_f64(100.0 * factor / pace);
            known.record(&mut common, took, 100.0, 1.0, now + MS * round);
        }
    }
    for known in &mut learned {
        known.record_figure(100, now);
    }
    (common, learned)
}

fn candidates(paces: &[Pace]) -> Vec<Candidate> {
    let candidate = |(at, pace): (usize, &Pace)| Candidate {
        id: format!("engine-{at}").into(),
        same_centre: true,
        in_flight: 0,
        prefill_tokens: 0,
        running: 0,
        waiting: 0,
        health: HealthState::Healthy,
        last_resort: false,
        outlook: Some(Outlook {
            left_ms: 0.0,
            slots: 16,
            pace: *pace,
        }),
    };
    paces.iter().enumerate().map(candidate).collect()
}

fn query(prompt_id: u64, shared_tokens: u64, random: f64) -> Query<'static> {
    Query {
        prompt_id,
        shared_tokens,
        tried: &[],
        random,
    }
}

fn choose(all: &[Candidate], query: &Query<'_>, now: Instant) -> Choice {
    let work = Work {
        shared_tokens: query.shared_tokens,
        ..WORK
    };
    completion::choose(all, query, &work, now).expect("a choice")
}

fn homes(paces: &[Pace], now: Instant) -> Vec<String> {
    let all = candidates(paces);
    let home = |prompt_id| {
        let choice = choose(&all, &query(prompt_id, LONG_PREFIX, 0.3), now);
        choice.home_server.unwrap_or(choice.id).to_string()
    };
    (0..400).map(home).collect()
}

/// Guards against slow servers with the same work as fast ones, which then end late.
#[test]
fn loaded_servers_get_work_in_proportion_to_their_pace() {
    let now = Instant::now();
    let paces: Vec<f64> = (0..30).map(|at| PACES[at % 3]).collect();
    let (_, learned) = learn(&paces, 40, now);
    let mut all = candidates(&learned);
    let mut rng = SplitMix64::new(5);
    let mut given = [0.0; 3];
    let share = WORK.share_ms(16);
    // A fifth more work than the servers do.
    let per_ms = 1.2 * paces.iter().sum::<f64>() / share;
    let mut due = 0.0;
    for ms in 0..9_000 {
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let chosen = choose(&all, &query(0, 0, rng.next_f64()), now).id;
            let at = all.iter().position(|c| c.id == chosen).expect("a server");
            all[at].outlook.as_mut().expect("an outlook").left_ms += share;
            // Until then the slow servers have no work: the fast ones end it earlier.
            given[at % 3] += if ms >= 3_000 { share } else { 0.0 };
        }
        for (pace, candidate) in paces.iter().zip(&mut all) {
            let left = &mut candidate.outlook.as_mut().expect("an outlook").left_ms;
            *left = (*left - pace).max(0.0);
        }
    }
    let sum: f64 = given.iter().sum();
    for (given, pace) in given.iter().zip(PACES) {
        let share = given / sum / (pace / PACES.iter().sum::<f64>());
        assert!((0.9..1.1).contains(&share), "pace {pace}: {share}");
    }
}

/// Guards against a server that gets no work since one request took long there.
#[test]
fn one_slow_request_does_not_make_a_slow_server() {
    let now = Instant::now();
    let (mut common, mut learned) = learn(&[1.0; 9], 20, now);
    let before = learned[0].slow();
    let homes_before = homes(&learned, now);
    learned[0].record(&mut common, MS * 60_000, 100.0, 1.0, now + MS * 20);
    assert!(learned[0].slow() > 0.85 * before, "{}", learned[0].slow());
    assert_eq!(homes(&learned, now), homes_before);
}

/// Guards against prefixes that are computed anew since all servers became slower, or
/// the pace of some changed a little.
#[test]
fn homes_stay_unless_a_pace_changes_much() {
    let now = Instant::now();
    let paces: Vec<f64> = (0..30).map(|at| PACES[at % 3]).collect();
    let (mut common, mut learned) = learn(&paces, 30, now);
    let before = homes(&learned, now);
    for round in 0..300 {
        let at = round % paces.len();
        let took = MS.mul_f64(250.0 / paces[at]);
        learned[at].record(&mut common, took, 100.0, 1.0, now + MS * 40);
    }
    assert_eq!(homes(&learned, now), before);
    for round in 0..900 {
        let at = round % paces.len();
        let other = if at.is_multiple_of(2) { 230.0 } else { 270.0 };
        let took = MS.mul_f64(other / paces[at]);
        learned[at].record(&mut common, took, 100.0, 1.0, now + MS * 50);
    }
    assert_eq!(homes(&learned, now), before);
    for _ in 0..60 {
        learned[1].record(&mut common, MS * 1_000, 100.0, 1.0, now + MS * 60);
    }
    let after = homes(&learned, now);
    let moved: Vec<&String> = before
        .iter()
        .zip(&after)
        .filter(|(b, a)| b != a)
        .map(|(b, _)| b)
        .collect();
    assert!(
        !moved.is_empty() && moved.iter().all(|b| *b == "engine-1"),
        "{moved:?}"
    );
}

/// Guards against routers that all send to the server that a report shows as the best.
#[test]
fn routers_with_the_same_report_choose_different_servers() {
    let now = Instant::now();
    let (_, learned) = learn(&[1.0; 30], 20, now);
    let mut all = candidates(&learned);
    for (at, candidate) in all.iter_mut().enumerate() {
        candidate.outlook.as_mut().expect("an outlook").left_ms = 30.0 * at as f64;
    }
    let mut rng = SplitMix64::new(9);
    let mut chosen = [0; 30];
    for _ in 0..70 {
        let id = choose(&all, &query(0, 0, rng.next_f64()), now).id;
        chosen[all.iter().position(|c| c.id == id).expect("a server")] += 1;
    }
    assert!(*chosen.iter().max().expect("thirty") <= 40, "{chosen:?}");
    // The busier half is not chosen for that.
    assert_eq!(chosen[15..].iter().sum::<i32>(), 0, "{chosen:?}");
}

/// Guards against requests that leave the data centre for a server that is a little
/// faster, or stay there while its servers are full.
#[test]
fn requests_leave_the_data_centre_only_for_much_less_time() {
    let now = Instant::now();
    let (_, learned) = learn(&[1.0, 1.0, 1.25, 1.25], 40, now);
    let mut all = candidates(&learned);
    all[2].same_centre = false;
    all[3].same_centre = false;
    for random in [0.1, 0.4, 0.9] {
        let id = choose(&all, &query(0, 0, random), now).id;
        assert!(["engine-0", "engine-1"].contains(&&*id), "{id}");
    }
    for at in [0, 1] {
        all[at].outlook.as_mut().expect("an outlook").left_ms = 2_000.0;
    }
    let id = choose(&all, &query(0, 0, 0.5), now).id;
    assert!(["engine-2", "engine-3"].contains(&&*id), "{id}");
}

/// Guards against a machine that is avoided for a figure which is out of date, and
/// against one that is used while it says that work takes longer.
#[test]
fn a_stated_figure_counts_less_with_age() {
    let now = Instant::now();
    let mut pace = Pace::default();
    (0..40).for_each(|_| pace.record_figure(100, now));
    pace.record_figure(250, now);
    let at_once = pace.time_ms(200.0, now);
    let late = pace.time_ms(200.0, now + MS * 300);
    assert!(at_once > 400.0 && late < 225.0, "{at_once} {late}");
}

/// Guards against a pace that is no number, which would make every comparison false.
#[test]
fn impossible_samples_and_figures_are_not_used() {
    let now = Instant::now();
    let mut common = Common::default();
    let mut pace = Pace::default();
    pace.record_figure(0, now);
    assert!(!pace.is_stated());
    for expected in [0.0, -5.0, f64::INFINITY, f64::NAN] {
        pace.record(&mut common, MS * 100, expected, 1.0, now);
    }
    pace.record(&mut common, Duration::ZERO, 100.0, 1.0, now);
    assert_eq!(pace.slow(), 1.0);
    (0..500).for_each(|_| pace.record(&mut common, MS * 900_000, 0.001, 1.0, now));
    pace.record_figure(u32::MAX, now);
    pace.record_figure(1, now);
    let time = pace.time_ms(50.0, now);
    assert!(time.is_finite() && time >= 0.0, "{time}");
    let mut all = candidates(&[pace, pace]);
    for (candidate, left_ms) in all.iter_mut().zip([f64::NAN, -40.0]) {
        let outlook = candidate.outlook.as_mut().expect("an outlook");
        (outlook.left_ms, outlook.slots) = (left_ms, 0);
    }
    choose(&all, &query(0, 0, 0.5), now);
}

/// Guards against another choice for a service whose servers state no fourth figure.
#[test]
fn without_the_figure_the_choice_is_the_same_as_before() {
    let now = Instant::now();
    let mut rng = SplitMix64::new(11);
    for round in 0..2_000 {
        let count = 1 + rng.below(20);
        let paces: Vec<f64> = (0..count).map(|_| 0.4 + 2.0 * rng.next_f64()).collect();
        let (mut common, mut learned) = (Common::default(), Vec::new());
        for pace in paces {
            let mut known = Pace::default();
            known.record(&mut common, MS.mul_f64(100.0 / pace), 100.0, 1.0, now);
            learned.push(known);
        }
        let mut all = candidates(&learned);
        for candidate in &mut all {
            candidate.same_centre = rng.below(4) == 0;
            candidate.in_flight = rng.below(20) as u32;
            candidate.prefill_tokens = rng.below(9_000) as u64;
            candidate.running = rng.below(20) as u32;
            candidate.waiting = rng.below(3) as u32;
            candidate.last_resort = rng.below(5) == 0;
            if rng.below(6) == 0 {
                candidate.health = HealthState::Ejected;
            }
            candidate.outlook.as_mut().expect("an outlook").left_ms = rng.next_f64() * 900.0;
        }
        let tried = [all[rng.below(count)].id.clone()];
        let mut request = query(round, rng.below(3_000) as u64, rng.next_f64());
        request.tried = &tried[..rng.below(2)];
        let before = affinity::choose(&all, &request);
        assert_eq!(completion::choose(&all, &request, &WORK, now), before);
    }
}
