//! The way of a request: reserve, place, run, bill.

pub mod billing;
pub mod chat;
pub mod chunk;
mod refusals;
mod replay;
pub mod request;
pub mod service;
