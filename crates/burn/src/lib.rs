//! The service-level burn report.
//!
//! Targets met and missed come from the bills, which are durable; refusals from
//! the routers' own pages, which last as long as the routers. [`report`] turns
//! them into a report as of a given time; [`text`] and [`picture`] show it.

pub mod chart;
pub mod gather;
pub mod picture;
mod program;
pub mod report;
pub mod text;

pub use program::run;
