//! Estimates of waits and service times, on which admission rests.

use std::time::Duration;

use super::{Owner, RETRY_MIN, Waiting};
use crate::endpoint::Size;
use crate::endpoint_state::EndpointState;
use crate::grant::{GrantRequest, Summary};
use crate::ids::ModelId;
use crate::length::{Class, Tokens};
use crate::outcome::Refusal;
use crate::time::Time;

/// Longest delay after which a caller is told to come back.
const RETRY_MAX: Duration = Duration::from_secs(30);
/// A typical short request.
const TYPICAL: Size = Size { prompt: Tokens(2_000), output: Tokens(0) };
/// Wait assumed while every window is too small for a request.
const WINDOW_WAIT: Duration = Duration::from_secs(5);

impl Owner {
    /// Room for `model`, as told to entries.
    pub fn summary(&self, model: &ModelId) -> Summary {
        let free = |s: &EndpointState| self.share_of(s).saturating_sub(s.load().requests);
        let open: Vec<_> = self.serving(model).filter(|s| free(s) > 0).collect();
        let soonest = open.iter().map(|s| s.first_token(TYPICAL, Tokens(0))).min().unwrap_or_default();
        let wait = self.wait(model, Class::Short) + soonest;
        Summary { free: open.into_iter().map(free).sum(), wait }
    }

    /// Requests that an endpoint may run at a time.
    fn share_of(&self, slots: &EndpointState) -> u32 {
        slots.window.limit(self.share).requests
    }

    /// Checks that a request can finish within its deadline.
    pub(super) fn admit(&self, now: Time, ask: &GrantRequest, deadline: Time) -> Result<(), Refusal> {
        let fastest = self.serving(&ask.model).map(|s| s.whole(ask.size, Tokens(0))).min();
        let Some(service) = fastest else {
            return Err(Refusal::NoEndpoint { retry: RETRY_MIN });
        };
        if self.serving(&ask.model).all(|s| ask.size.memory() > s.endpoint.memory) {
            return Err(Refusal::TooLong);
        }
        let wait = self.wait(&ask.model, ask.size.class());
        let estimate = wait + service;
        let remaining = deadline.since(now);
        if estimate > remaining {
            let retry = (estimate.saturating_sub(remaining)).clamp(RETRY_MIN, RETRY_MAX);
            return Err(Refusal::Overloaded { estimate, remaining, retry });
        }
        Ok(())
    }

    /// Expected wait of a new request of `class` before it gets an endpoint.
    fn wait(&self, model: &ModelId, class: Class) -> Duration {
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
        let turns = self.usual.as_secs_f64() * (ahead as f64) / f64::from(slots.max(1));
        Duration::from_secs_f64(prefill.max(turns).min(3_600.0))
    }

    /// Expected wait of a request that finds nothing free.
    pub(super) fn busy_wait(&self, ask: &GrantRequest) -> Duration {
        let wait = self.wait(&ask.model, ask.size.class());
        let possible = self.serving(&ask.model).any(|s| s.could_accept(ask.size, self.share));
        let slots: u32 = self.serving(&ask.model).map(|s| s.window.limit(self.share).requests).sum();
        let turn = self.usual / slots.max(1);
        if possible { wait + turn } else { wait + WINDOW_WAIT }
    }

    /// Shortest time in which a waiting request could still be served.
    pub(super) fn shortest(&self, waiting: &Waiting) -> Duration {
        let whole = |s: &EndpointState| {
            s.endpoint.speed.prefill(waiting.ask.size.prompt)
                + s.endpoint.speed.decode(waiting.ask.size.output)
        };
        self.serving(&waiting.ask.model).map(whole).min().unwrap_or_default()
    }
}
