//! The way of a request: reserve, place, run, bill.

pub mod chat;
pub mod chunk;
pub mod finish;
mod refused;
mod replay;
pub mod request;
pub mod service;
