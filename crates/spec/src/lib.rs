//! Specifications of the core protocol, explored exhaustively.
