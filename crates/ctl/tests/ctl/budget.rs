//! A top-up counts once, however often it is asked for or raced.

use std::time::{Duration, Instant};

use crate::common::{Fate, Shared, billing, fleet, router};
use poplar_core::bill::Stage;
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key};
use poplar_ctl::command::budget::{BudgetChange, create, top_up};
use poplar_ctl::command::recovery::{release, seal};
use poplar_ctl::error::{Error, Result};
use poplar_ctl::fleet::Fleet;
use poplar_ctl::query::{bills, budgets};

fn late() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

async fn add(fleet: &Fleet, id: &str) -> Result<BudgetChange> {
    top_up(fleet, "lighting", id, 50, late()).await
}

#[tokio::test]
async fn a_topup_counts_once_under_lost_answers_and_races() {
    let (fleet, state) = fleet();
    state.lock().unwrap().fates = vec![Fate::Lost];
    assert_eq!(
        create(&fleet, "lighting", 100, late()).await.unwrap().limit,
        100
    );
    assert!(
        create(&fleet, "lighting", 100, late())
            .await
            .unwrap()
            .repeated
    );
    assert!(matches!(
        create(&fleet, "lighting", 7, late()).await,
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
    let differs = top_up(&fleet, "lighting", "may", 51, late()).await;
    assert!(matches!(differs, Err(Error::Refused(_))));
    let missing = top_up(&fleet, "none", "may", 1, Instant::now()).await;
    assert!(matches!(missing, Err(Error::Refused(_))));
}

#[tokio::test]
async fn a_limit_never_wraps() {
    let (fleet, _) = fleet();
    let most = u64::MAX - 49;
    create(&fleet, "lighting", most, Instant::now())
        .await
        .unwrap();
    assert!(matches!(add(&fleet, "may").await, Err(Error::Refused(_))));
}

/// A fleet with a live router a.1 and a sealed b.1 that hold a budget.
fn holding() -> (Fleet, Shared) {
    let (fleet, state) = fleet();
    {
        let mut state = state.lock().unwrap();
        let row = BudgetRow {
            limit: 1000,
            granted: 700,
        };
        state.set(&budget_key("lighting"), &row);
        router(&mut state, "a.1", "a", Stage::Active, 30);
        router(&mut state, "b.1", "b", Stage::Sealed, 50);
        for (of, granted) in [("a.1", 300), ("b.1", 400)] {
            let grant = GrantRow {
                granted,
                exposure: Some(100),
                ..GrantRow::default()
            };
            state.set(&format!("grant/{of}/lighting"), &grant);
        }
    }
    (fleet, state)
}

#[tokio::test]
async fn a_budget_shows_where_its_tokens_are() {
    let (fleet, _) = holding();
    insta::assert_snapshot!(budgets::list(&fleet).await.unwrap().text);
    assert!(budgets::show(&fleet, "none").await.is_err());
}

#[tokio::test]
async fn a_sealed_router_gives_back_once_what_it_can_t_have_used() {
    let (fleet, state) = holding();
    let unproved = release(&fleet, "b.1", false, late()).await;
    assert!(matches!(unproved, Err(Error::Refused(_))));
    let live = release(&fleet, "a.1", true, late()).await;
    assert!(matches!(live, Err(Error::Refused(_))));
    state.lock().unwrap().fates = vec![Fate::Raced("budget/lighting"), Fate::Lost];
    release(&fleet, "b.1", true, late()).await.unwrap();
    release(&fleet, "b.1", true, late()).await.unwrap();
    insta::assert_snapshot!(budgets::list(&fleet).await.unwrap().text);
    state.lock().unwrap().fates = vec![Fate::Dropped, Fate::Lost];
    seal(&fleet, "a.1", late()).await.unwrap();
    assert!(fleet.live_routers().await.unwrap().is_empty());
    assert!(seal(&fleet, "none.1", late()).await.is_err());
    // A later incarnation at the same address proves that the first is gone.
    router(&mut state.lock().unwrap(), "a.2", "a", Stage::Active, 0);
    let shown = release(&fleet, "a.1", false, late()).await.unwrap();
    assert_eq!(shown.text, "budget lighting: released 170, stranded 100\n");
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
    assert_eq!(right.failure, None, "{}", right.text);
    {
        let mut state = state.lock().unwrap();
        state.set(&budget_key("lighting"), &limit(30));
        billing(&mut state, "b.1", &[("k2", 5)], 6);
        billing(&mut state, "c.1", &[("k5", 1), ("k6", 1)], 2);
        state.objects.remove("bills/c.1/00000001-0");
    }
    let wrong = bills::bills(&fleet).await.unwrap();
    assert!(wrong.failure.is_some());
    insta::assert_snapshot!(wrong.text);
}
