//! Keeps the configuration up to date.
//!
//! A router polls the table for newer generations and also accepts a newer
//! configuration from a peer. The poll also shows whether this router's own
//! row was sealed.

use std::sync::Arc;
use std::time::Duration;

use poplar_base::log;
use poplar_base::platform::{Error, Row};
use poplar_core::budget::rows::incarnation_key;
use poplar_core::config::{self, Config, ConfigWire};
use poplar_core::generation::Source;

use crate::state::State;

/// Puts a configuration in force if it is newer, and wakes gossip so that
/// peers receive it at once.
pub fn apply(state: &State, config: Config, from: Source) {
    let generation = config.generation;
    if state.apply(config, from) {
        log::info("configuration applied")
            .with("generation", generation)
            .with("from", format_args!("{from:?}"))
            .write();
        state.gossip_wake.notify_waiters();
    }
}

/// Reads the configuration from the table, and checks whether this router was
/// sealed.
///
/// # Errors
/// Returns the platform's error, or `Malformed` for rows that can't be decoded.
pub async fn read(state: &State) -> Result<(), Error> {
    let keys = vec![
        config::GENERATION_KEY.to_owned(),
        incarnation_key(&state.incarnation),
    ];
    let rows = (state.platform.read)(keys).await?;
    for row in &rows {
        if row.key == config::GENERATION_KEY {
            let generation = row.decode::<u64>()?;
            // Without a generation row nothing tells whether the configuration
            // is new, so it is read every time.
            if !generation.is_some_and(|g| state.is_current(g)) {
                apply_row(state, &state.platform.row(config::ROW_KEY).await?)?;
            }
        } else if state.row_version() != 0
            && row.version != state.row_version()
            && !state.is_draining()
        {
            log::error("router sealed")
                .with("router", &state.incarnation)
                .write();
            state.mark_sealed();
        }
    }
    Ok(())
}

fn apply_row(state: &State, row: &Row) -> Result<(), Error> {
    if let Some(wire) = row.decode::<ConfigWire>()? {
        let config = Config::try_from(wire).map_err(|e| Error::Malformed(e.to_string()))?;
        apply(state, config, Source::Table);
    }
    Ok(())
}

/// Polls the table. Only the first of consecutive failures is logged.
pub async fn watch(state: Arc<State>) {
    let mut failed = false;
    loop {
        match read(&state).await {
            Ok(()) => failed = false,
            Err(why) if !failed => {
                log::warn("configuration read failed").reason(why).write();
                failed = true;
            }
            Err(_) => {}
        }
        let interval = state.settings.platform.poll_interval;
        tokio::time::sleep(jittered(interval)).await;
    }
}

/// Varies the poll interval, so that routers that started together don't read
/// the table at the same moments.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.8..1.2))
}
