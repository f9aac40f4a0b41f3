//! Backend servers: which there are, how they fare, and what goes to them.

pub mod dispatch;
pub mod pool;
pub mod roster;
