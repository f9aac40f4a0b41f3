//! How a request is processed: reserve tokens, choose a server, run, bill.

pub mod billing;
pub mod chat;
pub mod chunk;
mod refusals;
mod replay;
pub mod request;
pub mod service;
