//! Evacuated data centres: nothing new reaches their servers, and load returns in steps
//! after that.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::evacuation::{STEP_TIME, STEPS};
use tokio::time::sleep;

use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask_head, ask_once, wait_until};
use crate::site::cut::Way;
use crate::site::process::{Router, address};
use crate::site::severed::{Path, ServerPath};
use crate::site::silent::{EVENTS, SilentServer};
use crate::site::store::Store;
use crate::site::{TestRelay, configured_store};
use crate::{ID, KEY, PREPAID, TOKENS, runs, text};

const ROW: &str = "evacuate/b";
const PATHS: [&str; 4] = ["/once/x", "/read/x", "/stream/x", "/resume/x"];
/// Ends a test that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(20);
/// Longest time until a request that can't be served is refused, on a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(700);
/// Time in which a router that can't reach the store fails to read it several times.
const OUTAGE: Duration = Duration::from_millis(1500);
/// Time in which a change of a row reaches routers on a busy machine.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// A server of each service in the data centres `a`, that of the router, and `b`.
struct Site {
    relay: TestRelay,
    store: Arc<Store>,
    near: Vec<Arc<Backend>>,
    far: Vec<Arc<Backend>>,
    asked: usize,
}

impl Site {
    /// Those in `a`, which requests prefer, answer; those in `b` behave like this.
    async fn open(behaviour: Behaviour) -> Self {
        let store = configured_store(PREPAID);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for service in ["plain", "engines"] {
            let (backend, at) = Backend::open(Behaviour::Answer).await;
            store.register_in("a", &format!("a-{service}"), service, at);
            near.push(backend);
            let (backend, at) = Backend::open(behaviour).await;
            store.register_in("b", &format!("b-{service}"), service, at);
            far.push(backend);
        }
        let relay = TestRelay::open(store.open().await).await;
        Self {
            relay,
            store,
            near,
            far,
            asked: 0,
        }
    }

    async fn evacuate(&self) {
        self.store.set("op", "", "evacuate/a", "{}");
        wait_evacuated(&self.relay, 1).await;
    }

    /// Sends `rounds` requests of each kind; returns how many were served.
    async fn ask(&mut self, rounds: usize) -> usize {
        let mut served = 0;
        for n in 0..rounds * PATHS.len() {
            self.asked += 1;
            let id = format!("e{}", self.asked);
            let headers = [KEY, TOKENS, (ID, &*id)];
            let answer = self.relay.ask(PATHS[n % PATHS.len()], &headers).await;
            served += usize::from(answer.is_ok_and(|a| a.status == 200));
        }
        served
    }
}

/// Waits until a relay knows of this many evacuated data centres.
async fn wait_evacuated(relay: &TestRelay, count: usize) {
    let began = Instant::now();
    while relay.state.servers.evacuated_counts(Instant::now()).0 != count {
        assert!(began.elapsed() < HANG_LIMIT, "the change is not in force");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against requests of any kind to an evacuated data centre, also while the table
/// can't be read.
#[tokio::test]
async fn an_evacuated_centre_gets_no_requests() {
    let mut site = Site::open(Behaviour::Answer).await;
    site.evacuate().await;
    assert_eq!(site.ask(5).await, 20);
    site.store.set_unreachable(&["op"]);
    sleep(OUTAGE).await;
    assert_eq!(site.ask(5).await, 20);
    assert_eq!(runs(&site.near), 0, "evacuated servers got requests");
}

/// Guards against load that returns all at once or never, and against requests that are
/// refused because only servers are left to which load returns.
#[tokio::test]
async fn load_returns_in_steps_after_an_evacuation() {
    let mut site = Site::open(Behaviour::Answer).await;
    site.evacuate().await;
    site.store.remove("op", "", "evacuate/a");
    wait_evacuated(&site.relay, 0).await;
    assert_eq!(site.ask(10).await, 40);
    let returned = runs(&site.near);
    assert!(returned < 20, "{returned} of 40 requests returned at once");
    site.store.set("op", "", ROW, "{}");
    wait_evacuated(&site.relay, 1).await;
    let before = runs(&site.near);
    assert_eq!(site.ask(2).await, 8);
    assert_eq!(runs(&site.near), before + 8);
    site.store.remove("op", "", ROW);
    sleep(STEP_TIME * (STEPS.len() as u32 + 1)).await;
    assert_eq!(site.ask(2).await, 8);
    assert_eq!(runs(&site.near), before + 16);
}

/// Guards against retries and resumed streams that go to an evacuated data centre.
#[tokio::test]
async fn an_evacuated_centre_gets_no_retries() {
    for behaviour in [Behaviour::Cut, Behaviour::BreakAfter(2)] {
        let mut site = Site::open(behaviour).await;
        site.evacuate().await;
        site.ask(4).await;
        assert!(runs(&site.far) > 0);
        assert_eq!(runs(&site.near), 0, "{behaviour:?}: servers got retries");
    }
}

/// Guards against requests that wait, or fail for good, because only evacuated servers
/// are left, and against a router that starts without knowing of an evacuation.
#[tokio::test]
async fn requests_are_refused_at_once_if_only_evacuated_servers_are_left() {
    let store = configured_store(PREPAID);
    store.set("op", "", ROW, "not json");
    store.set("op", "", "evacuate/", "{}");
    let (server, at) = Backend::open(Behaviour::Answer).await;
    store.register_in("b", "b-plain", "plain", at);
    let relay = TestRelay::open(store.open().await).await;
    for path in ["/once/x", "/read/x"] {
        let began = Instant::now();
        let answer = relay.ask(path, &[KEY, (ID, path)]).await;
        let answer = answer.expect("an answer");
        let seen = (answer.status.as_u16(), text(&answer));
        assert_eq!(seen, (503, "data centre evacuated\n"));
        assert!(began.elapsed() < REFUSAL_TIME);
    }
    let head = ask_head(relay.address, "/read/x", "head").await;
    let head = head.expect("an answer");
    assert!(head.headers.contains_key("retry-after"));
    assert_eq!(server.executed_requests().len(), 0);
}

/// Guards against answers that are cut off because an evacuation begins.
#[tokio::test]
async fn an_answer_that_has_begun_goes_on() {
    let store = configured_store(PREPAID);
    let (server, at) = SilentServer::open().await;
    store.register_in("b", "b-engine", "engines", at);
    let relay = TestRelay::open(store.open().await).await;
    let headers = [KEY, TOKENS, (ID, "a")];
    let evacuate = async {
        while server.runs() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(200)).await;
        store.set("op", "", ROW, "{}");
        wait_evacuated(&relay, 1).await;
    };
    let (answer, ()) = tokio::join!(relay.ask("/resume/x", &headers), evacuate);
    let answer = answer.expect("a complete answer");
    let events = text(&answer).matches("data:").count() as u64;
    assert_eq!((answer.status.as_u16(), events), (200, EVENTS));
    assert_eq!(server.runs(), 1);
}

/// Guards against requests that reach an evacuated data centre by way of a router that
/// knows of the evacuation, from one that has lost the store and its paths.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_connects_no_other_one_to_an_evacuated_centre() {
    let store = configured_store(PREPAID);
    let (server, far) = Backend::open(Behaviour::Answer).await;
    store.register_in("b", "b-plain", "plain", far);
    let name = format!("poplar-evacuation-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let view = std::net::Ipv4Addr::new(127, 254, 254, 254).into();
    let near = std::net::SocketAddr::new(view, far.port());
    let mut path = ServerPath::open(near, far).await;
    let (way, cut_store) = Way::open(store.open_view(view).await).await;
    let stores = [cut_store, store.open().await];
    let mut routers = Vec::new();
    for (n, store) in stores.into_iter().enumerate() {
        let mut router = Router::new(address(143, n), store, &folder);
        router.start();
        wait_until(router.callers(), "/read/x", |seen| {
            seen == Seen::Answer(200, true)
        })
        .await;
        routers.push(router);
    }
    path.set(Path::Reset).await;
    let is_served = |seen| seen == Seen::Answer(200, true);
    wait_until(routers[0].callers(), "/read/y", is_served).await;
    way.set_cut(true);
    store.set("op", "", ROW, "{}");
    sleep(APPLY_TIME).await;
    let before = server.executed_requests().len();
    for n in 0..6 {
        let seen = ask_once(routers[0].callers(), "/read/x", &format!("t{n}")).await;
        assert!(
            !seen.is_some_and(is_served),
            "served by way of the other router"
        );
    }
    assert_eq!(server.executed_requests().len(), before);
    let began = routers.iter().map(|router| {
        let log = router.log_text();
        log.matches("evacuation began").count()
    });
    assert_eq!(began.collect::<Vec<_>>(), [0, 1]);
    way.set_cut(false);
    store.remove("op", "", ROW);
    wait_until(routers[0].callers(), "/read/z", is_served).await;
    let _ = std::fs::remove_dir_all(&folder);
}
