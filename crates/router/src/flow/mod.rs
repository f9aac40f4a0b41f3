//! The way of a request: reserve, place, run, bill.

pub mod chat;
pub mod chunk;
pub mod finish;
mod refused;
pub mod request;
pub mod service;
