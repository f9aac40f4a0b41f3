//! A platform in memory that loses answers as it is told to.

use std::sync::{Arc, Mutex};

use poplar_base::platform::{Commit, Error, Platform, Row};
use poplar_core::sorted::SortedVec;
use serde_json::Value;

/// What a call of the platform does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It takes effect and is answered.
    Answer,
    /// It takes effect, and the answer is lost.
    Lose,
    /// It takes no effect, and that is said.
    Refuse,
}

/// Rows and objects, and the fates of the next calls.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: SortedVec<String, (u64, Value)>,
    pub(crate) objects: SortedVec<String, bytes::Bytes>,
    pub(crate) version: u64,
    pub(crate) commits: Vec<Fate>,
    pub(crate) reads: Vec<Fate>,
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

    /// Carries a transaction out.
    pub(crate) fn commit(&mut self, commit: Commit) -> Result<u64, Error> {
        let holds = |c: &poplar_base::platform::Check| self.row(&c.key).version == c.version;
        if !commit.checks.iter().all(holds) {
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

    /// Reads a row as `T`.
    pub(crate) fn decode<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.row(key).decode().expect("a readable row")
    }
}

fn next(fates: &mut Vec<Fate>) -> Fate {
    if fates.is_empty() {
        Fate::Answer
    } else {
        fates.remove(0)
    }
}

fn lost<T>(fate: Fate, effect: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
    match fate {
        Fate::Answer => effect(),
        Fate::Refuse => Err(Error::Down("told to".to_owned())),
        Fate::Lose => {
            let _ = effect();
            Err(Error::Unknown("told to".to_owned()))
        }
    }
}

/// The store as a platform.
pub(crate) fn platform(store: &Arc<Mutex<Store>>) -> Platform {
    let [read, scan, commit, put, get] = std::array::from_fn(|_| store.clone());
    Platform {
        read: Arc::new(move |keys| {
            let mut store = read.lock().unwrap();
            let fate = next(&mut store.reads);
            let rows = lost(fate, || Ok(keys.iter().map(|k| store.row(k)).collect()));
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
            let fate = next(&mut store.commits);
            let done = lost(fate, || store.commit(transaction));
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
