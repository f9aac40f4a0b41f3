//! The service-level burn report.
