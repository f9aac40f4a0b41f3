//! Applying a configuration: conditional write, lost answers and conflicts.

use std::time::Instant;

use crate::common::{CommitOutcome, add_router, config, fleet};
use poplar_core::bill::Stage;
use poplar_core::config::{ConfigWire, ROW_KEY};
use poplar_ctl::command::apply::{ApplyReport, ApplyRequest, apply, output};
use poplar_ctl::error::{Error, Result};
use poplar_ctl::fleet::Fleet;

async fn run(fleet: &Fleet, finish: &str, expect: Option<u64>) -> Result<ApplyReport> {
    let request = ApplyRequest {
        config: config(finish),
        expect,
        deadline: Instant::now(),
    };
    apply(fleet, &request).await
}

#[tokio::test]
async fn it_counts_live_routers_at_the_generation() {
    let (fleet, state) = fleet();
    {
        let mut state = state.lock().unwrap();
        add_router(&mut state, "a.1", "a", Stage::Active, 0);
        add_router(&mut state, "b.1", "b", Stage::Active, 0);
        add_router(&mut state, "c.1", "c", Stage::Active, 0);
        add_router(&mut state, "d.1", "d", Stage::Sealed, 0);
        for (name, incarnation, generation) in [("a", "a.1", 1), ("b", "b.1", 0), ("c", "c.2", 1)] {
            let page = serde_json::json!({"incarnation": incarnation, "generation": generation});
            state.pages.insert(format!("{name}/v1/status"), page);
        }
    }
    let applied = run(&fleet, "2s", None).await.unwrap();
    insta::assert_snapshot!(output(&applied).text);
    assert!(output(&applied).failure.is_some());
    let again = run(&fleet, "2s", None).await.unwrap();
    assert!(again.unchanged && again.generation == 1);
    assert_eq!(state.lock().unwrap().commits, 1);
}

#[tokio::test]
async fn a_lost_answer_is_read_back_and_the_write_never_repeated() {
    let (fleet, state) = fleet();
    state.lock().unwrap().next_outcomes =
        vec![CommitOutcome::AnswerLost, CommitOutcome::RequestLost];
    assert_eq!(run(&fleet, "2s", None).await.unwrap().generation, 1);
    assert_eq!(state.lock().unwrap().commits, 1);
    let unknown = run(&fleet, "3s", None).await;
    assert!(matches!(unknown, Err(Error::OutcomeUnknown(_))));
    assert_eq!(state.lock().unwrap().commits, 2);
}

#[tokio::test]
async fn a_racing_operator_is_shown_what_changed() {
    let (fleet, state) = fleet();
    run(&fleet, "2s", None).await.unwrap();
    run(&fleet, "9s", None).await.unwrap();
    let late = run(&fleet, "5s", Some(1)).await.unwrap_err();
    insta::assert_snapshot!(late);
    // Another writer changes the row between the read and the write.
    let mut other = config("7s");
    other.generation = 3;
    let (fleet, shared) = (fleet.clone(), state.clone());
    let inner = fleet.platform.commit.clone();
    let mut racing_fleet = fleet.clone();
    racing_fleet.platform.commit = std::sync::Arc::new(move |commit| {
        shared
            .lock()
            .unwrap()
            .set(ROW_KEY, &ConfigWire::from(&other));
        inner(commit)
    });
    let late = run(&racing_fleet, "5s", Some(2)).await.unwrap_err();
    insta::assert_snapshot!(late);
    assert_eq!(fleet.config().await.unwrap().config.generation, 3);
}
