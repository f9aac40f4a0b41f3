//! Follows the configuration and the list of backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_platform::configuration;
use poplar_platform::mirror::Mirror;
use poplar_platform::rows::Partition;
use poplar_platform::servers;
use poplar_platform::store::{OPERATOR_TABLE, SERVERS_TABLE};

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
    let mut watch = TableWatch::new("configuration", OPERATOR_TABLE);
    let mut seen = 0;
    loop {
        if watch.update(&relay).await {
            let mut rows = watch.mirror.rows();
            let row = rows.find(|row| *row.key == *configuration::KEY);
            if let Some(row) = row.filter(|row| row.version != seen) {
                seen = row.version;
                match configuration::parse(&row.value) {
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
        tokio::time::sleep(watch.pause()).await;
    }
}

/// Follows the list of backend servers until the process ends.
pub async fn server_list(relay: Arc<Relay>) {
    let mut watch = TableWatch::new("servers", SERVERS_TABLE);
    let mut unreadable: Vec<(String, u64)> = Vec::new();
    loop {
        if watch.update(&relay).await {
            let mut known: Vec<Server> = Vec::new();
            let mut bad = Vec::new();
            for row in watch.mirror.rows() {
                match servers::parse(row) {
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
            let version = watch.mirror.version();
            relay.servers.update(known, version, Instant::now());
        }
        tokio::time::sleep(watch.pause()).await;
    }
}

/// A table that is followed; whether it answers is logged where that changes.
struct TableWatch {
    what: &'static str,
    mirror: Mirror,
    lost: bool,
}

impl TableWatch {
    fn new(what: &'static str, partition: Partition) -> Self {
        Self {
            what,
            mirror: Mirror::new(partition),
            lost: false,
        }
    }

    fn pause(&self) -> Duration {
        if self.lost { RETRY } else { PERIOD }
    }

    /// Brings the copy up to date; returns whether the store answered.
    async fn update(&mut self, relay: &Relay) -> bool {
        let wait = if self.lost { Duration::ZERO } else { WAIT };
        match self.mirror.update(&relay.store, wait, TIMEOUT).await {
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
