//! A stand-in for the platform's store: rows, transactions and the change feed. In a
//! drill it is away for a moment and comes back from a copy.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{self, Json};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time of a transaction.
const TX_TIME: Duration = Duration::from_millis(3);
/// How far the history of changes reaches back.
const HISTORY: Duration = Duration::from_secs(20);
/// Most rows of an answer.
const MAX_ROWS: usize = 500;

/// Table, part and key.
pub type Key = (String, String, String);

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    at: Instant,
    key: Key,
    value: Option<String>,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
struct Content {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<Change>,
    /// The feed has the changes after this version.
    history_start: u64,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    copy: Option<Content>,
    era: u64,
    away: bool,
    /// Rows that the operator and the servers wrote, which they write again.
    others: BTreeMap<Key, Option<String>>,
    commits: u64,
    conflicts: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Content {
    fn write(&mut self, version: u64, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (version, value.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        let at = Instant::now();
        self.history.push(Change {
            version,
            at,
            key,
            value,
        });
        while self
            .history
            .first()
            .is_some_and(|c| at.duration_since(c.at) > HISTORY)
        {
            self.history_start = self.history.remove(0).version;
        }
    }
}

impl Store {
    /// Starts to serve at an address.
    pub fn open(at: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(at)?;
        let store = Arc::new(Self {
            state: Mutex::new(State {
                era: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = store.clone();
        http::serve(listener, move |head, body, to| {
            serving.handle(head, &body, to)
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes or removes a row as the operator or a server; false if the store is away.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let mut state = self.lock();
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|v| json::base64(v.as_bytes()));
        if state.away {
            return false;
        }
        state.others.insert(key.clone(), value.clone());
        state.content.version += 1;
        let version = state.content.version;
        state.content.write(version, key, value);
        drop(state);
        self.changed.notify_all();
        true
    }

    /// Makes the copy from which the store comes back after a drill.
    pub fn make_copy(&self) {
        let mut state = self.lock();
        state.copy = Some(state.content.clone());
    }

    /// Begins a drill: the store answers nothing.
    pub fn go_away(&self) {
        self.lock().away = true;
        self.changed.notify_all();
    }

    /// Ends a drill: the store has what the copy has. What the operator and the servers
    /// wrote is written again. Returns the newest version before and after.
    pub fn come_back(&self) -> (u64, u64) {
        let mut state = self.lock();
        let before = state.content.version;
        if let Some(copy) = state.copy.take() {
            state.content = copy;
        }
        let after = state.content.version;
        state.era += 1;
        state.away = false;
        for (key, value) in state.others.clone() {
            state.content.version += 1;
            let version = state.content.version;
            state.content.write(version, key, value);
        }
        drop(state);
        self.changed.notify_all();
        (before, after)
    }

    /// The newest version, the transactions done and those that found a conflict.
    pub fn counts(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.content.version, state.commits, state.conflicts)
    }

    /// The value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let state = self.lock();
        let (_, value) = state.content.rows.get(&key)?;
        String::from_utf8(json::from_base64(value)).ok()
    }

    fn handle(&self, head: &Head, body: &[u8], to: &mut TcpStream) -> io::Result<bool> {
        if self.lock().away {
            return Ok(false);
        }
        std::thread::sleep(ANSWER_TIME);
        let target = head.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let answer = match (head.method(), path) {
            ("GET", "/api/rows-get") => Some(self.get(query)),
            ("GET", "/api/rows-feed") => self.feed(query),
            ("POST", "/api/rows-tx") => self.transact(body),
            _ => Some((404, "{}".to_owned())),
        };
        let era = {
            let state = self.lock();
            if state.away {
                return Ok(false);
            }
            state.era.to_string()
        };
        let Some((status, answer)) = answer else {
            return Ok(false);
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", &*era)];
        http::respond(to, status, &headers, answer.as_bytes())?;
        Ok(true)
    }

    fn get(&self, query: &str) -> (u16, String) {
        let field = |name| field(query, name);
        let (table, part) = (field("table"), field("part"));
        let (from, to) = (field("from"), field("to"));
        let limit = field("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.lock();
        let start = (table.clone(), part.clone(), from);
        let rows = state.content.rows.range(start..);
        let rows = rows
            .take_while(|((t, p, k), _)| *t == table && *p == part && (to.is_empty() || *k < to));
        let mut rows: Vec<String> = rows
            .map(|(key, (version, value))| row(key, *version, Some(value), false))
            .take(limit + 1)
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let answer = format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.content.version,
            self.now_ms()
        );
        (200, answer)
    }

    /// The changes of a table; `None` if the store is away.
    fn feed(&self, query: &str) -> Option<(u16, String)> {
        let table = field(query, "table");
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait: u64 = field(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if state.away {
                return None;
            }
            let content = &state.content;
            if after < content.history_start || after > content.version {
                return Some((410, "{}".to_owned()));
            }
            let changes = content.history.iter();
            let changes = changes.filter(|c| c.version > after && c.key.0 == table);
            let rows: Vec<String> = changes
                .map(|c| row(&c.key, c.version, c.value.as_deref(), c.value.is_none()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let answer = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    content.version,
                    self.now_ms()
                );
                return Some((200, answer));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn transact(&self, body: &[u8]) -> Option<(u16, String)> {
        std::thread::sleep(TX_TIME);
        let Some(wire) = json::parse(body) else {
            return Some((400, "{}".to_owned()));
        };
        let key = |entry: &Json| -> Key {
            (
                entry.get("table").text().to_owned(),
                entry.get("part").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let changes = wire
            .get("put")
            .list()
            .iter()
            .chain(wire.get("remove").list());
        if changes
            .clone()
            .any(|c| ["op", "servers"].contains(&c.get("table").text()))
        {
            return Some((403, "{}".to_owned()));
        }
        let mut state = self.lock();
        if state.away {
            return None;
        }
        let expected = wire.get("expected_rev").list();
        let holds = |entry: &Json| {
            let found = state.content.rows.get(&key(entry)).map_or(0, |(v, _)| *v);
            found == entry.get("ver").number()
        };
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|entry| {
                let key = key(entry);
                let (version, value) = state.content.rows.get(&key)?;
                Some(row(&key, *version, Some(value), false))
            });
            let found: Vec<String> = found.collect();
            let answer = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                found.join(","),
                state.content.version,
                self.now_ms()
            );
            state.conflicts += 1;
            return Some((412, answer));
        }
        state.commits += 1;
        state.content.version += 1;
        let version = state.content.version;
        for put in wire.get("put").list() {
            let value = put.get("value").text().to_owned();
            state.content.write(version, key(put), Some(value));
        }
        for removed in wire.get("remove").list() {
            state.content.write(version, key(removed), None);
        }
        drop(state);
        self.changed.notify_all();
        let now = self.now_ms();
        Some((200, format!("{{\"ver\":{version},\"now_ms\":{now}}}")))
    }
}

fn row((table, part, key): &Key, version: u64, value: Option<&str>, deleted: bool) -> String {
    let value = value.map_or(String::new(), |v| format!(",\"value\":\"{v}\""));
    let deleted = if deleted { ",\"deleted\":true" } else { "" };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{}{value},\"ver\":{version}{deleted}}}",
        json::quote(table),
        json::quote(part),
        json::quote(key)
    )
}

/// A field of a query, decoded.
fn field(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v);
    let mut out = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}
