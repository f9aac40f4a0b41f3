//! Homes of shared prefixes: lost engines, busy homes, short prompts.

use poplar_core::affinity::{Candidate, Query, choose, home_server};
use poplar_core::id::Name;
use poplar_core::route::server::HealthState;

fn engines(count: usize) -> Vec<Candidate> {
    let engine = |at: usize| Candidate {
        id: format!("engine-{at}").into(),
        same_centre: at == 0,
        in_flight: 0,
        prefill_tokens: 0,
        running: 0,
        waiting: 0,
        health: HealthState::Healthy,
        last_resort: false,
        outlook: None,
    };
    (0..count).map(engine).collect()
}

fn query(prompt_id: u64, shared_tokens: u64) -> Query<'static> {
    Query {
        prompt_id,
        shared_tokens,
        tried: &[],
        random: 0.5,
    }
}

#[test]
fn the_loss_of_an_engine_moves_only_its_own_prefixes() {
    let ids: Vec<Name> = engines(9).into_iter().map(|c| c.id).collect();
    let moved = (0..1000u64)
        .filter(|prompt_id| {
            let before = home_server(*prompt_id, &ids).expect("a home");
            let after = home_server(*prompt_id, &ids[1..]).expect("a home");
            before != after
        })
        .count();
    assert!((60..160).contains(&moved), "{moved} of 1000 moved");
}

#[test]
fn a_busy_home_gets_requests_until_a_fetch_elsewhere_is_faster() {
    let mut all = engines(9);
    let first = choose(&all, &query(7, 13_000)).expect("a choice");
    assert!(first.is_home);
    let home = all.iter_mut().find(|c| c.id == first.id).expect("the home");
    home.prefill_tokens = 8_000;
    assert_eq!(
        choose(&all, &query(7, 13_000)).map(|c| c.id),
        Some(first.id.clone())
    );
    let home = all.iter_mut().find(|c| c.id == first.id).expect("the home");
    home.prefill_tokens = 60_000;
    let second = choose(&all, &query(7, 13_000)).expect("a choice");
    assert!(!second.is_home);
    assert_eq!(second.home_server, Some(first.id));
}

#[test]
fn short_prompts_stay_in_the_data_centre_until_it_is_loaded() {
    let mut all = engines(4);
    assert_eq!(
        &*choose(&all, &query(7, 350)).expect("a choice").id,
        "engine-0"
    );
    all[0].prefill_tokens = 5_000;
    assert_ne!(
        &*choose(&all, &query(7, 350)).expect("a choice").id,
        "engine-0"
    );
}

#[test]
fn tried_engines_and_last_resorts_are_used_if_no_other_is_left() {
    let mut all = engines(2);
    let tried = [all[0].id.clone()];
    let mut request = query(7, 0);
    request.tried = &tried;
    assert_eq!(&*choose(&all, &request).expect("a choice").id, "engine-1");
    all[1].health = HealthState::Ejected;
    all[1].last_resort = true;
    assert_eq!(&*choose(&all, &request).expect("a choice").id, "engine-1");
}
