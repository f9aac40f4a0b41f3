//! Settings, logs, command line and the platform's client.

pub mod args;
pub mod ending;
pub mod http;
pub mod limit;
pub mod log;
pub mod platform;
pub mod settings;
