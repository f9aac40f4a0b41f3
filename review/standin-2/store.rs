//! A stand-in for the platform's store: rows, transactions and the change feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Json, number, object, text};

/// Time of a transaction and of a read.
const TRANSACTION: Duration = Duration::from_millis(3);
const READ: Duration = Duration::from_millis(1);
/// How long the feed has changes.
const HISTORY: Duration = Duration::from_secs(20);
/// Most rows in one answer.
const PAGE: usize = 500;

type Key = (String, String, String);

#[derive(Debug, Clone, Default)]
struct Tables {
    rows: BTreeMap<Key, (u64, String)>,
    version: u64,
    /// Changes with their versions and times; `None` if the row was removed.
    history: Vec<(u64, Instant, Key, Option<String>)>,
    /// The feed has the changes after this version.
    history_start: u64,
}

impl Tables {
    fn put(&mut self, key: Key, value: String) {
        self.rows.insert(key.clone(), (self.version, value.clone()));
        let change = (self.version, Instant::now(), key, Some(value));
        self.history.push(change);
    }

    fn remove(&mut self, key: Key) {
        self.rows.remove(&key);
        self.history.push((self.version, Instant::now(), key, None));
    }

    fn forget(&mut self) {
        let is_old = |(_, at, ..): &(u64, Instant, Key, Option<String>)| at.elapsed() > HISTORY;
        while self.history.first().is_some_and(is_old) {
            self.history_start = self.history.remove(0).0;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    tables: Tables,
}

/// The stand-in.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
    pub address: SocketAddr,
}

fn key_of(value: &Json) -> Key {
    let part = |name: &str| value.get(name).text().to_owned();
    (part("table"), part("part"), part("key"))
}

fn row(key: &Key, version: u64, value: Option<&str>) -> Json {
    object(vec![
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("value", value.map_or(Json::Null, text)),
        ("ver", number(version as f64)),
    ])
}

impl Store {
    /// Starts to serve on a free port.
    pub fn open() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            address: listener.local_addr()?,
        });
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            served.handle(request, stream)
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Writes a row as the operator or a server does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &Json) -> u64 {
        let mut state = self.lock();
        state.tables.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = json::base64(value.to_string().as_bytes());
        state.tables.put(key, value);
        self.changed.notify_all();
        state.tables.version
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let answered = match request.path() {
            "/api/rows-get" => {
                thread::sleep(READ);
                Some(self.read(request))
            }
            "/api/rows-feed" => self.feed(request),
            "/api/rows-tx" => {
                thread::sleep(TRANSACTION);
                self.transact(request)
            }
            _ => Some((404, object(vec![]))),
        };
        let Some((status, answer)) = answered else {
            return Ok(false);
        };
        let headers = [("content-type", "application/json".to_owned())];
        http::answer(stream, status, &headers, answer.to_string().as_bytes())?;
        Ok(true)
    }

    fn finish(&self, rows: Vec<Json>, has_more: bool, version: u64) -> Json {
        object(vec![
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(has_more)),
            ("ver", number(version as f64)),
            ("now_ms", number(self.began.elapsed().as_millis() as f64)),
        ])
    }

    fn read(&self, request: &Request) -> (u16, Json) {
        let state = self.lock();
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("limit").parse().unwrap_or(PAGE).min(PAGE);
        let is_asked = |(key, _): &(&Key, &(u64, String))| {
            let is_in = key.0 == table && key.1 == part;
            is_in && key.2 >= from && (to.is_empty() || key.2 < to)
        };
        let rows = state.tables.rows.iter().filter(is_asked);
        let rows = rows.map(|(key, (version, value))| row(key, *version, Some(value)));
        let mut rows: Vec<Json> = rows.collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (200, self.finish(rows, has_more, state.tables.version))
    }

    fn feed(&self, request: &Request) -> Option<(u16, Json)> {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            state.tables.forget();
            let tables = &state.tables;
            if after < tables.history_start || after > tables.version {
                return Some((410, object(vec![])));
            }
            let changes = tables.history.iter();
            let changes = changes.filter(|(version, _, key, _)| *version > after && key.0 == table);
            let rows = changes.map(|(version, _, key, value)| {
                let mut row = row(key, *version, value.as_deref());
                if let Json::Object(fields) = &mut row {
                    fields.push(("deleted".to_owned(), Json::Bool(value.is_none())));
                }
                row
            });
            let rows: Vec<Json> = rows.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Some((200, self.finish(rows, false, tables.version)));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no panic").0;
        }
    }

    fn transact(&self, request: &Request) -> Option<(u16, Json)> {
        let wire = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
        let mut state = self.lock();
        let tables = &mut state.tables;
        let checks = wire.get("expected_rev").list();
        let version_of = |tables: &Tables, key: &Key| tables.rows.get(key).map_or(0, |row| row.0);
        let holds =
            |check: &Json| version_of(tables, &key_of(check)) as f64 == check.get("ver").number();
        if !checks.iter().all(holds) {
            let found = checks.iter().map(key_of);
            let found = found.filter_map(|key| {
                let (version, value) = tables.rows.get(&key)?;
                Some(row(&key, *version, Some(value)))
            });
            let rows: Vec<Json> = found.collect();
            return Some((412, self.finish(rows, false, tables.version)));
        }
        tables.version += 1;
        for put in wire.get("put").list() {
            tables.put(key_of(put), put.get("value").text().to_owned());
        }
        for removed in wire.get("remove").list() {
            tables.remove(key_of(removed));
        }
        let answer = self.finish(Vec::new(), false, tables.version);
        self.changed.notify_all();
        Some((200, answer))
    }
}
