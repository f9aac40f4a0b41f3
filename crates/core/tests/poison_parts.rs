//! Parts of prompts that crash servers, in requests that have nothing else in
//! common, as one router that has all reports judges them.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use poplar_core::id::Incarnation;
use poplar_core::poison::{CrashHistory, CrashId, Features, Fingerprint, Report, Sighting};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn history() -> CrashHistory {
    CrashHistory::new(Incarnation::new("a", 1), SECOND / 5)
}

fn content(name: &str) -> Fingerprint {
    Fingerprint::new("scenes", name.as_bytes())
}

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part("scenes", id)
}

fn features(name: &str, parts: &[u64]) -> Features {
    Features {
        content: content(name),
        resource: None,
        parts: parts.iter().copied().map(part).collect(),
    }
}

/// Records a crash of a process under a request.
fn crash(history: &mut CrashHistory, request: &Features, process: u64, at: Instant) {
    for fingerprint in request.iter() {
        let sighting = Sighting {
            fingerprint,
            server: format!("e{process}").into(),
            id: CrashId::Process(process),
            at,
        };
        history.merge(sighting, at);
    }
}

fn answer(history: &mut CrashHistory, request: &Features, at: Instant) {
    for fingerprint in request.iter() {
        history.record_answer(fingerprint, at);
        history.clear_answered(fingerprint, at);
    }
}

fn is_refused(history: &CrashHistory, request: &Features, now: Instant) -> bool {
    history.refusal_reason_of(request, now).is_some()
}

/// Guards against a part that ends one server after the other, since no two
/// requests that have it are alike.
#[test]
fn a_part_that_was_at_three_crashes_is_refused() {
    let now = Instant::now();
    let mut history = history();
    for n in 0..3 {
        let at = now + SECOND * n;
        assert!(!is_refused(&history, &features("next", &[7, 13]), at));
        let request = features(&format!("r{n}"), &[7, 13]);
        crash(&mut history, &request, u64::from(n), at);
        answer(&mut history, &features("sound", &[7, 8]), at + MS);
    }
    let later = now + SECOND * 3;
    let reason = history.refusal_reason_of(&features("next", &[7, 13]), later);
    let reason = reason.expect("refused");
    assert_eq!((reason.crashes, &reason.causes[..]), (3, &[part(13)][..]));
    assert!(!is_refused(&history, &features("sound", &[7, 8]), later));
}

/// Guards against refusals of most requests, since servers that crash at the same
/// moment for another reason all have requests with the same popular parts.
#[test]
fn servers_that_crash_together_do_not_count_against_popular_parts() {
    let now = Instant::now();
    let mut history = history();
    for n in 0..9 {
        let at = now + MS * 20 * n;
        crash(
            &mut history,
            &features(&format!("r{n}"), &[7]),
            u64::from(n),
            at,
        );
    }
    let popular = features("next", &[7, 8]);
    assert!(!is_refused(&history, &popular, now + SECOND));
    answer(&mut history, &features("sound", &[7]), now + SECOND);
    // Another such moment adds to nothing.
    for n in 10..19 {
        crash(
            &mut history,
            &features(&format!("r{n}"), &[7]),
            n,
            now + SECOND * 2,
        );
    }
    assert!(!is_refused(&history, &popular, now + SECOND * 3));
}

/// Guards against a burst of such requests that ends servers within a moment, so
/// that it takes two more until they are refused.
#[test]
fn many_crashes_at_two_times_are_enough() {
    let now = Instant::now();
    let mut history = history();
    for n in 0..4 {
        let request = features(&format!("r{n}"), &[13]);
        crash(&mut history, &request, n, now);
    }
    crash(&mut history, &features("later", &[13]), 9, now + SECOND);
    assert!(is_refused(&history, &features("next", &[13]), now + SECOND));
}

/// Guards against refusals of a part that was only beside the one that crashes
/// servers.
#[test]
fn a_part_whose_crashes_another_one_explains_is_not_refused() {
    let now = Instant::now();
    let mut history = history();
    for n in 0..4u32 {
        let at = now + SECOND * n;
        let process = u64::from(n);
        crash(
            &mut history,
            &features(&format!("r{n}"), &[13]),
            process,
            at,
        );
        if n > 0 {
            crash(&mut history, &features(&format!("s{n}"), &[8]), process, at);
        }
    }
    let later = now + SECOND * 4;
    assert!(is_refused(&history, &features("next", &[13]), later));
    assert!(!is_refused(&history, &features("sound", &[8]), later));
}

/// Guards against a request that is sent to more servers than before, since its own
/// parts were at the same crashes.
#[test]
fn the_parts_of_a_request_do_not_excuse_it() {
    let now = Instant::now();
    let mut history = history();
    let request = features("poison", &[7, 8]);
    crash(&mut history, &request, 0, now);
    crash(&mut history, &request, 1, now + SECOND);
    let later = now + SECOND * 2;
    let reason = history.refusal_reason_of(&request, later).expect("refused");
    assert!(!reason.allows_trial(), "{reason:?}");
    assert!(!is_refused(&history, &features("other", &[7, 8]), later));
}

/// Guards against crashes that seem to be at one moment, since the datagrams that
/// report them waited while the router was frozen.
#[test]
fn the_earliest_report_of_a_crash_tells_its_time() {
    let now = Instant::now();
    let mut history = history();
    let thawed = now + SECOND * 9;
    let request = |n: u64| features(&format!("r{n}"), &[13]);
    let next = features("next", &[13]);
    for n in 0..4 {
        crash(&mut history, &request(n), n, thawed);
    }
    assert!(!is_refused(&history, &next, thawed));
    for n in 0..4u32 {
        let at = now + SECOND * n;
        crash(&mut history, &request(u64::from(n)), u64::from(n), at);
    }
    assert!(is_refused(&history, &next, thawed));
    // Those that turn out to be from before an answer no longer count.
    let answered = Report::Answer {
        fingerprint: part(14),
        at: now + SECOND,
    };
    let late = features("late", &[14]);
    crash(&mut history, &late, 1, thawed);
    history.merge_report(answered, thawed);
    assert_eq!(history.crashes(part(14), thawed), 1);
    crash(&mut history, &late, 1, now);
    assert_eq!(history.crashes(part(14), thawed), 0);
}

/// A request that runs in the simulation.
struct Running {
    request: Features,
    causes: bool,
    server: usize,
    began: Duration,
    ends: Duration,
}

/// Sound requests of one class beside requests with parts that crash each server,
/// at this many servers. Returns the crashes under these parts of requests that came
/// later than some time after the fifth, and the sound requests that were refused, of
/// all.
fn simulate(seed: u64, servers: usize, causes: &[u64]) -> (usize, usize, usize) {
    const STEP: Duration = Duration::from_millis(10);
    const RUN_TIME: f64 = 2.5;
    /// When the first request comes that crashes servers.
    const CALM: Duration = Duration::from_secs(5);
    /// Time after the fifth crash in which others may follow.
    const SPREAD_TIME: Duration = Duration::from_secs(3);
    let mut random = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut history = history();
    let mut running: Vec<Running> = Vec::new();
    let mut processes: Vec<u64> = (0..servers as u64).collect();
    let (mut late, mut refused, mut sound) = (0, 0, 0);
    let mut crashes: Vec<Duration> = Vec::new();
    let mut tried: Vec<Vec<Fingerprint>> = Vec::new();
    let mut trial_until = Duration::ZERO;
    for step in 0..3_000u32 {
        let at = STEP * step;
        let now = began + at;
        let (ended, rest) = running.into_iter().partition(|r| r.ends <= at);
        running = rest;
        for request in Vec::from_iter::<Vec<Running>>(ended) {
            if !request.causes {
                answer(&mut history, &request.request, now);
                continue;
            }
            // The server crashes as it begins to answer, with all that it has.
            crashes.push(at);
            let known = crashes.get(5 * causes.len() - 1);
            late += usize::from(known.is_some_and(|known| request.began > *known + SPREAD_TIME));
            let process = processes[request.server];
            processes[request.server] += servers as u64;
            let (lost, rest) = running
                .into_iter()
                .partition::<Vec<Running>, _>(|r| r.server == request.server);
            running = rest;
            for lost in lost.iter().chain([&request]) {
                crash(&mut history, &lost.request, process, now);
            }
        }
        // 30 sound requests a second, and 2 of the others.
        let kind = random.random_range(0.0..100.0);
        let is_cause = kind < 2.0;
        if (is_cause && at < CALM) || kind > 32.0 {
            continue;
        }
        let name = format!("{step}");
        let first = 100 + u64::from(random.random_range(0.0..1.0) > 0.9);
        let middle = 200 + random.random_range(0..8);
        let mut parts = vec![first, middle];
        if is_cause {
            parts.insert(step as usize % 3, causes[step as usize % causes.len()]);
        }
        let request = features(&name, &parts);
        sound += usize::from(!is_cause);
        if let Some(reason) = history.refusal_reason_of(&request, now) {
            let is_within = |tested: &Vec<Fingerprint>| {
                tested.iter().all(|f| reason.causes.contains(f))
                    && history.crashed_since(tested, began, now)
            };
            if !reason.allows_trial() || at < trial_until || tried.iter().any(is_within) {
                refused += usize::from(!is_cause);
                continue;
            }
            trial_until = at + SECOND * 3;
            tried.push(reason.causes);
        }
        let run_time = if is_cause {
            0.05
        } else {
            random.random_range(0.5..1.5) * RUN_TIME
        };
        running.push(Running {
            request,
            causes: is_cause,
            server: random.random_range(0..servers),
            began: at,
            ends: at + Duration::from_secs_f64(run_time),
        });
    }
    (late, refused, sound)
}

/// Guards against sound requests that are refused because of what they share with
/// those that crash servers, and against parts that are found late.
#[test]
fn parts_that_crash_servers_are_told_apart_from_those_beside_them() {
    for servers in [4, 18, 60] {
        for seed in 0..20 {
            let (late, refused, sound) = simulate(seed, servers, &[13]);
            assert!(late <= 3, "seed {seed}, {servers}: {late} crashes");
            assert!(
                refused * 50 <= sound,
                "seed {seed}, {servers}: refused {refused} of {sound}"
            );
        }
    }
}

/// As above, with two such parts at once.
#[test]
fn two_parts_that_crash_servers_are_told_apart_from_those_beside_them() {
    for servers in [18, 60] {
        for seed in 0..20 {
            let (late, refused, sound) = simulate(seed, servers, &[13, 14]);
            assert!(late <= 3, "seed {seed}, {servers}: {late} crashes");
            assert!(
                refused * 50 <= sound,
                "seed {seed}, {servers}: refused {refused} of {sound}"
            );
        }
    }
}

/// Guards against refusals of most requests until the next answer, since nothing but
/// earlier answers tells a popular part from the one beside it.
#[test]
fn a_part_that_was_answered_before_is_not_refused_for_one_that_never_was() {
    let now = Instant::now();
    let mut history = history();
    answer(&mut history, &features("before", &[7, 8]), now);
    for n in 1..4u32 {
        let request = features(&format!("r{n}"), &[7, 13]);
        crash(&mut history, &request, u64::from(n), now + SECOND * n);
    }
    let later = now + SECOND * 4;
    let reason = history.refusal_reason_of(&features("next", &[7, 13]), later);
    assert_eq!(reason.map(|r| r.causes), Some(vec![part(13)]));
    assert!(!is_refused(&history, &features("sound", &[7, 8]), later));
}
