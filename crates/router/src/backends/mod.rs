//! Backend servers: discovery, load, health, and dispatch of requests to them.

pub mod crashes;
pub mod dispatch;
pub mod monitor;
mod pool;
