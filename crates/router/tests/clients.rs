//! Clients that keep to no limit, at a router that runs as a process with little memory
//! and few file descriptors.
//!
//! Each case checks that the process stays alive, that its memory and open descriptors
//! stay within the limits of its settings, and that an ordinary request is answered
//! while the crowd is still connected. The cases run one after another.

#[path = "clients/crowd.rs"]
mod crowd;
#[expect(dead_code, reason = "the tests of the relay use all of the stand-ins")]
#[path = "relay/site/mod.rs"]
mod site;

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crowd::{Crowd, head};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use poplar_router::relay::connections::Connections;
use site::process::Router;
use site::store::Store;
use site::{full_body, serve, signed_response};
use tokio::sync::{Mutex, MutexGuard};

/// Prepaid tokens of the workspace.
const PREPAID: u64 = 100_000;
/// Memory of the router in MB, as in its settings.
const MEMORY_MB: u64 = 48;
/// File descriptors of the router, as in its settings.
const DESCRIPTORS: usize = 600;
/// Largest body in bytes, as in the configuration.
const MAX_BODY: usize = 1 << 20;
/// Size of the answers of the stand-in at paths of the route `read`.
const ANSWER_BYTES: usize = 1 << 20;
/// How long a crowd stays once it has sent everything.
const STAY: Duration = Duration::from_millis(700);
/// Ends a test that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// Held by the case that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A router with a store and a backend server.
struct Site {
    router: Router,
    address: SocketAddr,
    folder: std::path::PathBuf,
    peak_descriptors: Arc<AtomicUsize>,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts all for the case with this number and waits until a request is answered.
    async fn open(case: u64) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let store = Store::new();
        let configuration = site::configuration(7, PREPAID, 0);
        let mut configuration: serde_json::Value =
            serde_json::from_str(&configuration).expect("a configuration");
        configuration["limits"]["max_body_bytes"] = MAX_BODY.into();
        store.set("op", "", "config", &configuration.to_string());
        store.register("server-0", "plain", open_server().await);
        let folder = std::env::temp_dir().join(format!("clients-{}-{case}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let ip = site::process::address(case, 0);
        let mut router = Router::new(ip, store.open().await, &folder);
        let settings = folder.join(format!("{ip}.conf"));
        let settings = fs::File::options().append(true).open(settings);
        let limits = format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={DESCRIPTORS}\n");
        let written = settings.and_then(|mut file| file.write_all(limits.as_bytes()));
        written.expect("the settings are written");
        router.start();
        let site = Self {
            address: router.callers(),
            router,
            folder,
            peak_descriptors: Arc::default(),
            _turn: turn,
        };
        site.wait_answer().await;
        let descriptors = format!("/proc/{}/fd", site.router.id());
        let peak = Arc::downgrade(&site.peak_descriptors);
        tokio::spawn(async move {
            while let Some(peak) = peak.upgrade() {
                let open = fs::read_dir(&descriptors).map_or(0, Iterator::count);
                peak.fetch_max(open, Ordering::AcqRel);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        site
    }

    /// An address of another listener of the router.
    fn listener(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address.ip(), port)
    }

    /// Repeats an ordinary request until it is answered.
    async fn wait_answer(&self) {
        let answered = async {
            while self.ask("/once/x", Bytes::from_static(b"a body")).await != Some(StatusCode::OK) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let answered = tokio::time::timeout(HANG_LIMIT, answered).await;
        assert!(answered.is_ok(), "no request is answered");
    }

    async fn ask(&self, path: &str, body: Bytes) -> Option<StatusCode> {
        let request = Request::post(path)
            .header("host", "site.example")
            .header("api-key", "key-1")
            .header("x-poplarreel-attempt-id", "ordinary")
            .header("x-poplarreel-deadline-ms", "2000")
            .body(Full::from(body))
            .expect("a request");
        let mut sender = site::caller::connect(self.address).await?;
        let answer = tokio::time::timeout(Duration::from_secs(4), async {
            let answer = sender.send_request(request).await.ok()?;
            let status = answer.status();
            answer.into_body().collect().await.ok().map(|_| status)
        });
        answer.await.ok()?
    }

    /// Exposes the router to a crowd and checks that it stays within its limits.
    async fn withstand(&self, crowd: Crowd) {
        let before = self.router.peak_memory_kb();
        let mut open = crowd.open().await;
        tokio::time::sleep(STAY).await;
        self.wait_answer().await;
        let memory = self.router.peak_memory_kb();
        let descriptors = self.peak_descriptors.load(Ordering::Acquire);
        println!(
            "memory {before} kB before, {memory} kB at most; {descriptors} descriptors at most; \
             {} clients connected",
            open.count()
        );
        assert!(memory <= MEMORY_MB << 10, "{memory} kB");
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    }

    fn crowd(&self, count: usize, parts: Vec<Vec<u8>>) -> Crowd {
        Crowd {
            count,
            address: self.address,
            parts,
            pause: Duration::ZERO,
            reads: true,
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a stand-in for a plain service, whose answers to `/read/` are large.
async fn open_server() -> SocketAddr {
    serve(|request| async move {
        let (head, body) = request.into_parts();
        body.collect().await.ok()?;
        let id = head.headers.get("x-poplarreel-attempt-id")?.clone();
        let length = match head.uri.path().starts_with("/read/") {
            true => ANSWER_BYTES,
            false => 10,
        };
        let body = full_body(vec![b'a'; length]);
        Some(signed_response(id, StatusCode::OK, body))
    })
    .await
}

fn sized_head(path: &str, length: u64) -> Vec<u8> {
    head(path, &format!("content-length: {length}\r\n\r\n"))
}

/// Guards against the process being ended for its memory by bodies that don't end.
#[tokio::test]
async fn bodies_that_stop_one_byte_short() {
    let site = Site::open(1).await;
    let parts = vec![
        sized_head("/once/x", MAX_BODY as u64),
        vec![b'a'; MAX_BODY - 1],
    ];
    site.withstand(site.crowd(60, parts)).await;
}

/// Guards against memory for bodies of requests that no route takes.
#[tokio::test]
async fn bodies_at_a_path_without_a_route() {
    let site = Site::open(2).await;
    let parts = vec![
        sized_head("/nowhere", MAX_BODY as u64),
        vec![b'a'; MAX_BODY - 1],
    ];
    site.withstand(site.crowd(60, parts)).await;
}

/// Guards against small parts of a body that each keep a large buffer.
#[tokio::test]
async fn bodies_in_chunks_of_100_bytes() {
    let site = Site::open(3).await;
    let mut chunk = b"64\r\n".to_vec();
    chunk.extend([b'a'; 100]);
    chunk.extend(b"\r\n");
    let mut parts = vec![head("/once/x", "transfer-encoding: chunked\r\n\r\n")];
    parts.extend((0..500).map(|_| chunk.clone()));
    let crowd = Crowd {
        pause: Duration::from_millis(2),
        ..site.crowd(40, parts)
    };
    site.withstand(crowd).await;
}

/// Guards against memory for bodies whose declared length is beyond the limit.
#[tokio::test]
async fn bodies_with_a_declared_length_of_a_terabyte() {
    let site = Site::open(4).await;
    let parts = vec![sized_head("/once/x", 1 << 40), vec![b'a'; MAX_BODY - 1]];
    site.withstand(site.crowd(60, parts)).await;
}

/// Guards against memory and descriptors for heads that don't end.
#[tokio::test]
async fn heads_that_stop_at_12_kb() {
    let site = Site::open(5).await;
    let lines = format!("x-long: {}", "a".repeat(12 << 10));
    site.withstand(site.crowd(1500, vec![head("/once/x", &lines)]))
        .await;
}

/// Guards against connections without a request that take all descriptors.
#[tokio::test]
async fn connections_without_a_request() {
    let site = Site::open(6).await;
    site.withstand(site.crowd(1500, Vec::new())).await;
}

/// Guards against idle connections, whose request was answered, that take all
/// descriptors.
#[tokio::test]
async fn connections_idle_after_a_request() {
    let site = Site::open(7).await;
    let parts = vec![head("/once/x", "content-length: 1\r\n\r\na")];
    site.withstand(site.crowd(1500, parts)).await;
}

/// Guards against memory for heads of very many short fields.
#[tokio::test]
async fn heads_of_95_fields() {
    let site = Site::open(8).await;
    let fields: String = (0..90).map(|n| format!("x-{n}: {n}\r\n")).collect();
    let lines = format!("{fields}content-length: 1000\r\n\r\n");
    site.withstand(site.crowd(1500, vec![head("/once/x", &lines)]))
        .await;
}

/// Guards against the readiness listener as a way around the limits.
#[tokio::test]
async fn connections_at_the_readiness_listener() {
    let site = Site::open(9).await;
    let lines = format!("x-long: {}", "a".repeat(12 << 10));
    let crowd = Crowd {
        address: site.listener(7401),
        ..site.crowd(1500, vec![head("/any", &lines)])
    };
    site.withstand(crowd).await;
}

/// Guards against the metrics listener as a way around the limits.
#[tokio::test]
async fn connections_at_the_metrics_listener() {
    let site = Site::open(10).await;
    let lines = format!("x-long: {}", "a".repeat(12 << 10));
    let crowd = Crowd {
        address: site.listener(9464),
        ..site.crowd(1500, vec![head("/any", &lines)])
    };
    site.withstand(crowd).await;
}

/// Guards against memory for pipelined requests whose answers are not read.
#[tokio::test]
async fn pipelined_requests_whose_answers_are_not_read() {
    let site = Site::open(11).await;
    let request = head("/once/x", "content-length: 1\r\n\r\na");
    let crowd = Crowd {
        reads: false,
        ..site.crowd(40, vec![request; 2000])
    };
    site.withstand(crowd).await;
}

/// Guards against memory for large answers that are not read.
#[tokio::test]
async fn large_answers_that_are_not_read() {
    let site = Site::open(12).await;
    let request = head("/read/x", "content-length: 1\r\n\r\na");
    let crowd = Crowd {
        reads: false,
        ..site.crowd(200, vec![request])
    };
    site.withstand(crowd).await;
}

/// Guards against limits that refuse a legal request of an otherwise idle router: one of
/// the largest size that is sent slowly, and one with the largest head.
#[tokio::test]
async fn the_largest_legal_requests_are_served() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = Site::open(13).await;
    let lines = format!(
        "x-long: {}\r\ncontent-length: {MAX_BODY}\r\n\r\n",
        "a".repeat(15 << 10)
    );
    let stream = tokio::net::TcpStream::connect(site.address).await;
    let mut stream = stream.expect("a connection");
    let sent = stream.write_all(&head("/once/x", &lines)).await;
    sent.expect("the head is sent");
    for part in vec![b'a'; MAX_BODY].chunks(MAX_BODY / 32) {
        stream.write_all(part).await.expect("a part is sent");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(answer, *b"HTTP/1.1 200");
}

/// Guards against a router that goes on reading from a client whose request it refused.
#[tokio::test]
async fn a_refused_client_that_keeps_sending_is_disconnected() {
    use tokio::io::AsyncWriteExt;
    let site = Site::open(14).await;
    let stream = tokio::net::TcpStream::connect(site.address).await;
    let mut stream = stream.expect("a connection");
    let sent = stream.write_all(&sized_head("/once/x", 1 << 40)).await;
    sent.expect("the head is sent");
    let ended = AtomicBool::new(false);
    let sending = async {
        while stream.write_all(&[b'a'; 4096]).await.is_ok() {}
        ended.store(true, Ordering::Release);
    };
    let _ = tokio::time::timeout(HANG_LIMIT, sending).await;
    assert!(ended.load(Ordering::Acquire), "the router still reads");
    site.wait_answer().await;
}

/// Guards against a request that is served being cut off for a new connection, and against
/// a new one that is closed without a word although its request could be refused.
#[test]
fn a_new_connection_takes_the_place_of_an_idle_one_only() {
    let connections = Connections::open("test", Some(8));
    let (address, now) = (Ipv4Addr::LOCALHOST.into(), Instant::now());
    let places: Vec<_> = (0..8)
        .filter_map(|_| connections.admit(address, now))
        .collect();
    let serving: Vec<_> = places.iter().map(|p| p.client.begin_request()).collect();
    let refused = connections.admit(address, now).expect("a place to refuse");
    assert!(!refused.client.has_place);
    assert!(connections.admit(address, now).is_none());
    assert!(places.iter().all(|p| !p.client.close.is_cancelled()));
    drop((refused, serving));
    let next = connections.admit(address, now).expect("a place");
    assert!(next.client.has_place);
    let closed = places.iter().filter(|p| p.client.close.is_cancelled());
    assert_eq!(closed.count(), 1);
}
