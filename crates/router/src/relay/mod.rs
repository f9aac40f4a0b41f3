//! The door on the users' platform: opaque requests, passed on to the backend
//! servers that the operator's routes name.
//!
//! A request is identified, paid from its workspace's budget, placed, sent and
//! settled in [`flow`]; the answers of engines are passed on event by event in
//! [`stream`]. What the platform says is decoded by `poplar_platform`.

pub mod budgets;
pub mod exchange;
pub mod gossip;
pub mod handler;
pub mod lifecycle;
pub mod listeners;
pub mod refusal;
pub mod servers;
pub mod sse;
pub mod state;
pub mod stream;
pub mod upstream;
pub mod watch;
