//! What a router sends to others and asks of the store, by the number of routers and
//! servers.

use std::time::{Duration, Instant};

use poplar_router::relay::gossip::period;
use poplar_router::relay::servers::MESSAGE_LIFETIME;

use crate::site::backend::{Backend, Behaviour};
use crate::site::{TestRelay, configured_store};
use crate::{KEY, PREPAID};

const FLEETS: [usize; 4] = [8, 60, 295, 1700];
/// Bytes of a message about a few requests.
const MESSAGE_BYTES: usize = 150;
/// Bytes a second that load alone may take at each router of a large fleet.
const MAX_LOAD_BYTES_PER_S: f64 = 6_000.0;
/// Time for which the list of servers changes, and the most reads of its changes in
/// it: one each tenth of the drain time.
const CHANGING_TIME: Duration = Duration::from_secs(3);
const MAX_READS: u32 = 15;
/// Calls of the feeds of the other tables that a relay of a test follows.
const MAX_OTHER_READS: u32 = 6;

/// Guards against load messages that take up the links of a large fleet, though each
/// expires before the next one comes, and against news that are held back with them.
#[test]
fn load_alone_takes_few_bytes_in_a_large_fleet() {
    for routers in FLEETS {
        let pause = period(MESSAGE_BYTES, routers - 1, false);
        let sent = (MESSAGE_BYTES * (routers - 1)) as f64 / pause.as_secs_f64();
        println!("{routers} routers: load each {pause:?}, {sent:.0} bytes/s");
        let arrives_in_time = pause <= MESSAGE_LIFETIME;
        assert!(arrives_in_time || sent <= MAX_LOAD_BYTES_PER_S);
        let news = period(MESSAGE_BYTES, routers - 1, true);
        assert!(
            news <= Duration::from_secs(5),
            "{routers} routers: {news:?}"
        );
    }
}

/// Guards against a call of the store for each change of a list of servers that changes
/// all the time.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_list_of_servers_are_read_together() {
    let store = configured_store(PREPAID);
    let (_server, address) = Backend::open(Behaviour::Answer).await;
    store.register_started("server-0", "plain", address, 1);
    let relay = TestRelay::open(store.open().await).await;
    let before = store.feeds();
    let began = Instant::now();
    let mut started_ms = 1;
    while began.elapsed() < CHANGING_TIME {
        started_ms += 1;
        store.register_started("server-0", "plain", address, started_ms);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let calls = store.feeds() - before;
    assert!(calls <= MAX_READS + MAX_OTHER_READS, "{calls} calls");
    let answer = relay.ask("/read/x", &[KEY, (crate::ID, "a")]).await;
    assert_eq!(answer.expect("an answer").status, 200);
}
