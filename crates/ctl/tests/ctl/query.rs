//! Output of the queries of routers, backend servers and the configuration.

use poplar_core::bill::Stage;
use poplar_core::config::{ConfigWire, ROW_KEY};
use poplar_ctl::command::drain::drain;
use poplar_ctl::fleet::Fleet;
use poplar_ctl::query::{config as stored, explain, routers};
use serde_json::json;

use crate::common::{State, add_router, config, fleet};

fn set_page(state: &mut State, path: &str, page: serde_json::Value) {
    state.pages.insert(path.to_owned(), page);
}

/// Returns a fleet of two live routers, of which b does not answer, and a sealed
/// one.
fn fleet_with_pages() -> Fleet {
    let (fleet, shared) = fleet();
    let mut state = shared.lock().unwrap();
    add_router(&mut state, "a.1", "a", Stage::Active, 0);
    add_router(&mut state, "b.1", "b", Stage::Active, 0);
    add_router(&mut state, "c.1", "c", Stage::Sealed, 0);
    let status = json!({"incarnation": "a.1", "generation": 3, "ready": true,
        "streams": 7, "peers": [{}]});
    set_page(&mut state, "a/v1/status", status);
    let backend = |name: &str, ejected: bool| {
        json!({"name": name, "centre": "north", "role": "engine", "serves": "scenes",
            "leaving": !ejected, "ejected": ejected, "in_flight": 2, "reason": "slow"})
    };
    let backends = json!({"backends": [backend("e2", true), backend("e1", false)]});
    set_page(&mut state, "a/v1/backends", backends.clone());
    for path in ["a/v1/drain", "c/v1/drain"] {
        set_page(&mut state, path, json!(null));
    }
    set_page(
        &mut state,
        "a/v1/explain/k1",
        json!({"id": "k1", "events": [
        {"at_ms": 1020, "step": "routed", "reason": "least time"},
        {"at_ms": 1000, "step": "admitted", "reason": "in time"}]}),
    );
    set_page(&mut state, "a/v1/explain/k2", json!(null));
    drop(state);
    fleet
}

#[tokio::test]
async fn routers_and_backends_are_listed_and_explained() {
    let fleet = fleet_with_pages();
    let all = routers::routers(&fleet, true).await.unwrap();
    let live = routers::routers(&fleet, false).await.unwrap();
    assert_eq!(live.text.lines().count() + 1, all.text.lines().count());
    let backends = routers::backends(&fleet).await.unwrap().text;
    let explained = explain::explain(&fleet, "k1").await.unwrap();
    assert_eq!(explained.failure, None);
    insta::assert_snapshot!(format!("{}\n{backends}\n{}", all.text, explained.text));
    let unknown = explain::explain(&fleet, "k2").await.unwrap();
    assert!(unknown.failure.is_some());
}

#[tokio::test]
async fn only_a_live_router_is_drained_by_name_or_incarnation() {
    let fleet = fleet_with_pages();
    for name in ["a", "a.1"] {
        assert_eq!(drain(&fleet, name).await.unwrap().text, "a.1 is draining\n");
    }
    for name in ["b", "c", "c.1", "d"] {
        assert!(drain(&fleet, name).await.is_err());
    }
}

#[tokio::test]
async fn the_configuration_is_shown_and_compared() {
    let (fleet, state) = fleet();
    let mut config = config("2s");
    config.generation = 4;
    state
        .lock()
        .unwrap()
        .set(ROW_KEY, &ConfigWire::from(&config));
    let same = stored::diff(&fleet, &config).await.unwrap();
    assert_eq!(same.text, "no difference from generation 4\n");
    insta::assert_snapshot!(stored::show(&fleet).await.unwrap().text);
}
