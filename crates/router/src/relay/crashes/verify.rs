//! Finds out whether a server that stopped answering is dead.
//!
//! Other requests show that only by chance, since they avoid a server that
//! failed. A refused connection shows that the process has ended. A connection
//! that gets no answer shows nothing while the server is registered: the network
//! may be cut between here and there.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poplar_core::deployment::Server;
use poplar_core::id::Name;

use super::{Crashes, Evidence};
use crate::relay::upstream::ConnectError;
use crate::sync::lock;

/// Waits before each connection. A process that crashes may keep its listening
/// socket open for a moment.
const WAITS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(250),
];

/// A verification that is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Verification {
    server: Name,
    started_ms: u64,
    /// Whether the server is registered.
    listed: bool,
}

impl Crashes {
    /// Connects to a server until that shows that it is dead, a few times at
    /// most. A server that is not registered and gives no answer is dead, too;
    /// one that left without notice still accepts connections for some time.
    pub fn verify(self: &Arc<Self>, server: &Server, listed: bool) {
        let verification = Verification {
            server: server.id.clone(),
            started_ms: server.started_ms,
            listed,
        };
        // A request that is dropped while the process ends is not verified.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        {
            let mut state = lock(&self.state);
            if state.verifying.contains(&verification) {
                return;
            }
            state.verifying.push(verification.clone());
        }
        let (crashes, server) = (self.clone(), server.clone());
        runtime.spawn(async move {
            if let Some(evidence) = crashes.find_evidence(&server, listed).await {
                crashes.record_dead_server(&server, evidence, Instant::now());
            }
            let verifying = &mut lock(&crashes.state).verifying;
            verifying.retain(|v| *v != verification);
        });
    }

    async fn find_evidence(&self, server: &Server, listed: bool) -> Option<Evidence> {
        for wait in WAITS {
            tokio::time::sleep(wait).await;
            match self.paths.probe(server).await {
                Err(ConnectError::Refused) => return Some(Evidence::Refused),
                Err(ConnectError::NoAnswer) if !listed => return Some(Evidence::Unlisted),
                Err(ConnectError::NoAnswer) | Ok(()) => {}
            }
        }
        None
    }
}
