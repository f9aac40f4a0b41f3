//! What changes something.

pub mod apply;
pub mod budget;
pub mod drain;
pub mod recovery;
