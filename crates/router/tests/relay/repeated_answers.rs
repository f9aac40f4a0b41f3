//! A faulty server that writes an earlier answer once more on its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::site::{TestRelay, configured_store};
use crate::{ID, KEY, PREPAID};

/// Requests of one test, of which every second one is refused.
const REQUESTS: usize = 12;

/// A server that counts connections and requests.
#[derive(Debug, Default)]
struct Repeating {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

impl Repeating {
    async fn open() -> (Arc<Self>, SocketAddr) {
        let server = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        (server, address)
    }

    /// Answers each request on a connection that it keeps, and each time repeats the
    /// answer right after it.
    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = vec![0; 8192];
        while let Ok(length) = stream.read(&mut buffer).await {
            if length == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&buffer[..length]).to_ascii_lowercase();
            let id = text.split("attempt-id: ").nth(1).unwrap_or_default();
            let id = id.split("\r\n").next().unwrap_or_default();
            let n = self.requests.fetch_add(1, Ordering::AcqRel);
            let answer = if n.is_multiple_of(2) {
                "HTTP/1.1 503 Service Unavailable\r\nx-poplarreel-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
                    .to_owned()
            } else {
                format!(
                    "HTTP/1.1 200 OK\r\nx-poplarreel-attempt-id: {id}\r\n\
                     x-poplarreel-response-seal: s\r\ncontent-length: 5\r\n\r\nwhole"
                )
            };
            let twice = answer.repeat(2);
            if stream.write_all(twice.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Guards against an earlier refusal, or an earlier answer, that is taken for the answer
/// to a later request. Each request has a connection of its own; where connections are
/// kept, this has to be prevented in another way.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_comes_twice_is_not_taken_for_that_of_the_next_request() {
    let store = configured_store(PREPAID);
    let (server, address) = Repeating::open().await;
    store.register("plain-0", "plain", address);
    let relay = TestRelay::open(store.open().await).await;
    for n in 0..REQUESTS {
        let id = format!("request-{n}");
        let before = server.requests.load(Ordering::Acquire);
        let answer = relay.ask("/once/x", &[KEY, (ID, &id)]).await;
        let answer = answer.expect("an answer");
        let asked = server.requests.load(Ordering::Acquire) - before;
        // The last answer of the server decides.
        let served = (before + asked - 1) % 2 == 1;
        let expected = if served { 200 } else { 503 };
        assert_eq!(
            answer.status.as_u16(),
            expected,
            "{id}, asked {asked} times"
        );
        assert_eq!(&*answer.body == b"whole", served, "{id}");
    }
    let requests = server.requests.load(Ordering::Acquire);
    assert_eq!(server.connections.load(Ordering::Acquire), requests);
}
