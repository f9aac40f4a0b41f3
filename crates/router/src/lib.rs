//! The router: one process on each entry host, between callers and backend
//! servers.
//!
//! A request arrives at the [`api`], is processed by [`flow`], reserves tokens
//! from the [`budget`], is sent to a server that [`backends`] chooses, and is
//! billed through the platform. [`peers`] is the protocol between routers, and
//! [`state`] holds what the tasks of one router share. The variant for the users'
//! platform is in [`relay`].

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
