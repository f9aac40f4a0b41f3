//! Tests of the schedule: arrivals depend only on the mix, the options and the seed.

use std::path::Path;
use std::time::Duration;

use poplar_core::config::hash_key;
use poplar_load::mix::{self, Mix, RequestKind};
use poplar_load::prompt;
use poplar_load::schedule::{Arrival, Plan, Rush, schedule};

fn mix() -> Mix {
    mix::find("waiharakeke").unwrap()
}

fn plan() -> Plan {
    Plan {
        seed: 7,
        rate: 100.0,
        duration: Duration::from_secs(60),
        rush: None,
        distinct_prompts: 0,
    }
}

#[test]
fn the_same_seed_gives_the_same_arrivals_and_another_one_others() {
    let first: Vec<Arrival> = schedule(&mix(), &plan()).into_iter().take(5).collect();
    insta::assert_debug_snapshot!(first);
    let other = Plan { seed: 8, ..plan() };
    assert_ne!(schedule(&mix(), &other)[0], first[0]);
}

#[test]
fn arrivals_are_poisson_at_the_rate_and_in_the_shares() {
    let mix = mix();
    let all = schedule(&mix, &plan());
    assert!((5600..=6400).contains(&all.len()), "{}", all.len());
    let gaps: Vec<f64> = all
        .windows(2)
        .map(|pair| (pair[1].at - pair[0].at).as_secs_f64())
        .collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let spread = gaps.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    // The standard deviation of an exponential distribution equals its mean.
    assert!((spread.sqrt() / mean - 1.0).abs() < 0.1);
    let status = all
        .iter()
        .filter(|a| mix.classes[a.class].name == "pole-status");
    let share = status.count() as f64 / all.len() as f64;
    assert!((share - 0.35).abs() < 0.03, "{share}");
}

#[test]
fn a_rush_does_not_change_the_arrivals_of_other_workspaces() {
    let mix = mix();
    let rush = Rush {
        workspace: "linesmen".to_owned(),
        factor: 10.0,
        from: Duration::from_secs(20),
        until: Duration::from_secs(40),
    };
    let calm = schedule(&mix, &plan());
    let with = Plan {
        rush: Some(rush),
        ..plan()
    };
    let with = schedule(&mix, &with);
    let rushing_index = mix.sender_index("linesmen").unwrap();
    let others = |all: &[Arrival]| -> Vec<(Duration, usize, u64)> {
        let others = all.iter().filter(|a| a.sender != rushing_index);
        others.map(|a| (a.at, a.class, a.prompt)).collect()
    };
    assert_eq!(others(&calm), others(&with));
    let rushing = |all: &[Arrival], from: u64, until: u64| {
        let span = Duration::from_secs(from)..Duration::from_secs(until);
        let of = |a: &&Arrival| a.sender == rushing_index && span.contains(&a.at);
        all.iter().filter(of).count() as f64
    };
    assert_eq!(rushing(&with, 0, 20), rushing(&calm, 0, 20));
    let times = rushing(&with, 20, 40) / rushing(&calm, 20, 40);
    assert!((8.0..=12.0).contains(&times), "{times}");
}

#[test]
fn repeated_prompts_are_equal_and_prompts_share_a_prefix() {
    let mix = mix();
    let two_prompts = Plan {
        distinct_prompts: 2,
        ..plan()
    };
    let all = schedule(&mix, &two_prompts);
    let RequestKind::Chat(chat) = &mix.classes[0].kind else {
        panic!("the first class is a chat");
    };
    let plans: Vec<&Arrival> = all
        .iter()
        .filter(|a| a.class == 0 && a.sender == 0)
        .collect();
    let messages = |arrival| prompt::messages(chat, "festival-plan", &mix.senders[0], arrival);
    let of = |number| {
        let same = plans.iter().filter(move |a| a.prompt == number);
        let same: Vec<_> = same.map(|a| messages(a)).collect();
        assert!(same.len() > 1 && same.iter().all(|m| *m == same[0]));
        same[0].clone()
    };
    let (one, two) = (of(0), of(1));
    assert_eq!(one[0], two[0]);
    assert_ne!(one[1], two[1]);
    assert!(one[0].content.len() >= chat.prefix);
}

#[test]
fn mixes_match_the_sample_classes() {
    for name in ["waiharakeke", "nairobi"] {
        let mut mix = mix::find(name).unwrap();
        let file = format!("../../config/classes-{name}.ini");
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
        let config = poplar_ctl::classes::open(path).unwrap();
        let before = mix.clone();
        mix.apply_config(&config);
        assert_eq!(mix, before);
        assert_eq!(config.classes.len(), mix.classes.len());
        assert_eq!(config.workspaces.len(), mix.senders.len());
        for sender in &mix.senders {
            let workspace = config.workspace(&sender.name).unwrap();
            assert_eq!(*workspace.secret, *hash_key(&sender.key));
        }
        for class_load in &mix.classes {
            let class = config.class(class_load.name).unwrap();
            if let RequestKind::Chat(chat) = &class_load.kind {
                assert_eq!(class.output_cap, chat.max_tokens);
                assert!(chat.answer_tokens.1 <= chat.max_tokens);
            }
        }
    }
}
