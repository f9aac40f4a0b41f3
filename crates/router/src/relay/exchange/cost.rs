//! What is learned of the cost of a request once it is complete.

use std::time::Instant;

use super::Exchange;
use crate::relay::servers::InFlight;

impl Exchange {
    /// Records what a complete stream cost. The output of one that the client resumes is
    /// not known as a whole.
    pub fn record_stream_cost(&self, at: &InFlight, now: Instant) {
        if !self.request.is_resumption() {
            let costs = &self.relay.costs;
            costs.record_stream(&self.request, at, self.sends == 1, self.output, now);
        }
    }

    /// Records what a complete call cost.
    pub fn record_call_cost(&self, at: &mut InFlight, now: Instant) {
        self.relay.costs.record_call(&self.request, at, now);
    }
}
