//! Budgets: top-ups count once despite retries and conflicts, dead routers'
//! tokens are released, and the audit finds wrong bills.

use std::time::{Duration, Instant};

use crate::common::{CommitOutcome, Shared, add_billed_router, add_router, fleet};
use poplar_core::bill::Stage;
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key};
use poplar_ctl::command::budget::{BudgetChange, create, top_up};
use poplar_ctl::command::recovery::{release, seal};
use poplar_ctl::error::{Error, Result};
use poplar_ctl::fleet::Fleet;
use poplar_ctl::query::{bills, budgets};

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

async fn add_50(fleet: &Fleet, id: &str) -> Result<BudgetChange> {
    top_up(fleet, "lighting", id, 50, deadline()).await
}

#[tokio::test]
async fn a_topup_counts_once_under_lost_answers_and_races() {
    let (fleet, state) = fleet();
    state.lock().unwrap().next_outcomes = vec![CommitOutcome::AnswerLost];
    assert_eq!(
        create(&fleet, "lighting", 100, deadline())
            .await
            .unwrap()
            .limit,
        100
    );
    assert!(
        create(&fleet, "lighting", 100, deadline())
            .await
            .unwrap()
            .repeated
    );
    assert!(matches!(
        create(&fleet, "lighting", 7, deadline()).await,
        Err(Error::Refused(_))
    ));
    let conflict = CommitOutcome::Conflict("budget/lighting");
    state.lock().unwrap().next_outcomes = vec![
        conflict,
        CommitOutcome::RequestLost,
        conflict,
        CommitOutcome::AnswerLost,
    ];
    let change = add_50(&fleet, "may").await.unwrap();
    assert_eq!(
        (change.limit, change.available, change.repeated),
        (150, 148, false)
    );
    assert!(add_50(&fleet, "may").await.unwrap().repeated);
    assert_eq!(add_50(&fleet, "june").await.unwrap().limit, 200);
    let differs = top_up(&fleet, "lighting", "may", 51, deadline()).await;
    assert!(matches!(differs, Err(Error::Refused(_))));
    let missing = top_up(&fleet, "none", "may", 1, Instant::now()).await;
    assert!(matches!(missing, Err(Error::Refused(_))));
}

#[tokio::test]
async fn a_limit_never_overflows() {
    let (fleet, _) = fleet();
    let limit = u64::MAX - 49;
    create(&fleet, "lighting", limit, Instant::now())
        .await
        .unwrap();
    assert!(matches!(
        add_50(&fleet, "may").await,
        Err(Error::Refused(_))
    ));
}

/// Returns a fleet in which the live router a.1 and the sealed b.1 have grants
/// from one budget.
fn fleet_with_grants() -> (Fleet, Shared) {
    let (fleet, state) = fleet();
    {
        let mut state = state.lock().unwrap();
        let row = BudgetRow {
            limit: 1000,
            granted: 700,
        };
        state.set(&budget_key("lighting"), &row);
        add_router(&mut state, "a.1", "a", Stage::Active, 30);
        add_router(&mut state, "b.1", "b", Stage::Sealed, 50);
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
    let (fleet, _) = fleet_with_grants();
    insta::assert_snapshot!(budgets::list(&fleet).await.unwrap().text);
    assert!(budgets::show(&fleet, "none").await.is_err());
}

#[tokio::test]
async fn a_sealed_router_gives_back_once_what_it_can_t_have_used() {
    let (fleet, state) = fleet_with_grants();
    let without_proof = release(&fleet, "b.1", false, deadline()).await;
    assert!(matches!(without_proof, Err(Error::Refused(_))));
    let live = release(&fleet, "a.1", true, deadline()).await;
    assert!(matches!(live, Err(Error::Refused(_))));
    state.lock().unwrap().next_outcomes = vec![
        CommitOutcome::Conflict("budget/lighting"),
        CommitOutcome::AnswerLost,
    ];
    release(&fleet, "b.1", true, deadline()).await.unwrap();
    release(&fleet, "b.1", true, deadline()).await.unwrap();
    insta::assert_snapshot!(budgets::list(&fleet).await.unwrap().text);
    state.lock().unwrap().next_outcomes =
        vec![CommitOutcome::RequestLost, CommitOutcome::AnswerLost];
    seal(&fleet, "a.1", deadline()).await.unwrap();
    assert!(fleet.live_routers().await.unwrap().is_empty());
    assert!(seal(&fleet, "none.1", deadline()).await.is_err());
    // A later incarnation at the same address proves that the earlier one is gone.
    add_router(&mut state.lock().unwrap(), "a.2", "a", Stage::Active, 0);
    let shown = release(&fleet, "a.1", false, deadline()).await.unwrap();
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
        add_billed_router(&mut state, "a.1", &[("k1", 10), ("k2", 20)], 30);
        add_billed_router(&mut state, "b.1", &[("k3", 5)], 5);
    }
    let correct = bills::bills(&fleet).await.unwrap();
    assert_eq!(correct.failure, None, "{}", correct.text);
    {
        let mut state = state.lock().unwrap();
        state.set(&budget_key("lighting"), &limit(30));
        add_billed_router(&mut state, "b.1", &[("k2", 5)], 6);
        add_billed_router(&mut state, "c.1", &[("k5", 1), ("k6", 1)], 2);
        state.objects.remove("bills/c.1/00000001-0");
    }
    let wrong = bills::bills(&fleet).await.unwrap();
    assert!(wrong.failure.is_some());
    insta::assert_snapshot!(wrong.text);
}
