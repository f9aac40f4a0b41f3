//! Commands that change something.

pub mod apply;
pub mod budget;
pub mod drain;
pub mod recovery;
