//! Queries of the routers and of their view of the backend servers.

use poplar_core::bill::Stage;
use poplar_core::id::Incarnation;
use poplar_core::sorted::SortedVec;
use serde::Serialize;
use serde_json::Value;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::{Output, Table};

/// A router according to its row and its status page.
#[derive(Debug)]
#[derive(Serialize)]
struct RouterListing {
    incarnation: Incarnation,
    centre: String,
    stage: Stage,
    /// The status page; null if the router does not answer.
    status: Value,
}

/// Lists the routers that are not sealed; with `all`, the sealed ones too.
///
/// # Errors
/// Any error of the platform.
pub async fn routers(fleet: &Fleet, all: bool) -> Result<Output> {
    let mut routers = fleet.routers().await?;
    routers.retain(|r| all || r.is_live());
    let pages = fleet.query_admin(&routers, "/v1/status").await;
    let listed: Vec<RouterListing> = routers
        .into_iter()
        .zip(pages)
        .map(|(router, page)| RouterListing {
            centre: router.row.centre.to_string(),
            stage: router.row.stage,
            status: page
                .ok()
                .filter(|page| page["incarnation"] == *router.incarnation.0)
                .unwrap_or(Value::Null),
            incarnation: router.incarnation,
        })
        .collect();
    Ok(Output::new(&listed, router_table(&listed)))
}

fn router_table(listed: &[RouterListing]) -> String {
    let mut table = Table::new([
        "ROUTER",
        "CENTRE",
        "STAGE",
        "GENERATION",
        "READY",
        "STREAMS",
        "PEERS",
    ]);
    for router in listed {
        let status = &router.status;
        let peers = status["peers"].as_array().map(Vec::len);
        table.add_row([
            router.incarnation.to_string(),
            router.centre.clone(),
            format!("{:?}", router.stage).to_lowercase(),
            cell(&status["generation"]),
            cell(&status["ready"]),
            cell(&status["streams"]),
            peers.map_or_else(|| "-".to_owned(), |count| count.to_string()),
        ]);
    }
    table.text()
}

/// Formats a JSON value as a cell of a table.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// A backend server, summed over the routers.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Backend {
    name: String,
    centre: String,
    role: String,
    serves: String,
    leaving: bool,
    /// Number of routers that have ejected it after failures.
    ejected: u64,
    /// Number of routers that list it.
    seen: u64,
    /// Requests in flight at it, from all routers.
    in_flight: u64,
    /// The first reason that a router gives for not using it.
    reason: String,
}

/// Lists the backend servers, summed over all routers that answer.
///
/// # Errors
/// Any error of the platform.
pub async fn backends(fleet: &Fleet) -> Result<Output> {
    let routers = fleet.live_routers().await?;
    let pages = fleet.query_admin(&routers, "/v1/backends").await;
    let mut sums: SortedVec<String, Backend> = SortedVec::new();
    for page in pages.into_iter().flatten() {
        for entry in page["backends"].as_array().into_iter().flatten() {
            add_entry(&mut sums, entry);
        }
    }
    let listed: Vec<Backend> = sums.iter().map(|(_, backend)| backend.clone()).collect();
    Ok(Output::new(&listed, backend_table(&listed)))
}

fn add_entry(sums: &mut SortedVec<String, Backend>, entry: &Value) {
    let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    let backend = sums.get_or_insert_with(text("name"), || Backend {
        name: text("name"),
        centre: text("centre"),
        role: text("role"),
        serves: text("serves"),
        leaving: false,
        ejected: 0,
        seen: 0,
        in_flight: 0,
        reason: String::new(),
    });
    backend.seen += 1;
    backend.leaving |= entry["leaving"] == true;
    backend.ejected += u64::from(entry["ejected"] == true);
    backend.in_flight += entry["in_flight"].as_u64().unwrap_or(0);
    if backend.reason.is_empty() {
        backend.reason = text("reason");
    }
}

fn backend_table(listed: &[Backend]) -> String {
    let mut table = Table::new([
        "BACKEND",
        "CENTRE",
        "ROLE",
        "SERVES",
        "LEAVING",
        "EJECTED BY",
        "IN FLIGHT",
        "REASON",
    ]);
    for b in listed {
        table.add_row([
            b.name.clone(),
            b.centre.clone(),
            b.role.clone(),
            b.serves.clone(),
            cell(&Value::Bool(b.leaving)),
            format!("{} of {}", b.ejected, b.seen),
            b.in_flight.to_string(),
            cell(&Value::String(b.reason.clone())),
        ]);
    }
    table.text()
}
