//! Follows the configuration and the list of backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::site::Server;
use poplar_platform::configuration;
use poplar_platform::rows::{Place, Rows};
use poplar_platform::servers;
use poplar_platform::store::{Error, OPERATOR, SERVERS};

use crate::relay::state::Relay;

/// How often each table is read: a change has two seconds to be in force, and
/// two calls may fail on the way.
const PERIOD: Duration = Duration::from_millis(400);
/// How long a read may take; a connection that fell silent is left then.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Follows the configuration until the process ends.
pub async fn configuration(relay: Arc<Relay>) {
    let mut contact = Contact::new("configuration");
    loop {
        if let Some(rows) = contact.read(&relay, OPERATOR).await {
            let row = rows.rows.iter().find(|row| *row.key == *configuration::KEY);
            if let Some(row) = row {
                match configuration::read(&row.value) {
                    Ok(site) => {
                        let version = site.version;
                        if relay.apply(site) {
                            log::info("configuration in force")
                                .with("version", version)
                                .with("row", row.version)
                                .write();
                        }
                    }
                    Err(why) => log::error("configuration unreadable")
                        .with("row", row.version)
                        .reason(why)
                        .write(),
                }
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Follows the list of backend servers until the process ends.
pub async fn list(relay: Arc<Relay>) {
    let mut contact = Contact::new("servers");
    let mut unreadable: Vec<(String, u64)> = Vec::new();
    loop {
        if let Some(rows) = contact.read(&relay, SERVERS).await {
            let mut known: Vec<Server> = Vec::with_capacity(rows.rows.len());
            let mut bad = Vec::new();
            for row in &rows.rows {
                match servers::read(row) {
                    Ok(server) => known.push(server),
                    Err(why) => {
                        let entry = (row.key.to_string(), row.version);
                        if !unreadable.contains(&entry) {
                            log::warn("server entry unreadable")
                                .with("key", &row.key)
                                .with("row", row.version)
                                .reason(why)
                                .write();
                        }
                        bad.push(entry);
                    }
                }
            }
            unreadable = bad;
            relay.fleet.read(known, rows.version, Instant::now());
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Whether a table answers, logged where it changes.
struct Contact {
    what: &'static str,
    lost: bool,
}

impl Contact {
    fn new(what: &'static str) -> Self {
        Self { what, lost: false }
    }

    async fn read(&mut self, relay: &Relay, place: Place) -> Option<Rows> {
        let read: Result<Rows, Error> = relay.store.read(place, "", "", TIMEOUT).await;
        match read {
            Ok(rows) => {
                if std::mem::take(&mut self.lost) {
                    log::info("store regained").with("table", self.what).write();
                }
                Some(rows)
            }
            Err(why) => {
                if !std::mem::replace(&mut self.lost, true) {
                    log::warn("store lost")
                        .with("table", self.what)
                        .reason(why)
                        .write();
                }
                None
            }
        }
    }
}
