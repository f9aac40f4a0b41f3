//! Evacuated data centres: which ones get requests, and how load returns.

use std::time::{Duration, Instant};

use poplar_core::evacuation::{Change, Evacuations, Intake, STEP_TIME, STEPS, draw_of};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;

fn rows(centres: &[(&str, u64)]) -> SortedVec<Name, u64> {
    let row = |(centre, version): &(&str, u64)| (Name::from(*centre), *version);
    centres.iter().map(row).collect()
}

/// Guards against an evacuation that is not in force, that is reported again with each
/// read of the table, or that concerns another data centre.
#[test]
fn an_evacuated_centre_gets_nothing_until_its_row_is_removed() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    let began = evacuations.update(rows(&[("b", 7)]), now);
    assert_eq!(began, [Change::Began("b".into(), 7)]);
    for (version, seconds) in [(7, 1), (9, 100)] {
        let now = now + Duration::from_secs(seconds);
        assert_eq!(evacuations.update(rows(&[("b", version)]), now), []);
        assert_eq!(evacuations.intake("b", now), Intake::None);
        assert!(!Intake::None.includes(0.0));
        assert_eq!(evacuations.intake("a", now), Intake::Full);
    }
    let ended = evacuations.update(rows(&[]), now);
    assert_eq!(ended, [Change::Ended("b".into())]);
}

/// Guards against all load returning at once, or not at all.
#[test]
fn load_returns_in_steps() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.update(rows(&[("b", 7)]), now);
    evacuations.update(rows(&[]), now);
    let mut parts = Vec::new();
    for step in 0..STEPS.len() as u32 {
        let Intake::Part(part) = evacuations.intake("b", now + STEP_TIME * step) else {
            panic!("step {step} is not a part");
        };
        parts.push(part);
    }
    assert!(parts.is_sorted() && parts[0] < 0.25 && parts[STEPS.len() - 1] < 1.0);
    let end = now + STEP_TIME * STEPS.len() as u32;
    assert_eq!(evacuations.intake("b", end), Intake::Full);
    assert_eq!(evacuations.returning_count(end), 0);
    // The clock of a caller may be behind.
    let before = now.checked_sub(STEP_TIME).expect("the clock has run");
    assert_eq!(evacuations.intake("b", before), Intake::Part(STEPS[0]));
}

/// Guards against a centre that returns while it is evacuated once more.
#[test]
fn an_evacuation_that_begins_again_ends_the_return() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.update(rows(&[("b", 7)]), now);
    evacuations.update(rows(&[]), now);
    let changes = evacuations.update(rows(&[("b", 9)]), now + STEP_TIME);
    assert_eq!(changes, [Change::Began("b".into(), 9)]);
    assert_eq!(evacuations.intake("b", now + STEP_TIME), Intake::None);
    assert_eq!(evacuations.returning_count(now + STEP_TIME), 0);
}

/// Guards against shared prompts that return in one step because their ids are alike.
#[test]
fn the_draws_of_shared_prompts_are_spread() {
    let returned = |part| (0..1000).filter(|id| draw_of(*id) < part).count();
    assert!(
        (30..75).contains(&returned(STEPS[0])),
        "{}",
        returned(STEPS[0])
    );
    assert!(
        (350..450).contains(&returned(STEPS[3])),
        "{}",
        returned(STEPS[3])
    );
    assert_eq!(returned(1.0), 1000);
}
