//! The door on the users' platform: opaque requests, passed on to the backend
//! servers that the operator's routes name.
//!
//! A request is identified, paid from its workspace's budget, placed, sent and
//! settled in [`flow`]; the answers of engines are passed on event by event in
//! [`stream`]. What the platform says is decoded by `poplar_platform`.

pub mod door;
pub mod events;
pub mod fleet;
pub mod flow;
pub mod gossip;
pub mod life;
pub mod purse;
pub mod refuse;
pub mod run;
pub mod state;
pub mod stream;
pub mod upstream;
pub mod watch;
