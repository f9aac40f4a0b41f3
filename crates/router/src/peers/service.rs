//! The gRPC service that this router offers to its peers.

use std::sync::Arc;
use std::time::Instant;

use poplar_core::bill::Bill;
use poplar_core::id::{Incarnation, RequestId};
use poplar_peer::generated::{
    Attempt, GiveReply, GiveRequest, GossipReply, GossipRequest, Handover, HoldReply, HoldRequest,
    InheritReply, JoinRequest, OutcomeReply, PromiseReply, PromiseRequest, ReleaseReply,
};
use poplar_peer::{Peer, PeerServer};
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use super::gossip;
use crate::claims;
use crate::state::State;
use crate::sync::lock;

struct PeerService {
    state: Arc<State>,
}

/// Starts a task that serves the peers that connect to `listener`.
pub fn spawn(state: &Arc<State>, listener: TcpListener) {
    let service = PeerServer::new(PeerService {
        state: state.clone(),
    });
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(async move {
        let served = Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming);
        if let Err(why) = served.await {
            poplar_base::log::error("peer service stopped")
                .reason(why)
                .write();
        }
    });
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn gossip(
        &self,
        request: Request<GossipRequest>,
    ) -> Result<Response<GossipReply>, Status> {
        let request = request.into_inner();
        let state = &self.state;
        let mut behind = false;
        if let Some(sender) = &request.sender {
            state.peers.record_contact(sender, Instant::now());
            behind = sender.generation < state.config().generation;
        }
        state
            .crashes
            .merge_sightings(request.sightings, Instant::now());
        gossip::apply_config(state, &request.config);
        let config = state.config();
        Ok(Response::new(GossipReply {
            sender: Some(gossip::describe_self(state)),
            sightings: state.crashes.export_sightings(Instant::now()),
            config: if behind {
                gossip::encode_config(&config)
            } else {
                Vec::new()
            },
        }))
    }

    async fn give(&self, request: Request<GiveRequest>) -> Result<Response<GiveReply>, Status> {
        if self.state.is_sealed() {
            return Err(Status::failed_precondition("sealed"));
        }
        Ok(Response::new(
            self.state.budgets.handle_give(request.get_ref()),
        ))
    }

    async fn hold(&self, request: Request<HoldRequest>) -> Result<Response<HoldReply>, Status> {
        let request = request.into_inner();
        if self.state.is_sealed() || self.state.is_draining() {
            // This router stops soon, and would lose the copies.
            return Err(Status::failed_precondition("ending"));
        }
        let origin = Incarnation(request.origin.as_str().into());
        let mut copies = lock(&self.state.peers.copies);
        for bill in &request.bills {
            let bill: Bill = serde_json::from_slice(bill)
                .map_err(|e| Status::invalid_argument(e.to_string()))?;
            if !copies.insert(&origin, bill) {
                return Err(Status::resource_exhausted("no more copies are held"));
            }
        }
        for id in &request.done {
            copies.remove(&origin, &RequestId(id.as_str().into()));
        }
        Ok(Response::new(HoldReply {}))
    }

    async fn promise(
        &self,
        request: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        let request = request.into_inner();
        let id = request.attempt.as_ref().map(|a| a.request.as_str().into());
        let promise = claims::handle_promise(&self.state, request);
        match (id, promise) {
            (Some(id), Some(promise)) => {
                let reply = claims::wire::encode_promise(&RequestId(id), &promise);
                Ok(Response::new(reply))
            }
            _ => Err(Status::invalid_argument("no attempt")),
        }
    }

    async fn release(&self, request: Request<Attempt>) -> Result<Response<ReleaseReply>, Status> {
        claims::handle_release(&self.state, request.into_inner());
        Ok(Response::new(ReleaseReply {}))
    }

    async fn outcome(&self, request: Request<Attempt>) -> Result<Response<OutcomeReply>, Status> {
        let abandoned = claims::handle_outcome(&self.state, request.into_inner());
        Ok(Response::new(OutcomeReply { abandoned }))
    }

    async fn join(&self, request: Request<JoinRequest>) -> Result<Response<Handover>, Status> {
        let handover = claims::group::acknowledge(&self.state, &request.get_ref().group);
        Ok(Response::new(handover.unwrap_or_default()))
    }

    async fn inherit(&self, request: Request<Handover>) -> Result<Response<InheritReply>, Status> {
        if claims::handle_inherit(&self.state, request.into_inner()) {
            Ok(Response::new(InheritReply {}))
        } else {
            Err(Status::failed_precondition("not active"))
        }
    }
}
