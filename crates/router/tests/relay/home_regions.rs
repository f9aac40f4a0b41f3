//! Routes and workspaces whose requests may be processed in some regions only.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path as FilePath;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use poplar_core::deployment::{ColdNotice, Server};
use poplar_core::id::Name;
use poplar_router::relay::paths::tunnel::{self, TunnelError};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::site::backend::{Backend, Behaviour};
use crate::site::caller::{Seen, ask_once, wait_until};
use crate::site::process::{Router, address};
use crate::site::severed::{Path, ServerPath};
use crate::site::store::Store;
use crate::site::{TestRelay, configuration};
use crate::{ID, KEY, PREPAID, runs, text};

const SETTINGS: &str = "region=north\nzones.a=north\nzones.b=south\nzones.c=east\n";
/// Longest time until a request that can't be served is refused, on a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(700);
/// Time until all routers know of each other.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// A store whose route `/read/` has the home `south`, and a workspace with the key
/// `key-2` that has the homes `east` and `south`.
fn confined_store() -> Arc<Store> {
    let text = configuration(7, PREPAID, 0);
    let mut config: Value = serde_json::from_str(&text).expect("a configuration");
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes {
        if route["name"] == "read" {
            route["home_regions"] = json!(["south"]);
        }
    }
    let workspaces = config["tenants"].as_array_mut().expect("workspaces");
    workspaces.push(json!({"name": "confined", "api_keys": ["key-2"],
                           "home_regions": ["east", "south"]}));
    let store = Store::new();
    store.set("op", "", "config", &config.to_string());
    store
}

/// Guards against requests that reach servers outside of the home regions of their route
/// or workspace, and against confined requests that wait if none is left.
#[tokio::test]
async fn requests_reach_servers_in_their_home_regions_only() {
    let store = confined_store();
    let mut servers = Vec::new();
    for centre in ["a", "b", "c"] {
        let (server, at) = Backend::open(Behaviour::Answer).await;
        store.register_in(centre, centre, "plain", at);
        servers.push(vec![server]);
    }
    let relay = TestRelay::open_with(store.open().await, SETTINGS).await;
    let ask = async |path: &str, key: &str, id: &str| {
        let headers = [("api-key", key), (ID, id)];
        relay.ask(path, &headers).await.expect("an answer")
    };
    for n in 0..20 {
        for (path, key) in [
            ("/read/x", "key-1"),
            ("/read/x", "key-2"),
            ("/once/x", "key-2"),
        ] {
            let answer = ask(path, key, &format!("{n}-{path}-{key}")).await;
            assert_eq!(answer.status, 200);
        }
    }
    let [a, b, c] = [0, 1, 2].map(|n| runs(&servers[n]));
    assert_eq!((a, b + c), (0, 60), "a request left its home regions");
    assert!(b >= 40, "a request left the home region of its route");
    // Others may reach them all, nearest first.
    assert_eq!(ask("/once/x", "key-1", "free").await.status, 200);
    store.remove("servers", "", "b");
    let began = Instant::now();
    while relay.state.servers.is_listed("b") {
        assert!(began.elapsed() < JOIN_TIME * 3);
        sleep(Duration::from_millis(10)).await;
    }
    let began = Instant::now();
    let answer = ask("/read/x", KEY.1, "refused").await;
    let seen = (answer.status.as_u16(), text(&answer));
    assert_eq!(seen, (503, "no server in a home region\n"));
    assert!(began.elapsed() < REFUSAL_TIME);
}

/// The path of a router to the server at `far`, and the router, in the region `region`.
async fn open_router(
    n: usize,
    region: &str,
    far: SocketAddr,
    store: &Arc<Store>,
    folder: &FilePath,
) -> (Router, ServerPath) {
    let view = Ipv4Addr::new(127, 254, 253, 1 + n as u8).into();
    let path = ServerPath::open(SocketAddr::new(view, far.port()), far).await;
    let mut router = Router::new(address(142, n), store.open_view(view).await, folder);
    router.add_settings(&format!("{SETTINGS}region={region}\n"));
    router.start();
    let is_served = |seen| seen == Seen::Answer(200, true);
    wait_until(router.callers(), "/read/x", is_served).await;
    (router, path)
}

/// Guards against bodies that are sent to routers of a region that is neither a home
/// region nor the client's, where the client's router has no path to the server.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_reach_no_router_outside_of_their_home_regions() {
    let store = confined_store();
    let (_, far) = Backend::open(Behaviour::Answer).await;
    store.register_in("b", "b", "plain", far);
    let folder = std::env::temp_dir().join(format!("poplar-regions-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (mut routers, mut paths) = (Vec::new(), Vec::new());
    for (n, region) in ["north", "east", "south"].into_iter().enumerate() {
        let (router, path) = open_router(n, region, far, &store, &folder).await;
        routers.push(router);
        paths.push(path);
    }
    sleep(JOIN_TIME).await;
    paths[0].set(Path::Reset).await;
    let is_served = |seen| seen == Seen::Answer(200, true);
    wait_until(routers[0].callers(), "/read/y", is_served).await;
    let before = paths[1].accepted();
    for n in 0..12 {
        let seen = ask_once(routers[0].callers(), "/read/x", &format!("r{n}")).await;
        assert!(seen.is_some_and(is_served), "{seen:?}");
    }
    assert_eq!(paths[1].accepted(), before, "a body left its home regions");
    assert!(paths[2].accepted() > 0);
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against bodies for a router of another build, which connects without a word of
/// its region, and against questions that it does not understand.
#[tokio::test]
async fn a_router_that_does_not_confirm_its_region_gets_no_confined_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let asks = tokio::spawn(async move {
        let mut asks: Vec<Value> = Vec::new();
        while asks.len() < 2 {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
            let ask = frames.next().await.expect("a frame").expect("a frame");
            asks.push(serde_json::from_slice(&ask).expect("a question"));
            let reply = Bytes::from_static(b"\"connected\"");
            frames.send(reply).await.expect("is sent");
        }
        asks
    });
    let server = Server {
        id: "b".into(),
        service: "plain".into(),
        address: at,
        centre: "b".into(),
        software: "v1".into(),
        ready: true,
        started_ms: 5,
        slots: 8,
        cold: ColdNotice::default(),
    };
    let south: [Name; 1] = ["south".into()];
    let confined = tunnel::open(at.ip(), at, &server, Some(&south)).await;
    assert_eq!(confined.err(), Some(TunnelError::OtherRegion));
    assert!(tunnel::open(at.ip(), at, &server, None).await.is_ok());
    let asks = asks.await.expect("no panic");
    assert_eq!(asks[0]["within"], json!(["south"]));
    assert_eq!(asks[1], json!({"server": "b", "started_ms": 5}));
}
