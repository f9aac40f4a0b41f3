//! Clients that send requests until the load is dropped, and the configuration.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::Answer;
use crate::site::{Query, Site};

/// A request with its answer.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub attempt: String,
    pub key: String,
    pub path: &'static str,
    pub router: Ipv4Addr,
    pub tokens: Option<(u64, u64)>,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: Answer,
}

/// All outcomes of a case.
pub type Outcomes = Arc<Mutex<Vec<Outcome>>>;

/// Clients that send the same kind of request.
#[derive(Debug)]
pub struct Load {
    ended: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

/// Sends a request, and adds its outcome.
pub fn ask(site: &Site, query: Query<'static>, outcomes: &Outcomes) {
    let router = site.fleet.next();
    let sent = Instant::now();
    let (attempt, answer) = site.ask_at(&router, query);
    let outcome = Outcome {
        attempt,
        key: query.key.to_owned(),
        path: query.path,
        router: router.ip,
        ended: Instant::now(),
        tokens: query.tokens,
        sent,
        answer,
    };
    outcomes
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(outcome);
}

impl Load {
    /// Starts so many clients, each of which sends a request every `period`.
    pub fn start(
        site: &Arc<Site>,
        clients: u64,
        period: Duration,
        query: Query<'static>,
        outcomes: &Outcomes,
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let begun = AtomicU64::new(0);
        let sender = |_| {
            let (site, ended, outcomes) = (site.clone(), ended.clone(), outcomes.clone());
            let n = begun.fetch_add(1, Ordering::AcqRel) as u32;
            let phase = period * n / clients.max(1) as u32;
            std::thread::spawn(move || {
                let mut next = Instant::now() + phase;
                while !ended.load(Ordering::Acquire) {
                    let wait = next.saturating_duration_since(Instant::now());
                    std::thread::sleep(wait.min(Duration::from_millis(50)));
                    if Instant::now() >= next {
                        ask(&site, query, &outcomes);
                        next = Instant::now().max(next + period);
                    }
                }
            })
        };
        let senders = (0..clients).map(sender).collect();
        Self { ended, senders }
    }

    /// Ends the clients after their open requests.
    pub fn stop(mut self) {
        self.ended.store(true, Ordering::Release);
        for sender in self.senders.drain(..) {
            let _ = sender.join();
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
    }
}

/// A tenant of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Tenant {
    pub name: &'static str,
    pub keys: &'static [&'static str],
    pub prepaid: u64,
}

/// A configuration with a route for streams, one for reads by the service `reader`, and
/// one for changes.
pub fn configuration(version: u64, reader: &str, tenants: &[Tenant]) -> String {
    let route = |name: &str, kind: &str, timeout: u32, target: u32, service: &str, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\
             \"priority\":1,\"service\":\"{service}\",\"allow_anonymous\":false,{more}}}",
            crate::site::HOST
        )
    };
    let stream = "\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":500";
    let resumable = "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":500";
    let routes = [
        route("plan", "streaming", 8000, 800, "engines", stream),
        route("review", "streaming", 6000, 800, "engines", resumable),
        route("read", "safe", 800, 300, reader, "\"max_attempts\":2"),
        route("push", "unsafe", 800, 300, "plain-a", "\"max_attempts\":1"),
    ];
    let plain = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let engines = format!(
        "{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":446388,\
         \"kv_token_bytes\":327680,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\
         \"stride\":{},\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}",
        crate::engine::STRIDE
    );
    let tenants: Vec<String> = tenants
        .iter()
        .map(|t| {
            format!(
                "{{\"name\":\"{}\",\"api_keys\":[{}],\"priority\":1,\"prepaid\":{}}}",
                t.name,
                t.keys
                    .iter()
                    .map(|k| format!("\"{k}\""))
                    .collect::<Vec<_>>()
                    .join(","),
                t.prepaid
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{engines},{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        plain("plain-a"),
        plain("plain-b"),
        tenants.join(",")
    )
}
