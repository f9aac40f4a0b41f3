//! The gRPC protocol between routers.
//!
//! The messages and the service are generated from `proto/peer.proto`. The
//! generated code is committed, and a test checks that it matches the file.

/// Generated messages, client and server.
#[expect(
    missing_docs,
    unused_qualifications,
    clippy::allow_attributes,
    reason = "generated code"
)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod generated;

pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
