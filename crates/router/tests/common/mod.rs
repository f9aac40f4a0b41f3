//! An in-memory platform whose calls can be set to fail or to lose their answers.

use std::sync::{Arc, Mutex};

use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_core::sorted::SortedVec;
use serde_json::Value;

/// The configured outcome of a call of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The call takes effect and is answered.
    Succeed,
    /// The call takes effect, but its answer is lost.
    LoseAnswer,
    /// The call takes no effect and reports that.
    Fail,
}

/// The rows and objects, and the outcomes of the next commits and reads.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: SortedVec<String, (u64, Value)>,
    pub(crate) objects: SortedVec<String, bytes::Bytes>,
    pub(crate) version: u64,
    pub(crate) commits: Vec<CallOutcome>,
    pub(crate) reads: Vec<CallOutcome>,
}

impl Store {
    fn row(&self, key: &str) -> Row {
        let found = self.rows.get(key).cloned();
        let (version, value) = found.unwrap_or((0, Value::Null));
        Row {
            key: key.to_owned(),
            version,
            value,
        }
    }

    /// Applies a transaction.
    pub(crate) fn commit(&mut self, commit: Commit) -> Result<u64, Error> {
        let is_current = |c: &poplar_base::platform::Check| self.row(&c.key).version == c.version;
        if !commit.checks.iter().all(is_current) {
            let rows = commit.checks.iter().map(|c| self.row(&c.key));
            return Err(Error::Conflict(rows.collect()));
        }
        self.version += 1;
        for write in commit.writes {
            match write.value {
                Some(value) => self.rows.insert(write.key, (self.version, value)),
                None => self.rows.remove(&write.key),
            };
        }
        Ok(self.version)
    }

    /// Decodes a row as `T`.
    pub(crate) fn decode<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.row(key).decode().expect("a readable row")
    }
}

fn next_outcome(outcomes: &mut Vec<CallOutcome>) -> CallOutcome {
    if outcomes.is_empty() {
        CallOutcome::Succeed
    } else {
        outcomes.remove(0)
    }
}

fn apply<T>(outcome: CallOutcome, effect: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
    match outcome {
        CallOutcome::Succeed => effect(),
        CallOutcome::Fail => Err(Error::Unavailable("configured to fail".to_owned())),
        CallOutcome::LoseAnswer => {
            let _ = effect();
            Err(Error::OutcomeUnknown("configured to fail".to_owned()))
        }
    }
}

/// A platform backed by the store.
pub(crate) fn platform(store: &Arc<Mutex<Store>>) -> Platform {
    let [read, scan, commit, put, get] = std::array::from_fn(|_| store.clone());
    Platform {
        read: Arc::new(move |keys| {
            let mut store = read.lock().unwrap();
            let outcome = next_outcome(&mut store.reads);
            let rows = apply(outcome, || Ok(keys.iter().map(|k| store.row(k)).collect()));
            Box::pin(std::future::ready(rows))
        }),
        scan: Arc::new(move |prefix: String| {
            let store = scan.lock().unwrap();
            let keys = store.rows.iter().map(|(k, _)| k);
            let rows = keys
                .filter(|k| k.starts_with(&prefix))
                .map(|k| store.row(k));
            Box::pin(std::future::ready(Ok(rows.collect())))
        }),
        commit: Arc::new(move |transaction| {
            let mut store = commit.lock().unwrap();
            let outcome = next_outcome(&mut store.commits);
            let done = apply(outcome, || store.commit(transaction));
            Box::pin(std::future::ready(done))
        }),
        put: Arc::new(move |name, body| {
            put.lock().unwrap().objects.insert(name, body);
            Box::pin(std::future::ready(Ok(())))
        }),
        get: Arc::new(move |name: String| {
            let object = get.lock().unwrap().objects.get(&name).cloned();
            Box::pin(std::future::ready(Ok(object)))
        }),
        hosts: Arc::new(|| Box::pin(std::future::ready(Ok(Vec::new())))),
    }
}
