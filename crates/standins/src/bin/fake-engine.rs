//! Stand-in for a model engine.

use std::net::{Ipv4Addr, SocketAddr};

use poplar_standins::engine::{self, Settings};
use poplar_standins::{options, serve};

/// Options besides `--listen`.
const OPTIONS: &[options::OptionSpec] = &[
    ("name", "NAME", "the engine's name [engine]"),
    ("model", "MODEL", "the model it offers [model]"),
    ("slots", "N", "requests in the batch [16]"),
    ("step", "TIME", "time of a step of the whole batch [6ms]"),
    (
        "prefill",
        "N",
        "prompt tokens worked through in a step [2048]",
    ),
    (
        "blocks",
        "N",
        "blocks of 256 bytes in the prefix cache [4096]",
    ),
    (
        "fenced",
        "yes|no",
        "whether fencing numbers are checked [no]",
    ),
    ("load-lag", "TIME", "age of load reports [0ms]"),
    ("cache-lag", "TIME", "until a cache event shows [0ms]"),
    (
        "cache-gap",
        "RATE",
        "share of cache events that get lost [0]",
    ),
    ("seed", "N", "seed of the losses [1]"),
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
