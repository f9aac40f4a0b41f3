//! Follows the configuration and the list of backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_platform::configuration;
use poplar_platform::mirror::Mirror;
use poplar_platform::rows::Place;
use poplar_platform::servers;
use poplar_platform::store::{OPERATOR, SERVERS};

use crate::relay::state::Relay;

/// Shortest time between two looks at a table: changes come in series.
const PERIOD: Duration = Duration::from_millis(100);
/// Time until the next look after one that failed: a change has two seconds to
/// be in force, and two calls may fail on the way.
const RETRY: Duration = Duration::from_millis(400);
/// How long the feed waits for a change before it answers without one, so that
/// a longer silence is a lost store. A store that is lost is not asked to wait:
/// how soon its return is seen counts for servers that leave soon after it.
const WAIT: Duration = Duration::from_millis(600);
/// How long a look may take beside that; a connection that fell silent is left then.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Follows the configuration until the process ends.
pub async fn configuration(relay: Arc<Relay>) {
    let mut contact = Contact::new("configuration", OPERATOR);
    let mut seen = 0;
    loop {
        if contact.next(&relay).await {
            let mut rows = contact.mirror.rows();
            let row = rows.find(|row| *row.key == *configuration::KEY);
            if let Some(row) = row.filter(|row| row.version != seen) {
                seen = row.version;
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
        tokio::time::sleep(contact.pause()).await;
    }
}

/// Follows the list of backend servers until the process ends.
pub async fn list(relay: Arc<Relay>) {
    let mut contact = Contact::new("servers", SERVERS);
    let mut unreadable: Vec<(String, u64)> = Vec::new();
    loop {
        if contact.next(&relay).await {
            let mut known: Vec<Server> = Vec::new();
            let mut bad = Vec::new();
            for row in contact.mirror.rows() {
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
            let version = contact.mirror.version();
            relay.fleet.read(known, version, Instant::now());
        }
        tokio::time::sleep(contact.pause()).await;
    }
}

/// A table that is followed; whether it answers is logged where that changes.
struct Contact {
    what: &'static str,
    mirror: Mirror,
    lost: bool,
}

impl Contact {
    fn new(what: &'static str, place: Place) -> Self {
        Self {
            what,
            mirror: Mirror::new(place),
            lost: false,
        }
    }

    fn pause(&self) -> Duration {
        if self.lost { RETRY } else { PERIOD }
    }

    /// Brings the copy up to date; returns whether the store answered.
    async fn next(&mut self, relay: &Relay) -> bool {
        let wait = if self.lost { Duration::ZERO } else { WAIT };
        match self.mirror.next(&relay.store, wait, TIMEOUT).await {
            Ok(()) => {
                if std::mem::take(&mut self.lost) {
                    log::info("store regained").with("table", self.what).write();
                }
                true
            }
            Err(why) => {
                if !std::mem::replace(&mut self.lost, true) {
                    log::warn("store lost")
                        .with("table", self.what)
                        .reason(why)
                        .write();
                }
                false
            }
        }
    }
}
