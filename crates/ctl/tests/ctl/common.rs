//! An in-memory fleet whose commits can be made to fail.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_base::settings::File;
use poplar_core::bill::{Batch, Bill, BillingRow, Loss, RouterRow, Stage};
use poplar_core::config::Config;
use poplar_core::id::RequestId;
use poplar_core::sorted::SortedVec;
use poplar_ctl::classes;
use poplar_ctl::error::Error as CtlError;
use poplar_ctl::fleet::{Admin, Fleet};
use serde_json::Value;

/// Outcome of a commit other than success.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CommitOutcome {
    /// The commit takes effect and its answer is lost.
    AnswerLost,
    /// The commit never arrives; the caller sees the same error as for a lost
    /// answer.
    RequestLost,
    /// A router draws a token from the budget with this key first, so that the
    /// commit fails.
    Conflict(&'static str),
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) rows: SortedVec<String, (u64, Value)>,
    pub(crate) objects: SortedVec<String, Bytes>,
    pub(crate) pages: SortedVec<String, Value>,
    /// Outcomes of the next commits; later ones succeed.
    pub(crate) next_outcomes: Vec<CommitOutcome>,
    pub(crate) commits: u64,
    version: u64,
}

impl State {
    pub(crate) fn set(&mut self, key: &str, value: &impl serde::Serialize) {
        self.version += 1;
        let value = serde_json::to_value(value).unwrap();
        self.rows.insert(key.to_owned(), (self.version, value));
    }

    fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        let key = key.to_owned();
        Row {
            key,
            version,
            value,
        }
    }

    fn commit(&mut self, commit: Commit) -> Result<u64, Error> {
        self.commits += 1;
        let outcome = (!self.next_outcomes.is_empty()).then(|| self.next_outcomes.remove(0));
        match outcome {
            Some(CommitOutcome::RequestLost) => {
                return Err(Error::OutcomeUnknown("timeout".into()));
            }
            Some(CommitOutcome::Conflict(key)) => {
                let mut value = self.row(key).value;
                value["granted"] = (value["granted"].as_u64().unwrap() + 1).into();
                self.set(key, &value);
            }
            _ => {}
        }
        let stale = |c: &&poplar_base::platform::Check| self.row(&c.key).version != c.version;
        let stale: Vec<Row> = commit
            .checks
            .iter()
            .filter(stale)
            .map(|c| self.row(&c.key))
            .collect();
        if !stale.is_empty() {
            return Err(Error::Conflict(stale));
        }
        for write in commit.writes {
            self.set(&write.key, &write.value.unwrap());
        }
        match outcome {
            Some(CommitOutcome::AnswerLost) => Err(Error::OutcomeUnknown("timeout".into())),
            _ => Ok(self.version),
        }
    }
}

pub(crate) type Shared = Arc<Mutex<State>>;

/// Returns a fleet with an empty state, and the state.
pub(crate) fn fleet() -> (Fleet, Shared) {
    let state = Shared::default();
    let [read, scan, commit, get, page] = std::array::from_fn(|_| state.clone());
    let platform = Platform {
        read: Arc::new(move |keys| {
            let state = read.lock().unwrap();
            let rows = keys.iter().map(|key| state.row(key)).collect();
            Box::pin(async { Ok(rows) })
        }),
        scan: Arc::new(move |prefix| {
            let state = scan.lock().unwrap();
            let keys = state.rows.iter().map(|(key, _)| key);
            let rows = keys
                .filter(|k| k.starts_with(&prefix))
                .map(|k| state.row(k))
                .collect();
            Box::pin(async { Ok(rows) })
        }),
        commit: Arc::new(move |c| {
            let result = commit.lock().unwrap().commit(c);
            Box::pin(async { result })
        }),
        put: Arc::new(|_, _| Box::pin(async { Ok(()) })),
        get: Arc::new(move |name| {
            let found = get.lock().unwrap().objects.get(&name).cloned();
            Box::pin(async { Ok(found) })
        }),
        hosts: Arc::new(|| Box::pin(async { Ok(Vec::new()) })),
    };
    let call: poplar_ctl::fleet::AdminCall = Arc::new(move |address, path| {
        let found = page
            .lock()
            .unwrap()
            .pages
            .get(&format!("{address}{path}"))
            .cloned();
        Box::pin(async { found.ok_or_else(|| CtlError::Admin("no connection".into())) })
    });
    let admin = Admin {
        get: call.clone(),
        post: call,
    };
    (Fleet { platform, admin }, state)
}

/// Adds a router with the admin address `admin` that has billed `billed` tokens.
pub(crate) fn add_router(state: &mut State, name: &str, admin: &str, stage: Stage, billed: u64) {
    let row = RouterRow {
        address: format!("{admin}:peer").into(),
        admin: admin.into(),
        centre: "depot-north".into(),
        stage,
    };
    let billing = BillingRow {
        billed: vec![("lighting".into(), billed)],
        ..BillingRow::default()
    };
    state.set(&format!("router/{name}"), &row);
    state.set(&format!("billing/{name}"), &billing);
}

/// Adds a router with the given bills, one batch for each, whose billing row says
/// `billed` tokens. Each batch also records a loss of one token.
pub(crate) fn add_billed_router(state: &mut State, name: &str, bills: &[(&str, u64)], billed: u64) {
    add_router(state, name, name, Stage::Active, 0);
    let mut row = BillingRow::default();
    for (id, tokens) in bills {
        let batch = Batch {
            previous: row.head.clone(),
            bills: vec![bill(id, *tokens)],
            losses: vec![Loss {
                budget: "lighting".into(),
                tokens: 1,
            }],
        };
        row.batches += 1;
        let object = format!("bills/{name}/{:08}-0", row.batches);
        let body = serde_json::to_vec(&batch).unwrap();
        state.objects.insert(object.clone(), body.into());
        row.head = Some(object.into());
    }
    row.billed = vec![("lighting".into(), billed)];
    row.lost = vec![("lighting".into(), bills.len() as u64)];
    state.set(&format!("billing/{name}"), &row);
}

fn bill(id: &str, tokens: u64) -> Bill {
    Bill {
        id: RequestId(id.into()),
        workspace: "lighting".into(),
        class: "fault-note".into(),
        budget: "lighting".into(),
        body_hash: 0,
        prompt: tokens,
        output: 0,
        at_ms: 0,
        first_ms: None,
        finish_ms: 1,
        targets_met: true,
        answer: None,
    }
}

/// Returns a configuration of one class with the target `finish`.
pub(crate) fn config(finish: &str) -> Config {
    let text = format!(
        "[class pole-push]\nkind = service\nserves = poles\nfinish = {finish}\nrepeat = no\n\
         [workspace lighting]\nkey = lamp\n"
    );
    classes::read(File::parse("classes.ini", &text).unwrap()).unwrap()
}
