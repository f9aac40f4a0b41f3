//! Servers that fall silent for a second or so and go on, behind several routers, each
//! a process of its own. An answer that a server has accepted does not end because of
//! the silence alone.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};

use crate::PREPAID;
use crate::site::caller::{Seen, connect, is_stream, wait_until};
use crate::site::configuration;
use crate::site::process::{Router, start_routers};
use crate::site::silent::{EVENTS, SilentServer};
use crate::site::store::Store;

const ROUTERS: usize = 4;
/// Requests that are open at a time.
const REQUESTS: usize = 24;
/// Deadline of the requests.
pub(crate) const DEADLINE: Duration = Duration::from_secs(8);
/// Longer than a server may be silent until its streams move to another one.
const SILENCE: Duration = Duration::from_millis(1700);
/// Longer than an attempt may take if another one may follow.
const LONG_SILENCE: Duration = Duration::from_millis(5000);
/// Time until streams have a few events.
const MIDDLE: Duration = Duration::from_millis(300);

/// Routers and servers of one test.
pub(crate) struct Site {
    pub(crate) routers: Vec<Router>,
    pub(crate) servers: Vec<Arc<SilentServer>>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts routers and this many servers of `service`.
    pub(crate) async fn open(run: u64, service: &str, servers: usize) -> Self {
        let store = patient_store();
        let mut started = Vec::new();
        for n in 0..servers {
            let (server, address) = SilentServer::open().await;
            store.register(&format!("server-{n}"), service, address);
            started.push(server);
        }
        let store_address = store.open().await;
        let name = format!("poplar-silent-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let routers = start_routers(run, ROUTERS, store_address, &folder, true);
        let path = if service == "plain" {
            "/read/ready"
        } else {
            "/resume/ready"
        };
        for router in &routers {
            // The stand-in's streams are not those that the caller expects.
            let is_served = |seen| matches!(seen, Seen::Answer(200, _));
            wait_until(router.callers(), path, is_served).await;
        }
        Self {
            routers,
            servers: started,
            folder,
        }
    }

    /// Sends requests of `path`, each to the next router.
    fn ask(&self, path: &'static str, requests: usize) -> Vec<tokio::task::JoinHandle<Answer>> {
        let asked = (0..requests).map(|n| {
            let router = self.routers[n % ROUTERS].callers();
            tokio::spawn(ask(router, path, format!("{path}-{n}")))
        });
        asked.collect()
    }

    /// Begins enough streams that some may be repeated, and waits for their end.
    async fn warm_up(&self) {
        for round in 0..3 {
            let asked = (0..REQUESTS).map(|n| {
                let router = self.routers[n % ROUTERS].callers();
                ask(router, "/resume/x", format!("warm-{round}-{n}"))
            });
            join_all(asked.collect::<Vec<_>>()).await;
        }
    }

    /// Has all servers be silent for some time in the middle of their streams.
    async fn fall_silent(&self) {
        tokio::time::sleep(MIDDLE).await;
        self.set_silent(true);
        tokio::time::sleep(SILENCE).await;
        self.set_silent(false);
    }

    /// Has no router repeat a request.
    async fn forbid_retries(&self) {
        for router in &self.routers {
            router.change_settings(0);
        }
        // The settings are read once a second.
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }

    pub(crate) fn set_silent(&self, is_silent: bool) {
        let servers = self.servers.iter();
        servers.for_each(|server| server.set_silent(is_silent));
    }
}

/// A store whose configuration has one route of each kind with a long deadline.
pub(crate) fn patient_store() -> Arc<Store> {
    let store = Store::new();
    let timeout = format!("\"timeout_ms\":{}", DEADLINE.as_millis());
    let configuration = configuration(7, PREPAID * 1000, 0);
    let configuration = configuration.replace("\"timeout_ms\":2000", &timeout);
    store.set("op", "", "config", &configuration);
    store
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The status; `None` if no head came.
    pub(crate) status: Option<u16>,
    /// Whether it is complete, with each event once and in order.
    pub(crate) whole: bool,
    took: Duration,
}

async fn ask(router: SocketAddr, path: &'static str, id: String) -> Answer {
    ask_within(router, path, id, DEADLINE).await
}

/// Sends a request with this deadline.
pub(crate) async fn ask_within(
    router: SocketAddr,
    path: &'static str,
    id: String,
    deadline: Duration,
) -> Answer {
    let began = Instant::now();
    let mut status = None;
    let received = async {
        let mut sender = connect(router).await?;
        let request = Request::post(path)
            .header("host", "site.example")
            .header("api-key", "key-1")
            .header("x-poplarreel-attempt-id", &id)
            .header("x-poplarreel-token-counts", "1000,150")
            .header("x-poplarreel-deadline-ms", deadline.as_millis().to_string());
        let request = request.body(Full::from(id.clone())).expect("a request");
        let response = sender.send_request(request).await.ok()?;
        status = Some(response.status().as_u16());
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(body)
    };
    let body = received.await;
    let expected: String = if is_stream(path) {
        let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: e{n}\n\n"));
        events.collect()
    } else {
        "an answer".to_owned()
    };
    Answer {
        status,
        whole: status == Some(StatusCode::OK.as_u16()) && body.is_some_and(|b| b == expected),
        took: began.elapsed(),
    }
}

/// The answers to these requests.
async fn answers(asked: Vec<tokio::task::JoinHandle<Answer>>) -> Vec<Answer> {
    let answers = join_all(asked).await;
    answers.into_iter().map(|a| a.expect("no panic")).collect()
}

fn check_whole(answers: &[Answer]) {
    let whole = answers.iter().filter(|answer| answer.whole).count();
    assert_eq!(whole, answers.len(), "whole answers: {answers:?}");
}

/// Guards against streams that are cut in a silence since they were moved once, so that
/// no attempt is left.
#[tokio::test(flavor = "multi_thread")]
async fn streams_outlast_a_silence_when_no_attempt_is_left() {
    let site = Site::open(491, "engines", 3).await;
    site.warm_up().await;
    let asked = site.ask("/resume/x", REQUESTS);
    for _ in 0..2 {
        site.fall_silent().await;
    }
    check_whole(&answers(asked).await);
}

/// Guards against streams that are cut in a silence since their router has just started
/// and may not repeat anything yet.
#[tokio::test(flavor = "multi_thread")]
async fn streams_outlast_a_silence_when_no_retry_is_left() {
    let site = Site::open(492, "engines", 2).await;
    site.forbid_retries().await;
    let asked = site.ask("/resume/x", ROUTERS);
    site.fall_silent().await;
    check_whole(&answers(asked).await);
}

/// Guards against streams that leave a silent engine for one that turns them away.
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_at_a_silent_engine_when_the_others_are_full() {
    let site = Site::open(493, "engines", 2).await;
    site.warm_up().await;
    site.servers[1].set_full(true);
    let asked = site.ask("/resume/x", ROUTERS);
    site.fall_silent().await;
    check_whole(&answers(asked).await);
}

/// Guards against streams that stay at a silent engine though another one could go on.
#[tokio::test(flavor = "multi_thread")]
async fn streams_leave_a_silent_engine_for_another_one() {
    let site = Site::open(494, "engines", 2).await;
    site.warm_up().await;
    let asked = site.ask("/resume/x", REQUESTS);
    tokio::time::sleep(MIDDLE).await;
    let before = site.servers[1].runs();
    site.servers[0].set_silent(true);
    check_whole(&answers(asked).await);
    assert!(site.servers[1].runs() > before, "no stream moved");
}

/// Guards against answers that are given up when an attempt has taken long, though the
/// request can't be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_outlast_a_silence_when_no_retry_is_left() {
    let site = Site::open(495, "plain", 2).await;
    site.forbid_retries().await;
    site.set_silent(true);
    let asked = site.ask("/read/x", ROUTERS);
    tokio::time::sleep(LONG_SILENCE).await;
    site.set_silent(false);
    check_whole(&answers(asked).await);
}

/// Guards against streams that wait until their deadline for an engine that has ended
/// without closing their connections.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_silent_engine_that_has_ended_are_broken_off() {
    let site = Site::open(496, "engines", 1).await;
    let asked = site.ask("/resume/x", ROUTERS);
    tokio::time::sleep(MIDDLE).await;
    site.set_silent(true);
    site.servers[0].stop_listening();
    for answer in answers(asked).await {
        assert_eq!((answer.status, answer.whole), (Some(200), false));
        assert!(answer.took < DEADLINE, "{answer:?}");
    }
}
