//! Follows the configuration and the list of backend servers in the store.

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

/// Pause between two updates of a table, since changes come in bursts.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after an update that failed. A change must be in force within two
/// seconds, in which two calls may fail.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// How long the change feed waits for a change before it answers without one,
/// so that a longer silence means that the store can't be reached. A store that
/// could not be reached is asked to answer at once instead, so that its return is
/// noticed early: servers may leave soon after it.
const FEED_WAIT: Duration = Duration::from_millis(600);
/// Time-out of an update beyond [`FEED_WAIT`]. It also ends the wait on a
/// connection that no longer delivers data.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Follows the configuration until the process ends.
pub async fn configuration(relay: Arc<Relay>) {
    let mut watch = TableWatch::new("configuration", OPERATOR_TABLE);
    let mut applied_version = 0;
    loop {
        if watch.update(&relay).await {
            let mut rows = watch.mirror.rows();
            let row = rows.find(|row| *row.key == *configuration::KEY);
            if let Some(row) = row.filter(|row| row.version != applied_version) {
                applied_version = row.version;
                match configuration::parse(&row.value) {
                    Ok(deployment) => {
                        let version = deployment.version;
                        if relay.apply(deployment) {
                            log::info("configuration in force")
                                .with("version", version)
                                .with("row", row.version)
                                .write();
                        }
                    }
                    Err(why) => log::error("configuration invalid")
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
    let mut logged: Vec<(String, u64)> = Vec::new();
    loop {
        if watch.update(&relay).await {
            let mut listed: Vec<Server> = Vec::new();
            let mut invalid = Vec::new();
            for row in watch.mirror.rows() {
                match servers::parse(row) {
                    Ok(server) => listed.push(server),
                    Err(why) => {
                        let entry = (row.key.to_string(), row.version);
                        if !logged.contains(&entry) {
                            log::warn("server entry invalid")
                                .with("key", &row.key)
                                .with("row", row.version)
                                .reason(why)
                                .write();
                        }
                        invalid.push(entry);
                    }
                }
            }
            logged = invalid;
            let version = watch.mirror.version();
            relay.servers.update(listed, version, Instant::now());
        }
        tokio::time::sleep(watch.pause()).await;
    }
}

/// A table that is followed. Logs when the store can no longer be reached, and
/// when it can be again.
struct TableWatch {
    name: &'static str,
    mirror: Mirror,
    lost: bool,
}

impl TableWatch {
    fn new(name: &'static str, partition: Partition) -> Self {
        Self {
            name,
            mirror: Mirror::new(partition),
            lost: false,
        }
    }

    fn pause(&self) -> Duration {
        if self.lost {
            RETRY_INTERVAL
        } else {
            UPDATE_INTERVAL
        }
    }

    /// Brings the local copy up to date; false if the store did not answer.
    async fn update(&mut self, relay: &Relay) -> bool {
        let wait = if self.lost { Duration::ZERO } else { FEED_WAIT };
        match self.mirror.update(&relay.store, wait, TIMEOUT).await {
            Ok(()) => {
                if std::mem::take(&mut self.lost) {
                    log::info("store regained").with("table", self.name).write();
                }
                true
            }
            Err(why) => {
                if !std::mem::replace(&mut self.lost, true) {
                    log::warn("store lost")
                        .with("table", self.name)
                        .reason(why)
                        .write();
                }
                false
            }
        }
    }
}
