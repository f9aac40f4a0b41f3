//! Stand-ins for engines, services and the platform.
//!
//! They speak what `docs/developers/protocols.md` says and are no part of the
//! product. Each has switches for its failures under `POST /control` and exact
//! counts of what it saw under `GET /control/counts`, so that proofs need not
//! take a router's word.

pub mod admission;
pub mod engine;
pub mod load;
pub mod options;
pub mod platform;
pub mod reply;
pub mod serve;
pub mod service;
pub mod shared;
