//! Settings, logs, command line and the platform's client.

pub mod http;
pub mod platform;
