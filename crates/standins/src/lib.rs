//! Stand-ins for engines, services and the platform, for use in tests.
//!
//! They implement the protocols described in `docs/developers/protocols.md` and
//! are not part of the product. Each one injects faults on request (`POST
//! /control`) and counts exactly what it received (`GET /control/counts`), so
//! that tests can check a router against an independent record.

pub mod admission;
pub mod engine;
pub mod load;
pub mod options;
pub mod platform;
pub mod reply;
pub mod serve;
pub mod service;
pub mod shared;
