//! A stand-in for the platform's store: rows, transactions and the change feed.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64};

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(3);

/// Table, part and key.
type Key = (String, String, String);

#[derive(Debug, Default)]
struct Tables {
    rows: BTreeMap<Key, (u64, String)>,
    version: u64,
    /// Every change; `None` where a row was removed.
    history: Vec<(u64, Key, Option<String>)>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    /// Its address.
    pub address: SocketAddr,
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"")
}

fn row_json(key: &Key, version: u64, value: Option<&str>) -> String {
    let (table, part, key) = key;
    let (table, part, key) = (escape(table), escape(part), escape(key));
    let tail = match value {
        Some(value) => format!("\"value\":\"{value}\",\"ver\":{version}"),
        None => format!("\"deleted\":true,\"ver\":{version}"),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{tail}}}")
}

fn key_of(wire: &Json) -> Key {
    let text = |name| wire.field(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

impl Store {
    /// Starts the store at a free port of `ip`.
    pub fn open(ip: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let store = Arc::new(Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr()?,
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn now_ms(&self) -> u64 {
        50_000 + self.started.elapsed().as_millis() as u64
    }

    /// Writes a row of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let version = tables.version;
        let key: Key = (table.into(), String::new(), key.into());
        let value = base64(value.as_bytes());
        tables.rows.insert(key.clone(), (version, value.clone()));
        tables.history.push((version, key, Some(value)));
        drop(tables);
        self.changed.notify_all();
    }

    /// Removes such a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut tables = self.tables.lock().unwrap();
        let key: Key = (table.into(), String::new(), key.into());
        if tables.rows.remove(&key).is_some() {
            tables.version += 1;
            let version = tables.version;
            tables.history.push((version, key, None));
        }
        drop(tables);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if http::write_answer(&mut to, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.path() {
            "/api/rows-tx" => self.transact(&request.body),
            "/api/rows-get" => self.get(request),
            "/api/rows-feed" => self.feed(request),
            _ => (404, "{}".into()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(wire) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".into());
        };
        thread::sleep(TX_TIME);
        let mut tables = self.tables.lock().unwrap();
        let checks = wire.field("expected_rev").list();
        let version_of = |key: &Key| tables.rows.get(key).map_or(0, |(version, _)| *version);
        let holds = |check: &Json| version_of(&key_of(check)) == check.field("ver").number();
        if !checks.iter().all(holds) {
            let rows = checks.iter().filter_map(|check| {
                let key = key_of(check);
                let (version, value) = tables.rows.get(&key)?;
                Some(row_json(&key, *version, Some(value)))
            });
            let rows: Vec<String> = rows.collect();
            let tail = format!("\"ver\":{},\"now_ms\":{}", tables.version, self.now_ms());
            return (412, format!("{{\"rows\":[{}],{tail}}}", rows.join(",")));
        }
        let is_foreign = |row: &Json| ["op", "servers"].contains(&row.field("table").text());
        let (puts, removes) = (wire.field("put").list(), wire.field("remove").list());
        if puts.iter().chain(removes).any(is_foreign) {
            return (403, "{}".into());
        }
        tables.version += 1;
        let version = tables.version;
        for put in puts {
            let (key, value) = (key_of(put), put.field("value").text().to_owned());
            tables.rows.insert(key.clone(), (version, value.clone()));
            tables.history.push((version, key, Some(value)));
        }
        for key in removes.iter().map(key_of) {
            tables.rows.remove(&key);
            tables.history.push((version, key, None));
        }
        drop(tables);
        self.changed.notify_all();
        let now = self.now_ms();
        (200, format!("{{\"ver\":{version},\"now_ms\":{now}}}"))
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit: usize = request.query("limit").parse().unwrap_or(500);
        let tables = self.tables.lock().unwrap();
        let in_range = |key: &Key| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        };
        let found: Vec<_> = tables.rows.iter().filter(|(k, _)| in_range(k)).collect();
        let rows = found.iter().take(limit);
        let rows: Vec<String> = rows
            .map(|(k, (ver, v))| row_json(k, *ver, Some(v)))
            .collect();
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{},\"ver\":{},\"now_ms\":{}}}",
            rows.join(","),
            found.len() > limit,
            tables.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut tables = self.tables.lock().unwrap();
        loop {
            let changes = tables.history.iter();
            let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<String> = changes
                .map(|(version, key, value)| row_json(key, *version, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    tables.version,
                    self.now_ms()
                );
                return (200, body);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }
}
