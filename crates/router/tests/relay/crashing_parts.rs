//! Parts of prompts that crash the servers that begin to answer, in requests of
//! which no two are alike, sent to several routers, each a process of its own.
//! Sound requests have the same caller, route and other parts.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::site::caller::{Seen, ask_prompt, wait_until};
use crate::site::configured_store;
use crate::site::crashing::{CrashKind, CrashPlan, CrashingServer};
use crate::site::process::{Router, start_routers};
use crate::site::store::Store;

/// Time after the fifth crash from which on hardly a server may get the part.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Time after the fifth crash from which on sound requests are served as before.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Crashes after which the part is known.
const CRASHES_ALLOWED: usize = 5;
/// Requests with the part that servers may get after that.
const REQUESTS_ALLOWED: usize = 3;
/// Time in which sound requests are sent before the others.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time in which sound requests are counted while the others still come.
const COUNTED_TIME: Duration = Duration::from_secs(3);
/// Pause between requests that crash servers.
const CRASHING_PAUSE: Duration = Duration::from_millis(250);
/// Ends a test whose servers don't crash.
const HANG_LIMIT: Duration = Duration::from_secs(60);
const DOWN_TIME: Duration = Duration::from_millis(700);
const RUN_TIME: Duration = Duration::from_millis(200);
const SERVERS: usize = 12;
const ROUTERS: usize = 8;
/// Routers of a large deployment.
const MANY_ROUTERS: usize = 60;
/// More than a test consumes.
const PREPAID: u64 = 1_000_000_000;
/// Parts of sound requests; the first one is common to most of them.
const SOUND_PROMPTS: [&str; 4] = [
    "a1:800,b1:300",
    "a1:800,b2:300",
    "a1:800,b1:300,c1:50",
    "a2:900,b1:300",
];

/// A sound request: when it was sent, and whether it was served.
type Outcome = (Instant, bool);

/// What a test varies.
struct Setup {
    /// Tells the tests apart.
    run: u64,
    kind: CrashKind,
    routers: usize,
    /// Whether datagrams between the routers arrive.
    datagrams: bool,
    /// Prompts of the requests that crash servers.
    prompts: &'static [&'static str],
}

impl Setup {
    fn new(run: u64, kind: CrashKind, prompts: &'static [&'static str]) -> Self {
        Self {
            run,
            kind,
            routers: ROUTERS,
            datagrams: true,
            prompts,
        }
    }

    /// Starts the site and waits until each router serves requests.
    async fn open(self) -> Site {
        let store = configured_store(PREPAID);
        let plan = CrashPlan {
            kind: self.kind,
            down_time: DOWN_TIME,
            run_time: RUN_TIME,
        };
        let mut servers = Vec::new();
        for n in 0..SERVERS {
            let id = format!("engine-{n}");
            servers.push(CrashingServer::open(&id, "engines", &store, plan).await);
        }
        let store_address = store.open().await;
        let name = format!("poplar-parts-{}-{}", std::process::id(), self.run);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let routers = start_routers(
            self.run,
            self.routers,
            store_address,
            &folder,
            self.datagrams,
        );
        let site = Site {
            store,
            routers,
            servers,
            folder,
            prompts: self.prompts,
            outcomes: Arc::default(),
            ended: Arc::default(),
        };
        site.wait_until_served().await;
        // Time in which each router learns of the others.
        tokio::time::sleep(Duration::from_secs(1)).await;
        site.send_sound_requests();
        tokio::time::sleep(CALM_TIME).await;
        site
    }
}

/// Routers and servers of one test.
struct Site {
    store: Arc<Store>,
    routers: Vec<Router>,
    servers: Vec<Arc<CrashingServer>>,
    folder: PathBuf,
    prompts: &'static [&'static str],
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    ended: Arc<AtomicBool>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    async fn wait_until_served(&self) {
        for router in &self.routers {
            let is_served = |seen| seen == Seen::Answer(200, true);
            wait_until(router.callers(), "/resume/ready", is_served).await;
        }
    }

    /// Sends sound requests to all routers until the test ends, about 30 a second.
    fn send_sound_requests(&self) {
        let pause = Duration::from_millis(33) * self.routers.len() as u32;
        for (n, router) in self.routers.iter().enumerate() {
            let (to, outcomes, ended) =
                (router.callers(), self.outcomes.clone(), self.ended.clone());
            tokio::spawn(async move {
                for sent in 0.. {
                    if ended.load(Ordering::Acquire) {
                        return;
                    }
                    let prompt = SOUND_PROMPTS[(n + sent) % SOUND_PROMPTS.len()];
                    let (id, at) = (format!("s{n}.{sent}"), Instant::now());
                    let outcomes = outcomes.clone();
                    tokio::spawn(async move {
                        let seen = ask_prompt(to, "/resume/sound", &id, prompt).await;
                        let is_served = seen == Some(Seen::Answer(200, true));
                        outcomes.lock().expect("no panic").push((at, is_served));
                    });
                    tokio::time::sleep(pause).await;
                }
            });
        }
    }

    /// Sends requests that crash servers, each to the next router, until `until`
    /// says so; each one is new.
    async fn send_crashing_requests(&self, round: &str, until: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        for n in 0.. {
            if until(self) {
                return;
            }
            assert!(began.elapsed() < HANG_LIMIT, "servers don't crash");
            let router = self.routers[n * 5 % self.routers.len()].callers();
            let prompt = self.prompts[n % self.prompts.len()];
            let id = format!("{round}{n}");
            tokio::spawn(async move { ask_prompt(router, "/resume/x", &id, prompt).await });
            tokio::time::sleep(CRASHING_PAUSE).await;
        }
    }

    async fn send_crashing_requests_for(&self, round: &str, time: Duration) {
        let until = Instant::now() + time;
        self.send_crashing_requests(round, |_| Instant::now() >= until)
            .await;
    }

    /// The parts that crash servers.
    fn crash_parts(&self) -> Vec<&'static str> {
        let ids = self.prompts.iter().flat_map(|prompt| prompt.split(','));
        let mut ids: Vec<&str> = ids.filter_map(|part| part.split(':').next()).collect();
        ids.retain(|id| id.starts_with("dead"));
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// When a part crashed a server for the fifth time.
    fn fifth_crash(&self, part: &str) -> Option<Instant> {
        let servers = self.servers.iter();
        let mut crashes: Vec<Instant> = servers.flat_map(|s| s.crashes_of_part(part)).collect();
        crashes.sort_unstable();
        crashes.get(CRASHES_ALLOWED - 1).copied()
    }

    fn runs_of_part(&self, part: &str, after: Instant) -> usize {
        let runs = self.servers.iter().map(|s| s.runs_of_part(part, after));
        runs.sum()
    }

    /// Crashes servers until each part has done so five times or is refused.
    async fn crash_servers(&self) {
        let longest = Instant::now() + Duration::from_secs(12);
        self.send_crashing_requests("c", |site| {
            let mut parts = site.crash_parts().into_iter();
            parts.all(|part| site.fifth_crash(part).is_some()) || Instant::now() >= longest
        })
        .await;
    }

    /// Goes on with such requests, and checks that hardly one gets to a server
    /// after some time, and that sound ones are served meanwhile.
    async fn check_refused(&self, least_served: f64) {
        let known = Instant::now();
        self.send_crashing_requests_for("r", RECOVERY_TIME).await;
        let from = Instant::now();
        self.send_crashing_requests_for("t", COUNTED_TIME).await;
        for part in self.crash_parts() {
            let crashed = self.fifth_crash(part).unwrap_or(known);
            let runs = self.runs_of_part(part, crashed + SPREAD_TIME);
            assert!(runs <= REQUESTS_ALLOWED, "{part} reached servers: {runs}");
        }
        self.check_served(from, least_served);
    }

    /// Checks that this share of the sound requests sent from `from` on, and long
    /// enough ago, are served.
    fn check_served(&self, from: Instant, least: f64) {
        let outcomes = self.outcomes.lock().expect("no panic");
        let recent = outcomes.iter().filter(|(at, _)| *at >= from);
        let recent: Vec<&Outcome> = recent.collect();
        let served = recent.iter().filter(|(_, served)| *served).count();
        let share = served as f64 / recent.len().max(1) as f64;
        assert!(recent.len() > 20, "sound requests: {}", recent.len());
        assert!(
            share >= least,
            "served {served} of {} sound requests",
            recent.len()
        );
    }
}

/// Sound requests served while nothing else is disturbed.
const NEARLY_ALL: f64 = 0.9;
/// The same beside restarts.
const HALF: f64 = 0.5;
/// The part is in the middle of prompts, after one that most sound requests have.
const MIDDLE: &[&str] = &["a1:800,dead1:100,b1:300", "a1:800,dead1:100,b2:300"];

async fn check_part(setup: Setup) {
    let site = setup.open().await;
    site.crash_servers().await;
    site.check_refused(NEARLY_ALL).await;
}

/// Guards against a part that ends one server after the other, since no two
/// requests that have it are alike.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_servers_is_refused_in_the_middle_of_prompts() {
    check_part(Setup::new(381, CrashKind::Reset, MIDDLE)).await;
}

/// As above, for a part that begins prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_servers_is_refused_at_the_start_of_prompts() {
    let prompts = &["dead1:400,b1:300", "dead1:400,b2:300,c1:50"];
    check_part(Setup::new(382, CrashKind::Reset, prompts)).await;
}

/// Guards against crashes that don't count because the answer had begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_servers_inside_an_event_is_refused() {
    check_part(Setup::new(383, CrashKind::InsideEvent, MIDDLE)).await;
}

/// Guards against crashes that don't count because the connection to the server
/// stays open and silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_servers_silently_is_refused() {
    check_part(Setup::new(384, CrashKind::Silence, MIDDLE)).await;
}

/// Guards against reports of crashes that take too long among many routers.
#[tokio::test(flavor = "multi_thread")]
async fn many_routers_refuse_a_part_that_crashes_servers() {
    let setup = Setup {
        routers: MANY_ROUTERS,
        ..Setup::new(385, CrashKind::Reset, MIDDLE)
    };
    check_part(setup).await;
}

/// Guards against what routers know of a part being lost with datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_get_no_datagrams_refuse_a_part_that_crashes_servers() {
    let setup = Setup {
        datagrams: false,
        ..Setup::new(386, CrashKind::Reset, MIDDLE)
    };
    check_part(setup).await;
}

/// Guards against what routers know of a part being lost with the store.
#[tokio::test(flavor = "multi_thread")]
async fn routers_without_the_store_refuse_a_part_that_crashes_servers() {
    let site = Setup::new(387, CrashKind::Reset, MIDDLE).open().await;
    site.store.set_down(true);
    site.crash_servers().await;
    site.check_refused(HALF).await;
}

/// Guards against two parts that hide each other, since a sound part is on all
/// servers that either of them crashes.
#[tokio::test(flavor = "multi_thread")]
async fn two_parts_that_crash_servers_at_once_are_refused() {
    let prompts = &["a1:800,dead1:100,b1:300", "a1:800,b1:300,dead2:70"];
    check_part(Setup::new(388, CrashKind::Reset, prompts)).await;
}

/// Guards against routers that don't know, since they were just started, what all
/// the others knew before they ended.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_refuse_a_part_that_crashed_servers_before() {
    let mut site = Setup::new(389, CrashKind::Reset, MIDDLE).open().await;
    site.crash_servers().await;
    site.send_crashing_requests_for("k", SPREAD_TIME).await;
    site.routers.iter_mut().for_each(Router::kill);
    site.routers.iter_mut().for_each(Router::start);
    site.wait_until_served().await;
    let from = Instant::now();
    site.check_refused(NEARLY_ALL).await;
    let runs = site.runs_of_part("dead1", from);
    assert!(runs <= REQUESTS_ALLOWED, "reached servers: {runs}");
}

/// Guards against a router that misses what the others learn while it is frozen
/// or restarts.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_freeze_and_restart_refuse_a_part_that_crashes_servers() {
    let mut site = Setup::new(390, CrashKind::Reset, MIDDLE).open().await;
    site.routers[0].signal("STOP");
    site.routers[1].kill();
    site.crash_servers().await;
    tokio::time::sleep(SPREAD_TIME).await;
    site.routers[0].signal("CONT");
    site.routers[1].start();
    site.check_refused(HALF).await;
}

/// Guards against refusals of sound requests with a part that few others have and
/// that requests that crash servers have, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_rare_part_beside_one_that_crashes_servers_is_served() {
    let prompts = &["a1:800,dead1:100,ca4e:300"];
    let site = Setup::new(391, CrashKind::Reset, prompts).open().await;
    site.crash_servers().await;
    site.check_refused(NEARLY_ALL).await;
    for router in &site.routers {
        let served = async |n: usize| {
            let id = format!("rare-{}-{n}", router.callers());
            ask_prompt(router.callers(), "/resume/x", &id, "a1:800,ca4e:300").await
        };
        let began = Instant::now();
        let mut n = 0;
        while served(n).await != Some(Seen::Answer(200, true)) {
            n += 1;
            assert!(began.elapsed() < RECOVERY_TIME, "{n} were not served");
            tokio::time::sleep(CRASHING_PAUSE).await;
        }
    }
}
