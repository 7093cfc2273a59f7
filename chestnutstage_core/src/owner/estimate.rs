//! Estimates of queue waits and service times, used for admission.

use std::time::Duration;

use super::{Owner, RETRY_DELAY_MIN, Waiting};
use crate::endpoint::Size;
use crate::endpoint_state::EndpointState;
use crate::grant::{GrantRequest, Summary};
use crate::ids::ModelId;
use crate::length::{Class, Tokens};
use crate::outcome::Refusal;
use crate::time::Time;

/// Maximum retry delay returned to a caller.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);
/// Typical short request, for the waits reported to entries.
const TYPICAL_SHORT: Size = Size { prompt: Tokens(2_000), output: Tokens(0) };
/// Wait assumed for a request that is too large for every window, even on an idle endpoint.
const CLOSED_WINDOW_WAIT: Duration = Duration::from_secs(5);

impl Owner {
    /// Returns the free capacity for `model`, as reported to entries.
    pub fn summary(&self, model: &ModelId) -> Summary {
        let free = |s: &EndpointState| self.request_limit(s).saturating_sub(s.load().requests);
        let open: Vec<_> = self.serving(model).filter(|s| free(s) > 0).collect();
        let first_token =
            open.iter().map(|s| s.time_to_first_token(TYPICAL_SHORT, Tokens(0))).min().unwrap_or_default();
        let wait = self.queue_wait(model, Class::Short) + first_token;
        Summary { free: open.into_iter().map(free).sum(), wait }
    }

    /// Returns the number of requests that an endpoint may run at a time.
    fn request_limit(&self, state: &EndpointState) -> u32 {
        state.window.limit(self.share).requests
    }

    /// Checks that a request fits an endpoint's memory and can finish within its deadline.
    pub(super) fn admit(&self, now: Time, request: &GrantRequest, deadline: Time) -> Result<(), Refusal> {
        let fastest = self.serving(&request.model).map(|s| s.total_time(request.size, Tokens(0))).min();
        let Some(service) = fastest else {
            return Err(Refusal::NoEndpoint { retry: RETRY_DELAY_MIN });
        };
        if self.serving(&request.model).all(|s| request.size.memory() > s.endpoint.memory) {
            return Err(Refusal::TooLong);
        }
        let wait = self.queue_wait(&request.model, request.size.class());
        let estimate = wait + service;
        let remaining = deadline.since(now);
        if estimate > remaining {
            let retry = (estimate.saturating_sub(remaining)).clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
            return Err(Refusal::Overloaded { estimate, remaining, retry });
        }
        Ok(())
    }

    /// Estimates how long a new request of `class` waits in the queue.
    fn queue_wait(&self, model: &ModelId, class: Class) -> Duration {
        let Some(queue) = self.queues.get(model) else {
            return Duration::ZERO;
        };
        let ahead = queue.len_ahead(class);
        if ahead == 0 {
            return Duration::ZERO;
        }
        let (mut speed, mut slots) = (0.0, 0_u32);
        for s in self.serving(model) {
            speed += f64::from(s.endpoint.speed.prefill);
            slots += s.window.limit(self.share).requests;
        }
        let prefill = queue.cost_ahead(class).as_f64() / speed.max(1.0);
        let slot_wait = self.mean_duration.as_secs_f64() * (ahead as f64) / f64::from(slots.max(1));
        Duration::from_secs_f64(prefill.max(slot_wait).min(3_600.0))
    }

    /// Estimates how long a request waits if no endpoint is free.
    pub(super) fn retry_wait(&self, request: &GrantRequest) -> Duration {
        let wait = self.queue_wait(&request.model, request.size.class());
        let possible = self.serving(&request.model).any(|s| s.fits_when_idle(request.size, self.share));
        let slots: u32 = self.serving(&request.model).map(|s| s.window.limit(self.share).requests).sum();
        let slot_wait = self.mean_duration / slots.max(1);
        if possible { wait + slot_wait } else { wait + CLOSED_WINDOW_WAIT }
    }

    /// Returns the shortest time from a grant to the end of a queued request, on an idle endpoint.
    pub(super) fn min_service_time(&self, waiting: &Waiting) -> Duration {
        let total = |s: &EndpointState| {
            s.endpoint.speed.prefill(waiting.request.size.prompt)
                + s.endpoint.speed.decode(waiting.request.size.output)
        };
        self.serving(&waiting.request.model).map(total).min().unwrap_or_default()
    }
}
