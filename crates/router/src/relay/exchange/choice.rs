//! Chooses the server of an attempt.

use std::time::Instant;

use poplar_base::log;
use poplar_core::affinity::Query;

use super::Exchange;
use crate::relay::servers::{Demand, InFlight, Requirement, Unavailable};

impl Exchange {
    /// Chooses a server for the next attempt.
    ///
    /// # Errors
    /// [`Unavailable`] if there is none.
    pub(super) fn choose(&self, now: Instant) -> Result<InFlight, Unavailable> {
        let shared = self.request.head.shared_parts().0;
        let shared_tokens = shared.iter().map(|part| part.tokens).sum();
        let query = Query {
            prompt_id: shared.last().map_or(0, |part| part.id),
            shared_tokens,
            tried: &self.tried,
            random: rand::random(),
        };
        let last_event = self.last_event.unwrap_or(0);
        let demand = Demand {
            output_hint: self.request.head.output_hint,
            done_tokens: last_event.saturating_mul(self.request.stride),
            kv_capacity: self.relay.kv_capacity(&self.request.service),
            ..self.relay.costs.demand(&self.request, self.output)
        };
        let software = &self.request.software;
        let home = self.request.home();
        let regions = &self.relay.settings.regions;
        let requirement = Requirement {
            home: (!home.is_anywhere()).then_some((home, regions)),
            versions: software.as_ref().map(std::slice::from_ref),
            as_listed: self.depends_on_version(),
        };
        let (servers, service) = (&self.relay.servers, &self.request.service);
        let in_flight = servers.choose(service, requirement, &query, demand, now)?;
        log::info("server chosen")
            .request(&self.request.head.attempt_id)
            .with("server", &in_flight.server.id)
            .with("software", &in_flight.server.software)
            .with("started_ms", in_flight.server.started_ms)
            .with("home", in_flight.is_home)
            .with("ahead", in_flight.work_ahead as u64)
            .with("shared", shared_tokens)
            .with("prompt", demand.prompt_tokens)
            .with("output", demand.likely_output)
            .with("pace", format_args!("{:.2}", in_flight.progress.pace))
            .with(
                "predicted_ms",
                in_flight.progress.completion_ms.unwrap_or_default() as u64,
            )
            .write();
        Ok(in_flight)
    }
}
