//! Keeps the configuration up to date from the table and from peers.

use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::platform::{Error, Row};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::config::{self, Config, ConfigWire};
use poplar_core::generation::Source;

use crate::state::State;

/// Puts a configuration in force where it is newer, and tells peers at once.
pub fn apply(state: &State, config: Config, from: Source) {
    let generation = config.generation;
    if state.apply(config, from) {
        log::info("configuration")
            .with("generation", generation)
            .with("from", format_args!("{from:?}"))
            .write();
        state.refresh.notify_waiters();
    }
}

/// Reads the configuration, and whether this router was sealed.
///
/// # Errors
/// As the platform's.
pub async fn read(state: &State) -> Result<(), Error> {
    let keys = vec![
        config::GENERATION_KEY.to_owned(),
        incarnation_key(&state.me),
    ];
    let rows = (state.platform.read)(keys).await?;
    for row in &rows {
        if row.key == config::GENERATION_KEY {
            let generation = row.decode::<u64>()?;
            // A configuration that was written without it is read each time.
            if !generation.is_some_and(|g| state.is_current(g)) {
                learn(state, &state.platform.row(config::ROW_KEY).await?)?;
            }
        } else if state.router() != 0 && row.version != state.router() && !state.is_draining() {
            log::error("sealed").with("router", &state.me).write();
            state.seal();
        }
    }
    Ok(())
}

fn learn(state: &State, row: &Row) -> Result<(), Error> {
    if let Some(wire) = row.decode::<ConfigWire>()? {
        let config = Config::try_from(wire).map_err(|e| Error::Malformed(e.to_string()))?;
        apply(state, config, Source::Table);
    }
    Ok(())
}

/// Reads the table again and again.
pub async fn watch(state: Arc<State>) {
    let mut failed = false;
    loop {
        match read(&state).await {
            Ok(()) => failed = false,
            Err(why) if !failed => {
                log::warn("configuration").reason(why).write();
                failed = true;
            }
            Err(_) => {}
        }
        let wait = state.settings.platform.poll;
        tokio::time::sleep(jittered(wait)).await;
    }
}

/// Routers that started together must not read together.
fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(0.8..1.2))
}
