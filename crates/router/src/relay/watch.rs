//! Follows the configuration, the evacuated data centres, the list of backend servers, the reports of crashes
//! and the limits of servers in the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_base::log;
use poplar_core::deployment::{Deployment, Server};
use poplar_core::id::Name;
use poplar_core::sorted::SortedVec;
use poplar_platform::configuration;
use poplar_platform::mirror::Mirror;
use poplar_platform::rows::{Partition, Row};
use poplar_platform::servers;
use poplar_platform::store::{OPERATOR_TABLE, SERVERS_TABLE};

use crate::relay::crashes;
use crate::relay::limits as server_limits;
use crate::relay::state::{LastRead, Relay, format_age};

/// Pause between two updates of a table, since changes come in bursts.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two updates of the list of servers, as a part of the time for which a
/// server that leaves still serves. Its rows change all the time, so that each update
/// returns at once.
const LIST_AGE: f64 = 0.1;
/// Pause after an update that failed, as a part of the time within which a change must
/// be in force or a server that leaves still serves. Two calls may fail in it.
const RETRY_PART: f64 = 0.2;
/// How long the change feed waits for a change before it answers without one, as a
/// part of that time, so that a longer silence means that the store can't be reached.
/// A store that could not be reached is asked to answer at once instead, so that its
/// return is noticed early: servers may leave soon after it.
const FEED_PART: f64 = 0.3;
/// How long the feed of the reports of crashes waits, which mostly arrive by datagram
/// before.
const REPORT_FEED_WAIT: Duration = Duration::from_secs(2);
/// The same for the limits of servers, which are rare.
const LIMIT_FEED_WAIT: Duration = Duration::from_secs(4);
/// Longest silence of the store during an update, beyond that wait. An
/// answer that keeps arriving is read to its end.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Follows the configuration and the evacuated data centres until the process ends.
pub async fn configuration(relay: Arc<Relay>) {
    let settings = &relay.settings;
    let evacuation_time = settings.evacuation_time.unwrap_or(settings.apply_time);
    let time = settings.apply_time.min(evacuation_time);
    let mut watch = TableWatch::within("configuration", OPERATOR_TABLE, time);
    let mut applied_version = 0;
    loop {
        let requested = Instant::now();
        if watch.update(&relay, &relay.configuration_read).await {
            // A router with a configuration serves, so that this comes first.
            relay.servers.set_evacuated(
                evacuated_centres(&watch.mirror),
                watch.mirror.version(),
                Instant::now(),
            );
            let mut rows = watch.mirror.rows();
            let row = rows.find(|row| *row.key == *configuration::KEY);
            if let Some(row) = row.filter(|row| row.version != applied_version) {
                applied_version = row.version;
                match configuration::parse(&row.value) {
                    Ok(deployment) => {
                        let version = deployment.version;
                        set_cold_limits(&relay, &deployment);
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
            relay.configuration_read.record(requested);
        }
        tokio::time::sleep(watch.pause()).await;
    }
}

/// Sets what cold servers take by a configuration, unless it is older than the one in
/// force. A router with a configuration serves, so that this comes first.
fn set_cold_limits(relay: &Relay, deployment: &Deployment) {
    let current = relay.deployment();
    if current.is_some_and(|current| deployment.version <= current.version) {
        return;
    }
    let services = deployment.services.iter();
    let limits = services.filter_map(|(name, service)| Some((name.clone(), service.cold?)));
    relay.servers.set_cold_limits(limits, Instant::now());
}

/// The data centres whose evacuation the operator asks for, and the versions of the rows.
fn evacuated_centres(mirror: &Mirror) -> SortedVec<Name, u64> {
    let centre = |row: &Row| {
        let centre = configuration::evacuated_centre(&row.key)?;
        Some((Name::from(centre), row.version))
    };
    mirror.rows().filter_map(centre).collect()
}

/// Follows the list of backend servers until the process ends.
pub async fn server_list(relay: Arc<Relay>) {
    let mut watch = TableWatch::within("servers", SERVERS_TABLE, relay.settings.drain_time);
    let mut logged: Vec<(String, u64)> = Vec::new();
    loop {
        let requested = Instant::now();
        if watch.update(&relay, &relay.server_list_read).await {
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
            let now = Instant::now();
            for (server, listing) in relay.servers.update(listed, version, now) {
                relay.crashes.check_listing(&server, listing, now);
            }
            relay.servers.set_clock(watch.mirror.clock_ms(), now);
            relay.streams.set_listed(relay.servers.software_versions());
            relay.server_list_read.record(requested);
        } else {
            relay.servers.record_failed_read();
            relay.streams.record_list_lost();
        }
        let pause = relay.settings.drain_time.mul_f64(LIST_AGE);
        tokio::time::sleep(watch.pause().max(pause)).await;
    }
}

/// Follows the reports of crashes until the process ends.
pub async fn crash_reports(relay: Arc<Relay>) {
    let mut watch = TableWatch::new("crashes", crashes::table::PARTITION, REPORT_FEED_WAIT);
    loop {
        let requested = Instant::now();
        if watch.update(&relay, &relay.crash_reports_read).await {
            let clock = watch.mirror.clock_ms();
            relay
                .crashes
                .merge_rows(watch.mirror.rows(), clock, Instant::now());
            relay.crash_reports_read.record(requested);
        }
        tokio::time::sleep(watch.pause()).await;
    }
}

/// Follows the limits of servers until the process ends.
pub async fn limits(relay: Arc<Relay>) {
    let mut watch = TableWatch::new("limits", server_limits::PARTITION, LIMIT_FEED_WAIT);
    loop {
        let requested = Instant::now();
        if watch.update(&relay, &relay.limits_read).await {
            let (clock, now) = (watch.mirror.clock_ms(), Instant::now());
            let expired = server_limits::merge_rows(&relay, watch.mirror.rows(), clock, now);
            relay.limits_read.record(requested);
            if !expired.is_empty() {
                server_limits::remove_rows(&relay, expired).await;
            }
        }
        tokio::time::sleep(watch.pause()).await;
    }
}

/// A table that is followed. Logs when the store can no longer be reached,
/// each further failure, and when it can be reached again.
struct TableWatch {
    name: &'static str,
    mirror: Mirror,
    /// How long the change feed waits for a change.
    feed_wait: Duration,
    /// Pause after an update that failed.
    retry_pause: Duration,
    /// When the first of the failures in a row was noticed, and their number.
    lost: Option<(Instant, u32)>,
}

impl TableWatch {
    /// Follows a table whose feed waits this long.
    fn new(name: &'static str, partition: Partition, feed_wait: Duration) -> Self {
        Self {
            name,
            mirror: Mirror::new(partition),
            feed_wait,
            retry_pause: feed_wait / 2,
            lost: None,
        }
    }

    /// Follows a table whose changes have to be known within `time`.
    fn within(name: &'static str, partition: Partition, time: Duration) -> Self {
        Self {
            retry_pause: time.mul_f64(RETRY_PART),
            ..Self::new(name, partition, time.mul_f64(FEED_PART))
        }
    }

    fn pause(&self) -> Duration {
        if self.lost.is_some() {
            self.retry_pause
        } else {
            UPDATE_INTERVAL
        }
    }

    /// Brings the local copy up to date; false if the store did not answer.
    async fn update(&mut self, relay: &Relay, last_read: &LastRead) -> bool {
        let wait = if self.lost.is_some() {
            Duration::ZERO
        } else {
            self.feed_wait
        };
        let result = self.mirror.update(&relay.store, wait, TIMEOUT).await;
        let now = Instant::now();
        match result {
            Ok(update) => {
                let kind = if update.full { "full" } else { "changes" };
                self.count(kind);
                metrics::counter!("poplar_table_read_bytes_total", "table" => self.name)
                    .increment(update.bytes as u64);
                if let Some((since, failures)) = self.lost.take() {
                    log::info("store regained")
                        .with("table", self.name)
                        .with("for_ms", now.duration_since(since).as_millis())
                        .with("failures", failures)
                        .with("read", kind)
                        .with("bytes", update.bytes)
                        .write();
                    relay.budgets.record_store_regained();
                }
                true
            }
            Err(why) => {
                self.count("failed");
                let (since, failures) = self.lost.unwrap_or((now, 0));
                let event = if failures == 0 {
                    log::warn("store lost")
                } else {
                    log::warn("table read failed")
                };
                event
                    .with("table", self.name)
                    .with("failures", failures + 1)
                    .with("age_ms", format_age(last_read.age(now)))
                    .reason(why)
                    .write();
                self.lost = Some((since, failures + 1));
                false
            }
        }
    }

    fn count(&self, result: &'static str) {
        metrics::counter!("poplar_table_reads_total", "table" => self.name, "result" => result)
            .increment(1);
    }
}
