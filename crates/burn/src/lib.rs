//! The service-level burn report.
//!
//! Answers that met or missed their targets are counted from the bills, which are
//! durable. Refusals are read from the routers' admin addresses and are lost when
//! a router ends. [`report`] computes the report as of a given time; [`text`] and
//! [`picture`] format it.

pub mod chart;
pub mod gather;
pub mod picture;
mod program;
pub mod report;
pub mod text;

pub use program::run;
