//! Bills are written and grants are drawn exactly once even if answers of the
//! platform are lost.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{CallOutcome, Store};
use poplar_base::platform::{Commit, Platform};
use poplar_core::bill::{Bill, BillingRow, billing_key};
use poplar_core::budget::rows::{BudgetRow, GrantRow, budget_key, grant_key, incarnation_key};
use poplar_core::id::{Incarnation, Name, RequestId};
use poplar_router::budget::bill_queue::{BillOutcome, BillQueue};
use poplar_router::budget::bill_writer::BillWriter;
use poplar_router::budget::manager::BudgetManager;
use poplar_router::peers::Peers;
use poplar_router::settings;

struct Fixture {
    store: Arc<Mutex<Store>>,
    platform: Platform,
    me: Incarnation,
    budgets: Arc<BudgetManager>,
    bill_queue: Arc<BillQueue>,
}

/// A registered router, and a budget of 1000 tokens.
fn fixture() -> Fixture {
    let store = Arc::new(Mutex::new(Store::default()));
    let platform = common::platform(&store);
    let me = Incarnation::new("r1", 7);
    let budget = BudgetRow {
        limit: 1000,
        granted: 0,
    };
    let commit = Commit::default()
        .write(incarnation_key(&me), &"registered")
        .write(budget_key("rift"), &budget);
    store.lock().unwrap().commit(commit).unwrap();
    let bill_queue = Arc::new(BillQueue::default());
    let settings = settings::Budget {
        grant_horizon: Duration::from_secs(360),
        min_draw: 100,
        max_exposure: 1000,
        bill_timeout: Duration::from_millis(400),
        unbilled_timeout: Duration::from_secs(2),
    };
    let peers = Arc::new(Peers::default());
    let budgets = BudgetManager::new(
        platform.clone(),
        me.clone(),
        settings,
        peers,
        bill_queue.clone(),
    );
    Fixture {
        store,
        platform,
        me,
        budgets: Arc::new(budgets),
        bill_queue,
    }
}

fn bill(id: &str, tokens: u64) -> Bill {
    Bill {
        id: RequestId(id.into()),
        workspace: "rift".into(),
        class: "rider-chat".into(),
        budget: "rift".into(),
        body_hash: 1,
        prompt: 0,
        output: tokens,
        at_ms: 0,
        first_ms: None,
        finish_ms: 1,
        targets_met: true,
        answer: None,
    }
}

/// Bills three requests while commits and reads have these outcomes. Returns
/// the results and the billing row.
async fn bill_three(
    commits: &[CallOutcome],
    reads: &[CallOutcome],
) -> (Vec<BillOutcome>, BillingRow) {
    let fixture = fixture();
    {
        let mut store = fixture.store.lock().unwrap();
        store.commits = commits.to_vec();
        store.reads = reads.to_vec();
    }
    let Fixture {
        platform,
        budgets,
        bill_queue,
        me,
        ..
    } = &fixture;
    let work = BillWriter::new(platform, budgets, bill_queue, me, 1).run();
    let bills = async {
        let mut all = Vec::new();
        for id in ["ka", "kb", "kc"] {
            all.push(bill_queue.submit(bill(id, 5), true).await.unwrap());
        }
        all
    };
    let all = tokio::select! {
        () = work => panic!("the writer ended"),
        all = bills => all,
    };
    let row = fixture.store.lock().unwrap().decode(&billing_key(me));
    (all, row.expect("a billing row"))
}

#[tokio::test(start_paused = true)]
async fn a_bill_is_written_once_when_the_answer_is_lost() {
    use CallOutcome::{Fail, LoseAnswer, Succeed};
    for reads in [&[][..], &[Fail], &[LoseAnswer, Fail, Fail]] {
        for commits in [
            &[LoseAnswer][..],
            &[Fail, LoseAnswer],
            &[Succeed, LoseAnswer, LoseAnswer],
        ] {
            let (all, row) = bill_three(commits, reads).await;
            assert_eq!(
                all,
                [
                    BillOutcome::Durable,
                    BillOutcome::Durable,
                    BillOutcome::Durable
                ]
            );
            assert_eq!(row.billed, [("rift".into(), 15)], "{commits:?} {reads:?}");
            assert_eq!((row.batches, row.lost), (3, Vec::new()));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_second_bill_of_a_request_is_recorded_as_a_loss() {
    let fixture = fixture();
    let Fixture {
        platform,
        budgets,
        bill_queue,
        me,
        ..
    } = &fixture;
    let other = poplar_core::bill::BilledRow {
        batch: "bills/r2.1/00000000-1".into(),
        body: 1,
    };
    let commit = Commit::default().write("billed/ka", &other);
    fixture.store.lock().unwrap().commit(commit).unwrap();
    let work = BillWriter::new(platform, budgets, bill_queue, me, 1).run();
    let bills = async {
        let done = bill_queue.submit(bill("ka", 5), true).await.unwrap();
        bill_queue.wait_until_flushed().await;
        done
    };
    let done = tokio::select! {
        () = work => panic!("the writer ended"),
        done = bills => done,
    };
    assert_eq!(done, BillOutcome::AlreadyBilled(other));
    let row: BillingRow = fixture
        .store
        .lock()
        .unwrap()
        .decode(&billing_key(me))
        .unwrap();
    assert_eq!((row.billed, row.lost), (vec![], vec![("rift".into(), 5)]));
}

#[tokio::test(start_paused = true)]
async fn a_sealed_router_bills_nothing() {
    let fixture = fixture();
    let Fixture {
        platform,
        budgets,
        bill_queue,
        me,
        ..
    } = &fixture;
    let commit = Commit::default().write(incarnation_key(me), &"sealed");
    fixture.store.lock().unwrap().commit(commit).unwrap();
    let done = bill_queue.submit(bill("ka", 5), true);
    BillWriter::new(platform, budgets, bill_queue, me, 1)
        .run()
        .await;
    assert_eq!(done.await.unwrap(), BillOutcome::Sealed);
}

#[tokio::test(start_paused = true)]
async fn a_draw_is_credited_once_when_the_answer_is_lost() {
    use CallOutcome::{Fail, LoseAnswer};
    for commits in [
        &[LoseAnswer][..],
        &[Fail, LoseAnswer],
        &[LoseAnswer, LoseAnswer],
    ] {
        let fixture = fixture();
        fixture.store.lock().unwrap().commits = commits.to_vec();
        let budget: Name = "rift".into();
        let mut reserved = Vec::new();
        while reserved.len() < 3 {
            // After a failure to reach the platform, requests are refused for a
            // while.
            match fixture.budgets.reserve(&budget, 60, 1).await {
                Ok(reservation) => reserved.push(reservation),
                Err(_) => tokio::time::sleep(Duration::from_secs(1)).await,
            }
        }
        let held = fixture.budgets.holdings()[0].1.held;
        let store = fixture.store.lock().unwrap();
        let grant: GrantRow = store.decode(&grant_key("rift", &fixture.me)).unwrap();
        let row: BudgetRow = store.decode(&budget_key("rift")).unwrap();
        assert_eq!((held, row.granted), (grant.granted, grant.granted));
        assert!(row.granted <= row.limit);
    }
}
