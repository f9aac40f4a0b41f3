//! Differences between two configurations of the users' platform, in whole sentences.

use poplar_core::config::hash_key;
use poplar_core::deployment::{Deployment, Route, RouteKind, Service, Workspace};
use poplar_core::id::Name;

use crate::config_diff::{Change, Fields, compare_entries};

/// Digits of the hash that stands for an access key.
const KEY_DIGITS: usize = 8;

type Entries = Vec<(Name, Fields)>;
/// Lists the entries of one kind in a configuration, sorted by name.
type List = fn(&Deployment) -> Entries;

/// The changes from `before` to `after`, by name: routes, services, workspaces, limits.
pub fn diff(before: &Deployment, after: &Deployment) -> Vec<Change> {
    let kinds: [(&'static str, List); 4] = [
        ("route", routes),
        ("service", services),
        ("workspace", workspaces),
        ("limit", limits),
    ];
    let changes = kinds.into_iter();
    let changes = changes.flat_map(|(kind, of)| compare_entries(kind, &of(before), &of(after)));
    changes.collect()
}

/// A change as a sentence.
pub fn sentence(change: &Change) -> String {
    let Change {
        kind,
        name,
        field,
        before,
        after,
    } = change;
    match (*field, before.is_empty()) {
        ("", true) => format!("The {kind} {name:?} is added: {after}."),
        ("", false) => format!("The {kind} {name:?} is removed: {before}."),
        _ => format!("The {field} of the {kind} {name:?} changes from {before} to {after}."),
    }
}

fn routes(deployment: &Deployment) -> Entries {
    let entries = deployment.routes.iter();
    let mut entries: Entries = entries.map(|r| (r.name.clone(), route_fields(r))).collect();
    entries.sort_by(|a, b| a.0.cmp(&b.0));
    entries
}

fn route_fields(route: &Route) -> Fields {
    let kind = match route.kind {
        RouteKind::Idempotent => "safe",
        RouteKind::Once => "unsafe",
        RouteKind::Stream { resumable: true } => "resumable stream",
        RouteKind::Stream { resumable: false } => "stream",
    };
    let services = route.services.iter();
    let services: Vec<String> = services.map(|(name, w)| format!("{name}:{w}")).collect();
    vec![
        ("host", route.host.to_string()),
        ("prefix", route.path_prefix.to_string()),
        ("kind", kind.to_owned()),
        ("timeout", format!("{:?}", route.timeout)),
        ("target latency", format!("{:?}", route.target_latency)),
        ("priority", route.priority.to_string()),
        ("services", services.join(",")),
        ("attempts", route.max_attempts.to_string()),
        ("anonymous access", route.allow_anonymous.to_string()),
    ]
}

fn services(deployment: &Deployment) -> Entries {
    let entries = deployment.services.iter();
    let entries = entries.map(|(name, service)| (name.clone(), service_fields(service)));
    entries.collect()
}

fn service_fields(service: &Service) -> Fields {
    let figure = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
    let engine = service.engine;
    vec![
        ("connections", service.max_connections.to_string()),
        ("slots", figure(engine.map(|e| u64::from(e.slots)))),
        ("kv_capacity", figure(engine.map(|e| e.kv_capacity))),
        ("stride", figure(engine.map(|e| u64::from(e.stride)))),
    ]
}

fn workspaces(deployment: &Deployment) -> Entries {
    let entries = deployment.workspaces.iter();
    let entries = entries.map(|(name, w)| (name.clone(), workspace_fields(deployment, w)));
    entries.collect()
}

/// Keys are secret, so the first digits of their hashes are shown.
fn workspace_fields(deployment: &Deployment, workspace: &Workspace) -> Fields {
    let keys = deployment.keys.iter();
    let keys = keys.filter(|(_, owner)| **owner == workspace.name);
    let hash = |key: &str| -> String { hash_key(key).chars().take(KEY_DIGITS).collect() };
    let keys: Vec<String> = keys.map(|(key, _)| hash(key)).collect();
    let priority = workspace.priority.map(|priority| priority.to_string());
    let prepaid = workspace.prepaid.map(|tokens| tokens.to_string());
    vec![
        ("priority", priority.unwrap_or_else(|| "-".to_owned())),
        ("budget", prepaid.unwrap_or_else(|| "-".to_owned())),
        ("key list", keys.join(",")),
    ]
}

fn limits(deployment: &Deployment) -> Entries {
    let limits = deployment.limits;
    let entries = [
        ("header_timeout", format!("{:?}", limits.receive_timeout)),
        ("idle_timeout", format!("{:?}", limits.idle_timeout)),
        ("max_body_bytes", limits.max_body.to_string()),
        ("max_header_bytes", limits.max_head.to_string()),
    ];
    entries
        .map(|(name, v)| (name.into(), vec![("value", v)]))
        .into()
}
