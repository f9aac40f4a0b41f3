//! The plain service's stand-in.
