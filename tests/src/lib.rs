//! Shared utilities of the integration tests.
