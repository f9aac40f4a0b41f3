//! The router that runs on each entry host.
