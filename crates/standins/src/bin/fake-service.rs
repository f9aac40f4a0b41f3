//! Stand-in for a plain service.

use std::net::{Ipv4Addr, SocketAddr};

use poplar_standins::service::{self, Settings};
use poplar_standins::{options, serve};

/// Options besides `--listen`.
const OPTIONS: &[options::OptionSpec] = &[
    ("name", "NAME", "name of the host [service]"),
    ("service", "SERVICE", "service that it offers [service]"),
    ("delay", "TIME", "time that a call takes to run [5ms]"),
    ("slots", "N", "calls that run at once [32]"),
    (
        "fenced",
        "yes|no",
        "whether fencing numbers are checked [no]",
    ),
    ("load-lag", "TIME", "age of load reports [0ms]"),
];

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let options = options::parse("fake-service", OPTIONS);
    let listen = options.get("listen", SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let default = Settings::default();
    let settings = Settings {
        name: options.get("name", default.name),
        service: options.get("service", default.service),
        delay: options.duration("delay", default.delay),
        slots: options.get("slots", default.slots),
        fenced: options.flag("fenced", default.fenced),
        load_lag: options.duration("load-lag", default.load_lag),
    };
    let server = service::bind(listen, &settings).await?;
    serve::until_stopped(&server).await
}
