//! What the programs share: settings files, logs, the command line, HTTP and the
//! client of the platform.

pub mod args;
pub mod http;
pub mod log;
pub mod log_limit;
pub mod platform;
pub mod recovery;
pub mod settings;
