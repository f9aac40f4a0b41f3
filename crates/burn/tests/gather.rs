//! The report's input: answers from the chains of bills, refusals from the live
//! routers.

use std::sync::Arc;

use poplar_base::platform::{Platform, Row};
use poplar_burn::gather::gather;
use poplar_burn::report::{BudgetUsage, report};
use poplar_core::bill::{Batch, Bill, BillingRow, RouterRow, Stage};
use poplar_core::budget::rows::BudgetRow;
use poplar_core::id::RequestId;
use poplar_ctl::error::Error;
use poplar_ctl::fleet::{Admin, AdminCall, Fleet};
use serde_json::{Value, json};

const NOW_MS: u64 = 1_800_000_000_000;
const DAY_MS: u64 = 86_400_000;

fn bill(id: &str, age_ms: u64) -> Bill {
    Bill {
        id: RequestId(id.into()),
        workspace: "council".into(),
        class: "plan".into(),
        budget: "council".into(),
        body_hash: 0,
        prompt: 4,
        output: 6,
        at_ms: NOW_MS - age_ms,
        first_ms: None,
        finish_ms: 1,
        targets_met: age_ms == 0,
        answer: None,
    }
}

fn row(key: &str, value: &impl serde::Serialize) -> Row {
    Row {
        key: key.to_owned(),
        version: 1,
        value: serde_json::to_value(value).unwrap(),
    }
}

fn router(admin: &str, stage: Stage) -> RouterRow {
    RouterRow {
        address: admin.into(),
        admin: admin.into(),
        centre: "north".into(),
        stage,
    }
}

/// Returns the rows of a live router, one that does not answer, and a sealed one
/// with three batches.
fn rows() -> Vec<Row> {
    let billing = BillingRow {
        head: Some("bills/3".into()),
        batches: 3,
        billed: vec![("council".into(), 30)],
        lost: vec![("council".into(), 5)],
    };
    let budget = BudgetRow {
        limit: 31,
        granted: 31,
    };
    vec![
        row("billing/sealed.1", &billing),
        row("budget/council", &budget),
        row("router/live.1", &router("live", Stage::Active)),
        row("router/sealed.1", &router("live", Stage::Sealed)),
        row("router/silent.1", &router("silent", Stage::Active)),
    ]
}

fn batch(number: u64) -> Batch {
    Batch {
        previous: (number > 1).then(|| format!("bills/{}", number - 1).into()),
        bills: vec![bill(&format!("k{number}"), (3 - number) * 2 * DAY_MS)],
        losses: Vec::new(),
    }
}

fn fleet() -> Fleet {
    let platform = Platform {
        read: Arc::new(|keys| {
            let missing = |key: &String| Row {
                key: key.clone(),
                version: 0,
                value: Value::Null,
            };
            let rows = keys.iter().map(missing).collect();
            Box::pin(async { Ok(rows) })
        }),
        scan: Arc::new(|prefix| {
            let found = rows().into_iter().filter(|r| r.key.starts_with(&prefix));
            let found = found.collect();
            Box::pin(async { Ok(found) })
        }),
        commit: Arc::new(|_| panic!("a report writes nothing")),
        put: Arc::new(|_, _| panic!("a report writes nothing")),
        get: Arc::new(|name| {
            let number = name.trim_start_matches("bills/").parse().unwrap();
            assert!(number > 1, "the first batch is four days old");
            let body = serde_json::to_vec(&batch(number)).unwrap();
            Box::pin(async { Ok(Some(body.into())) })
        }),
        hosts: Arc::new(|| panic!("a report reads no hosts")),
    };
    let get: AdminCall = Arc::new(|address, _| {
        let refused = json!([{"code": "overloaded", "count": 3, "false": 1}]);
        let rows = json!([{"workspace": "council", "class": "plan", "met": 9, "missed": 9,
            "refused": refused}]);
        let page = json!({"minutes": [{"minute": NOW_MS / 60_000 - 1, "rows": rows}]});
        let silent = Error::Admin("no connection".to_owned());
        let answer = if &*address == "live" {
            Ok(page)
        } else {
            Err(silent)
        };
        Box::pin(async { answer })
    });
    let admin = Admin {
        post: get.clone(),
        get,
    };
    Fleet { platform, admin }
}

#[tokio::test]
async fn answers_and_refusals_of_the_day_are_collected() {
    let input = gather(&fleet(), NOW_MS).await.unwrap();
    let report = report(&input, NOW_MS);
    let day = &report.rows[0].windows[2];
    assert_eq!((day.met, day.missed, day.refused), (1, 0, 3));
    assert_eq!((report.false_refusals, report.overspend), (1, 4));
    assert_eq!(&*report.silent[0].0, "silent.1");
    assert!(report.broken.is_empty());
    let usage = BudgetUsage {
        budget: "council".into(),
        limit: 31,
        billed: 30,
        lost: 5,
    };
    assert_eq!(report.budgets, [usage]);
}
