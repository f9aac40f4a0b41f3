//! Backend servers: which there are, how they fare, and what goes to them.

pub mod crashes;
pub mod dispatch;
pub mod monitor;
mod pool;
