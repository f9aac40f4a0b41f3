//! Settings, logs, command line and the platform's client.
