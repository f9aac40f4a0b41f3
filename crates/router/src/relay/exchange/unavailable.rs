//! Refusals of requests for which no server was chosen.

use std::time::Instant;

use http::StatusCode;
use poplar_base::log;
use poplar_core::retry::Failure;

use super::Exchange;
use crate::relay::refusal::{self, Refusal};
use crate::relay::servers::Unavailable;

impl Exchange {
    /// Ends the exchange because no server was chosen; returns the response for the
    /// client.
    pub(super) fn refuse_unavailable(&mut self, why: Unavailable, now: Instant) -> Refusal {
        let (reason, wait) = refusal::unavailable(why);
        match why {
            Unavailable::TooLarge => {
                self.log_memory("request larger than engine memory");
                self.outcome = reason;
                // A retry at another router is no use unless its configuration is newer.
                Refusal {
                    by_configuration: self.runs == 0,
                    ..Refusal::new(StatusCode::BAD_GATEWAY, reason)
                }
            }
            _ => {
                if why == Unavailable::Full {
                    self.log_memory("engines have no room");
                }
                let mut refusal = self.give_up(Failure::Connect, reason, now);
                refusal.retry_after = refusal.retry_after.map(|short| wait.unwrap_or(short));
                refusal
            }
        }
    }

    fn log_memory(&self, event: &'static str) {
        let service = &self.request.service;
        let tokens = self.request.head.tokens;
        log::info(event)
            .request(&self.request.head.attempt_id)
            .with("service", service)
            .with("prompt", tokens.map_or(0, |t| t.prompt))
            .with("output", tokens.map_or(0, |t| t.output))
            .with("capacity", self.relay.kv_capacity(service))
            .write();
    }
}
