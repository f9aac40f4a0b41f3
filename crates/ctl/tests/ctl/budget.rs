//! A top-up counts once, however often it is asked for or raced.

use std::time::{Duration, Instant};

use crate::common::{Fate, billing, fleet, router};
use poplar_core::bill::Stage;
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key};
use poplar_ctl::command::budget::{Changed, create, top_up, topped_up};
use poplar_ctl::error::{Error, Result};
use poplar_ctl::fleet::Fleet;
use poplar_ctl::query::{bills, budgets};

async fn add(fleet: &Fleet, id: &str) -> Result<Changed> {
    let deadline = Instant::now() + Duration::from_secs(30);
    top_up(fleet, "lighting", id, 50, deadline).await
}

#[tokio::test]
async fn a_topup_counts_once_under_lost_answers_and_races() {
    let (fleet, state) = fleet();
    state.lock().unwrap().fates = vec![Fate::Lost];
    assert_eq!(create(&fleet, "lighting", 100).await.unwrap().limit, 100);
    assert!(create(&fleet, "lighting", 100).await.unwrap().repeated);
    assert!(matches!(
        create(&fleet, "lighting", 7).await,
        Err(Error::Refused(_))
    ));
    let raced = Fate::Raced("budget/lighting");
    state.lock().unwrap().fates = vec![raced, Fate::Dropped, raced, Fate::Lost];
    let done = add(&fleet, "may").await.unwrap();
    assert_eq!(
        (done.limit, done.available, done.repeated),
        (150, 148, false)
    );
    assert!(add(&fleet, "may").await.unwrap().repeated);
    assert_eq!(add(&fleet, "june").await.unwrap().limit, 200);
    let missing = top_up(&fleet, "none", "may", 1, Instant::now()).await;
    assert!(matches!(missing, Err(Error::Refused(_))));
}

#[test]
fn a_limit_never_wraps_and_the_row_stays_small() {
    let mut row = BudgetRow {
        limit: u64::MAX - 1,
        ..BudgetRow::default()
    };
    assert!(topped_up(&row, "a", 2).is_err());
    for id in 0..1000 {
        row = topped_up(&row, &id.to_string(), 0).unwrap().unwrap();
    }
    assert_eq!(row.topups.len(), 256);
    assert_eq!(topped_up(&row, "999", 5).unwrap(), None);
}

#[tokio::test]
async fn a_budget_shows_where_its_tokens_are() {
    let (fleet, state) = fleet();
    {
        let mut state = state.lock().unwrap();
        let row = BudgetRow {
            limit: 1000,
            granted: 700,
            topups: Vec::new(),
        };
        state.set(&budget_key("lighting"), &row);
        state.set("router/a.1", &router("a", Stage::Active, 30));
        state.set("router/b.1", &router("b", Stage::Sealed, 50));
        for (of, granted) in [("a.1", 300), ("b.1", 400)] {
            let grant = GrantRow { number: 1, granted };
            state.set(&format!("grant/lighting/{of}"), &grant);
        }
    }
    insta::assert_snapshot!(budgets::list(&fleet).await.unwrap().text);
    assert!(budgets::show(&fleet, "none").await.is_err());
}

#[tokio::test]
async fn the_audit_passes_right_bills_and_finds_each_kind_of_wrong_one() {
    let (fleet, state) = fleet();
    let limit = |tokens| BudgetRow {
        limit: tokens,
        ..BudgetRow::default()
    };
    {
        let mut state = state.lock().unwrap();
        state.set(&budget_key("lighting"), &limit(100));
        billing(&mut state, "a.1", &[("k1", 10), ("k2", 20)], 30);
        billing(&mut state, "b.1", &[("k3", 5)], 5);
    }
    let right = bills::bills(&fleet).await.unwrap();
    assert_eq!(right.failed, None, "{}", right.text);
    {
        let mut state = state.lock().unwrap();
        state.set(&budget_key("lighting"), &limit(30));
        billing(&mut state, "b.1", &[("k2", 5)], 6);
        billing(&mut state, "c.1", &[("k5", 1), ("k6", 1)], 2);
        state.objects.remove("bills/c.1/00000001-0");
    }
    let wrong = bills::bills(&fleet).await.unwrap();
    assert!(wrong.failed.is_some());
    insta::assert_snapshot!(wrong.text);
}
