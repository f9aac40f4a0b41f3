//! Settings, logs, command line and the platform's client.

pub mod args;
pub mod http;
pub mod log;
pub mod log_limit;
pub mod platform;
pub mod recovery;
pub mod settings;
