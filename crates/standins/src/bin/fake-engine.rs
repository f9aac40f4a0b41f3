//! Stand-in for a model engine.

use std::net::{Ipv4Addr, SocketAddr};

use poplar_standins::engine::{self, Settings};
use poplar_standins::{options, serve};

/// Options besides `--listen`.
const OPTIONS: &[options::OptionSpec] = &[
    ("name", "NAME", "name of the engine [engine]"),
    ("model", "MODEL", "model that it offers [model]"),
    ("slots", "N", "requests that run at once [16]"),
    ("step", "TIME", "duration of a step of the batch [6ms]"),
    ("prefill", "N", "prompt tokens processed per step [2048]"),
    (
        "blocks",
        "N",
        "capacity of the prefix cache in blocks of 256 bytes [4096]",
    ),
    (
        "fenced",
        "yes|no",
        "whether fencing numbers are checked [no]",
    ),
    ("load-lag", "TIME", "age of load reports [0ms]"),
    (
        "cache-lag",
        "TIME",
        "delay until a cache event is published [0ms]",
    ),
    (
        "cache-gap",
        "RATE",
        "fraction of cache events that are lost, 0 to 1 [0]",
    ),
    ("seed", "N", "random seed for the lost events [1]"),
    (
        "max-waiting",
        "N",
        "requests that may wait for the batch [256]",
    ),
];

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let options = options::parse("fake-engine", OPTIONS);
    let listen = options.get("listen", SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let default = Settings::default();
    let settings = Settings {
        name: options.get("name", default.name),
        model: options.get("model", default.model),
        slots: options.get("slots", default.slots),
        step_time: options.duration("step", default.step_time),
        prefill: options.get("prefill", default.prefill),
        cache_blocks: options.get("blocks", default.cache_blocks),
        fenced: options.flag("fenced", default.fenced),
        load_lag: options.duration("load-lag", default.load_lag),
        cache_lag: options.duration("cache-lag", default.cache_lag),
        event_loss: options.get("cache-gap", default.event_loss),
        seed: options.get("seed", default.seed),
        max_waiting: options.get("max-waiting", default.max_waiting),
    };
    let engine = engine::bind(listen, settings).await?;
    tokio::select! {
        stopped = serve::until_stopped(&engine.server) => stopped,
        () = engine.drained() => Ok(()),
    }
}
