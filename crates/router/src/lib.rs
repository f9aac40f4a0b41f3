//! The router: one process on each entry host, between callers and backend
//! servers.
//!
//! A request comes in at the [`api`], goes its way in [`flow`], is paid from
//! the [`budget`], is placed by [`backends`], and is billed through the
//! platform. Routers talk to each other in [`peers`]. The tables that they all
//! share are in [`state`].

pub mod admin;
pub mod api;
pub mod backends;
pub mod budget;
pub mod burn;
pub mod claims;
pub mod config_sync;
pub mod flow;
pub mod lifecycle;
pub mod metrics;
pub mod peers;
pub mod predecessors;
pub mod refusal;
pub mod relay;
pub mod request_trace;
pub mod server;
pub mod settings;
pub mod state;
pub mod sync;
