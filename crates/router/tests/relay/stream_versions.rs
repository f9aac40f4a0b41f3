//! Streams while engines of several software versions serve side by side, with
//! several routers, each a process of its own. What two versions write doesn't fit
//! together: a stream goes on at the version that began it, or not at all. Clients
//! look at the events that they have.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::site::caller::{Seen, wait_until};
use crate::site::configured_store;
use crate::site::cut::Way;
use crate::site::process::{Router, address, start_routers};
use crate::site::store::Store;
use crate::site::versioned::{Received, VersionedEngine};

const ROUTERS: usize = 4;
/// Streams that are open at a time.
const STREAMS: usize = 24;
/// Events that a client has when its stream breaks off.
const EVENTS_BEFORE: usize = 5;
/// Rounds of streams of which a fifth may be repeated.
const WARM_UP_ROUNDS: usize = 5;
/// Time for which a message of a router about its load counts.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Time until streams have about that many events.
const MIDDLE: Duration = Duration::from_millis(300);
/// Time until all routers have a change of the list of engines.
const LIST_TIME: Duration = Duration::from_millis(1500);
/// More than a test consumes.
const PREPAID: u64 = 1_000_000_000;
/// Streams that go on of those that could.
const HALF: usize = STREAMS / 2;

/// Routers and engines of one test.
struct Site {
    store: Arc<Store>,
    store_address: SocketAddr,
    routers: Vec<Router>,
    engines: Vec<Arc<VersionedEngine>>,
    folder: PathBuf,
    /// Attempts so far.
    attempts: usize,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts routers and two engines of each of these versions.
    async fn open(run: u64, versions: &[&'static str]) -> Self {
        let store = configured_store(PREPAID);
        let store_address = store.open().await;
        let name = format!("poplar-versions-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut site = Self {
            store,
            store_address,
            routers: Vec::new(),
            engines: Vec::new(),
            folder,
            attempts: 0,
        };
        for version in versions {
            site.add_engines(version).await;
        }
        site.routers = start_routers(run, ROUTERS, store_address, &site.folder, true);
        site.wait_until_served().await;
        // Time in which each router learns of the others.
        tokio::time::sleep(Duration::from_secs(1)).await;
        site
    }

    async fn add_engines(&mut self, version: &'static str) {
        for n in 0..2 {
            let id = format!("{version}-{n}");
            let engine = VersionedEngine::open(&id, version, &self.store).await;
            self.engines.push(engine);
        }
    }

    fn engines_of(&self, version: &str) -> impl Iterator<Item = &Arc<VersionedEngine>> {
        let engines = self.engines.iter();
        engines.filter(move |engine| engine.software == version)
    }

    async fn wait_until_served(&self) {
        for router in &self.routers {
            // The stand-in's streams are not those that the caller expects.
            let is_served = |seen| matches!(seen, Seen::Answer(200, _));
            wait_until(router.callers(), "/resume/ready", is_served).await;
        }
    }

    /// Begins streams, or takes these up, each at the next router but `shift`; the
    /// clients leave when they have so many events.
    async fn ask(
        &mut self,
        streams: Vec<Received>,
        shift: usize,
        leave: Option<usize>,
        resumes: impl Fn(&str) -> Option<String> + Copy,
    ) -> Vec<Received> {
        let asked = streams.into_iter().enumerate().map(|(n, mut stream)| {
            self.attempts += 1;
            let attempt = format!("{:016x}", self.attempts);
            let router = self.routers[(n + shift) % ROUTERS].callers();
            async move {
                stream.ask(router, &attempt, leave, resumes).await;
                stream
            }
        });
        join_all(asked.collect::<Vec<_>>()).await
    }

    /// Sends requests, so that routers that have just started may repeat some.
    async fn warm_up(&mut self) {
        for _ in 0..WARM_UP_ROUNDS {
            self.begin(Some(1)).await;
        }
        // Until then the load of these counts, and the next streams all go to the
        // engine that has the fewest of them.
        tokio::time::sleep(LOAD_TIME).await;
    }

    async fn begin(&mut self, leave: Option<usize>) -> Vec<Received> {
        let streams = vec![Received::default(); STREAMS];
        self.ask(streams, 0, leave, named).await
    }

    /// Takes streams up at other routers than those that began them.
    async fn take_up(&mut self, streams: Vec<Received>) -> Vec<Received> {
        self.ask(streams, 1, None, named).await
    }

    async fn restart_all(&mut self) {
        self.routers.iter_mut().for_each(Router::kill);
        self.routers.iter_mut().for_each(Router::start);
        self.wait_until_served().await;
    }
}

/// Names the attempt that began the stream.
fn named(first: &str) -> Option<String> {
    Some(first.to_owned())
}

fn check_not_mixed(streams: &[Received]) {
    let mixed = streams.iter().filter(|s| s.is_mixed()).count();
    assert_eq!(mixed, 0, "streams with events of two versions");
}

fn whole(streams: &[Received]) -> usize {
    streams.iter().filter(|stream| stream.whole).count()
}

/// Checks that streams go on at their version, and most of them do.
fn check_continued(streams: &[Received]) {
    check_not_mixed(streams);
    let whole = whole(streams);
    let statuses: Vec<Option<u16>> = streams.iter().map(|s| s.status).collect();
    assert!(
        whole >= HALF,
        "{whole} of {} went on: {statuses:?}",
        streams.len()
    );
}

/// Checks that the router refused all streams as not run.
fn check_refused(streams: &[Received]) {
    check_not_mixed(streams);
    let statuses: Vec<Option<u16>> = streams.iter().map(|s| s.status).collect();
    let refused = statuses.iter().all(|status| *status == Some(503));
    assert!(refused, "{statuses:?}");
}

/// Guards against a router that continues a stream at an engine of another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_continues_a_stream_at_its_version() {
    let mut site = Site::open(471, &["v1", "v2"]).await;
    site.warm_up().await;
    let engines = [site.engines[0].clone(), site.engines[2].clone()];
    tokio::spawn(async move {
        tokio::time::sleep(MIDDLE).await;
        engines.iter().for_each(|engine| engine.break_streams());
    });
    let streams = site.begin(None).await;
    check_continued(&streams);
    assert!(streams.iter().any(|s| s.events[0] == "v1"));
    assert!(streams.iter().any(|s| s.events[0] == "v2"));
}

/// Guards against a router that continues a stream at another version since none of
/// its own is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_version_has_left_breaks_off() {
    let mut site = Site::open(472, &["v1", "v2"]).await;
    site.warm_up().await;
    let old: Vec<_> = site.engines_of("v1").cloned().collect();
    tokio::spawn(async move {
        old.iter().for_each(|engine| engine.unregister());
        tokio::time::sleep(2 * MIDDLE).await;
        old.iter().for_each(|engine| engine.break_streams());
    });
    let streams = site.begin(None).await;
    check_not_mixed(&streams);
}

/// Guards against a stream that goes on at an engine that has started again with
/// another version, which the list does not show yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_go_on_at_an_engine_that_restarted_with_another_version() {
    let mut site = Site::open(489, &["v1"]).await;
    site.warm_up().await;
    let engines = site.engines.clone();
    tokio::spawn(async move {
        tokio::time::sleep(MIDDLE).await;
        engines[1].restart_as("v2");
        engines[0].break_streams();
    });
    let streams = site.begin(None).await;
    check_not_mixed(&streams);
}

/// Guards against a stream that counts as one of the version that is listed though
/// the engine had started again with another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_begin_at_an_engine_that_restarted_with_another_version() {
    let mut site = Site::open(490, &["v1"]).await;
    site.engines[1].restart_as("v2");
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    check_continued(&site.take_up(streams).await);
}

/// Guards against a stream that a client takes up at another router, which doesn't
/// know which version began it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_taken_up_at_its_version_by_another_router() {
    let mut site = Site::open(473, &["v1", "v2", "v3"]).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    check_continued(&site.take_up(streams).await);
}

/// As above, after a second take-up.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_taken_up_twice_stays_at_its_version() {
    let mut site = Site::open(474, &["v1", "v2"]).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    let leave = Some(2 * EVENTS_BEFORE);
    let streams = site.ask(streams, 1, leave, named).await;
    let streams = site.ask(streams, 2, None, named).await;
    check_continued(&streams);
}

/// Guards against what routers know of streams being lost when all of them are
/// killed.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_at_their_version_after_all_routers_were_killed() {
    let mut site = Site::open(475, &["v1", "v2"]).await;
    let routers: Vec<_> = site.routers.iter().map(Router::callers).collect();
    let open = (0..STREAMS).map(|n| {
        let router = routers[n % ROUTERS];
        tokio::spawn(async move {
            let mut stream = Received::default();
            let attempt = format!("killed-{n}");
            stream.ask(router, &attempt, None, named).await;
            stream
        })
    });
    let open: Vec<_> = open.collect();
    tokio::time::sleep(2 * MIDDLE).await;
    site.restart_all().await;
    let ended = join_all(open).await;
    let streams: Vec<Received> = ended.into_iter().map(|s| s.expect("no panic")).collect();
    assert!(streams.iter().all(|s| !s.whole && s.first.is_some()));
    check_continued(&site.take_up(streams).await);
}

/// Guards against streams that go on at the only version that is left, since
/// routers that have just started see no other.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_after_a_version_left_do_not_continue_its_streams() {
    let mut site = Site::open(476, &["v1", "v2"]).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    let (old, new): (Vec<_>, Vec<_>) = streams.into_iter().partition(|s| s.events[0] == "v1");
    site.routers.iter_mut().for_each(Router::kill);
    site.engines_of("v1").for_each(|engine| engine.unregister());
    site.routers.iter_mut().for_each(Router::start);
    site.wait_until_served().await;
    check_refused(&site.take_up(old).await);
    let continued = site.take_up(new.clone()).await;
    check_not_mixed(&continued);
    assert!(whole(&continued) * 2 >= new.len(), "{}", whole(&continued));
}

/// Guards against what routers know of streams being lost with the store, and
/// against streams that go on at any version meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_at_their_version_without_the_store() {
    let mut site = Site::open(477, &["v1", "v2"]).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    site.store.set_down(true);
    tokio::time::sleep(MIDDLE).await;
    check_continued(&site.take_up(streams).await);
}

/// Guards against streams that go on at another version while theirs is away, and
/// against those that don't when it is back.
#[tokio::test(flavor = "multi_thread")]
async fn streams_wait_for_a_version_that_goes_and_returns() {
    let mut site = Site::open(478, &["v1"]).await;
    let before = site.begin(Some(EVENTS_BEFORE)).await;
    site.add_engines("v2").await;
    tokio::time::sleep(LIST_TIME).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    let old = streams.into_iter().filter(|s| s.events[0] == "v1");
    let old: Vec<Received> = before.into_iter().chain(old).collect();
    site.engines_of("v1").for_each(|engine| engine.unregister());
    tokio::time::sleep(LIST_TIME).await;
    let refused = site.take_up(old).await;
    check_refused(&refused);
    site.engines_of("v1").for_each(|engine| engine.register());
    tokio::time::sleep(LIST_TIME).await;
    check_continued(&site.take_up(refused).await);
}

/// Guards against streams that go on at any version since the client names an
/// attempt that nobody knows, or none.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_unknown_version_are_refused() {
    let mut site = Site::open(479, &["v1", "v2"]).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    let refused = site.ask(streams, 1, None, |_| None).await;
    check_refused(&refused);
    let unknown = |first: &str| Some(format!("{first}-unknown"));
    check_refused(&site.ask(refused, 1, None, unknown).await);
}

/// Guards against refusals of streams that can have only one version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_without_a_name_while_there_is_one_version() {
    let mut site = Site::open(480, &["v1"]).await;
    let streams = site.begin(Some(EVENTS_BEFORE)).await;
    let streams = site
        .ask(streams, 1, Some(2 * EVENTS_BEFORE), |_| None)
        .await;
    site.restart_all().await;
    check_continued(&site.ask(streams, 1, None, |_| None).await);
}

/// Begins streams while engines of a new version join and the first router is out of
/// step, and takes those of the new version up there once `rejoin` has run.
async fn check_out_of_step(site: &mut Site, leave: impl Fn(&mut Site), rejoin: impl Fn(&mut Site)) {
    leave(site);
    site.add_engines("v2").await;
    tokio::time::sleep(LIST_TIME).await;
    let streams = vec![Received::default(); STREAMS];
    let mut new = Vec::new();
    for (n, stream) in streams.into_iter().enumerate() {
        let router = 1 + n % (ROUTERS - 1);
        new.extend(
            site.ask(vec![stream], router, Some(EVENTS_BEFORE), named)
                .await,
        );
    }
    new.retain(|stream| stream.events.first().is_some_and(|event| *event == "v2"));
    assert!(!new.is_empty(), "no stream began at the new version");
    rejoin(site);
    let mut taken_up = Vec::new();
    for stream in new {
        taken_up.extend(site.ask(vec![stream], 0, None, named).await);
    }
    check_not_mixed(&taken_up);
}

/// Guards against streams of a new version that go on at the old one at a router that
/// was cut off from the store and the others while the new one joined.
#[tokio::test(flavor = "multi_thread")]
async fn out_of_step_a_router_that_was_cut_off_does_not_mix_versions() {
    let mut site = Site::open(481, &["v1"]).await;
    let (way, near) = Way::open(site.store_address).await;
    let mut router = Router::new(address(482, 0), near, &site.folder);
    router.isolate_datagrams(7350);
    router.start();
    site.routers[0] = router;
    site.wait_until_served().await;
    tokio::time::sleep(LIST_TIME).await;
    check_out_of_step(&mut site, |_| way.set_cut(true), |_| {}).await;
}

/// Guards against the same at a router that stood still.
#[tokio::test(flavor = "multi_thread")]
async fn out_of_step_a_router_that_stood_still_does_not_mix_versions() {
    let mut site = Site::open(483, &["v1"]).await;
    let stop = |site: &mut Site| site.routers[0].signal("STOP");
    let go_on = |site: &mut Site| site.routers[0].signal("CONT");
    check_out_of_step(&mut site, stop, go_on).await;
}

/// Guards against the same at a router that stood still and was cut off when it went on.
#[tokio::test(flavor = "multi_thread")]
async fn out_of_step_a_router_that_stood_still_and_was_cut_off_does_not_mix_versions() {
    let mut site = Site::open(484, &["v1"]).await;
    let (way, near) = Way::open(site.store_address).await;
    let mut router = Router::new(address(485, 0), near, &site.folder);
    router.isolate_datagrams(7350);
    router.start();
    site.routers[0] = router;
    site.wait_until_served().await;
    tokio::time::sleep(LIST_TIME).await;
    let stop = |site: &mut Site| {
        site.routers[0].signal("STOP");
        way.set_cut(true);
    };
    check_out_of_step(&mut site, stop, |site| site.routers[0].signal("CONT")).await;
}

/// Guards against the same at a router that reaches the others but not the store.
#[tokio::test(flavor = "multi_thread")]
async fn out_of_step_a_router_without_the_store_does_not_mix_versions() {
    let mut site = Site::open(486, &["v1"]).await;
    let (way, near) = Way::open(site.store_address).await;
    site.routers[0] = Router::new(address(487, 0), near, &site.folder);
    site.routers[0].start();
    site.wait_until_served().await;
    tokio::time::sleep(LIST_TIME).await;
    check_out_of_step(&mut site, |_| way.set_cut(true), |_| {}).await;
}

/// Guards against refusals of all streams while the store is down, when none can be
/// read there, though all have one version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_without_the_store() {
    let mut site = Site::open(488, &["v1"]).await;
    let before = site.begin(Some(EVENTS_BEFORE)).await;
    site.store.set_down(true);
    tokio::time::sleep(2 * LIST_TIME).await;
    let during = site.begin(Some(EVENTS_BEFORE)).await;
    tokio::time::sleep(MIDDLE).await;
    check_continued(&site.take_up(before).await);
    check_continued(&site.take_up(during).await);
}
