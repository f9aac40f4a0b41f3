//! Stand-in for the platform's table, object store and host list.

use std::net::{Ipv4Addr, SocketAddr};

use poplar_standins::platform::{self, Settings};
use poplar_standins::{options, serve};

/// Options besides `--listen`.
const OPTIONS: &[options::OptionSpec] = &[
    (
        "writes",
        "N",
        "limit on writes (transactions and objects) per second [400]",
    ),
    (
        "rows",
        "N",
        "rows of a transaction that count as one write [16]",
    ),
    (
        "reads",
        "N",
        "limit on reads (rows and objects) per second [2000]",
    ),
    (
        "limits",
        "yes|no",
        "whether these limits are enforced [yes]",
    ),
    (
        "host-lag",
        "TIME",
        "delay until a change of the host list is visible [0ms]",
    ),
    ("seed", "N", "random seed for jitter and lost answers [1]"),
];

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let options = options::parse("fake-platform", OPTIONS);
    let listen = options.get("listen", SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let default = Settings::default();
    let settings = Settings {
        write_rate: options.get("writes", default.write_rate),
        write_rows: options.get("rows", default.write_rows),
        read_rate: options.get("reads", default.read_rate),
        limits: options.flag("limits", default.limits),
        host_lag: options.duration("host-lag", default.host_lag),
        seed: options.get("seed", default.seed),
    };
    let server = platform::bind(listen, &settings).await?;
    serve::until_stopped(&server).await
}
