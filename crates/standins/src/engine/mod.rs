//! The model engine's stand-in.
