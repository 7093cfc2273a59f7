//! Index of the prompt prefixes that endpoints probably have in their KV caches.
//!
//! Engines publish cache events late and with gaps, so that the index holds hints that age. The prompt of a request is
//! assumed to be cached at the endpoint to which it was sent, until the hit length reported with the first token
//! corrects the hint.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{EndpointId, Ticket};
use crate::length::Tokens;
use crate::time::Time;

/// Age at which a hint expires; its number of tokens decreases linearly until then.
const HINT_TTL: Duration = Duration::from_mins(5);
/// Maximum number of hints; the oldest are evicted first.
const HINTS_MAX: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Hint {
    tokens: Tokens,
    at: Time,
}

/// Prefix cache hints of one owner.
#[derive(Debug, Default)]
pub struct Affinity {
    hints: HashMap<(EndpointId, u64), Hint>,
    sent: HashMap<Ticket, (EndpointId, u64)>,
}

impl Affinity {
    /// Estimates the tokens of `prefix` that `endpoint` has cached.
    pub fn cached_tokens(&self, now: Time, endpoint: &EndpointId, prefix: Option<u64>) -> Tokens {
        let Some(prefix) = prefix else { return Tokens(0) };
        let Some(hint) = self.hints.get(&(endpoint.clone(), prefix)) else {
            return Tokens(0);
        };
        let age = now.since(hint.at).as_secs_f64() / HINT_TTL.as_secs_f64();
        Tokens((hint.tokens.as_f64() * (1.0 - age).max(0.0)) as u64)
    }

    /// Records that a request with `prefix` was sent to `endpoint`.
    pub fn record_sent(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        prefix: Option<u64>,
        ticket: Ticket,
        prompt: Tokens,
    ) {
        let Some(prefix) = prefix else { return };
        self.sent.insert(ticket, (endpoint.clone(), prefix));
        self.record_cached(now, endpoint, prefix, prompt);
    }

    /// Records the hit length that was reported with a first token.
    pub fn record_hit(&mut self, now: Time, ticket: Ticket, cached: Tokens) {
        let Some(key) = self.sent.remove(&ticket) else {
            return;
        };
        let Some(hint) = self.hints.get_mut(&key) else {
            return;
        };
        // A miss shows that the prefix was evicted between the requests. It is cached again by this request, but may be
        // evicted as soon as before, so the hint's age is not reset.
        if cached.0 > 0 {
            *hint = Hint { tokens: cached, at: now };
        }
    }

    /// Removes the record of a request that ended, possibly before its first token.
    pub fn forget_request(&mut self, ticket: Ticket) {
        self.sent.remove(&ticket);
    }

    /// Records that `endpoint` has cached `tokens` of `prefix`.
    pub fn record_cached(&mut self, now: Time, endpoint: &EndpointId, prefix: u64, tokens: Tokens) {
        if self.hints.len() >= HINTS_MAX {
            self.evict_older_half();
        }
        self.hints.insert((endpoint.clone(), prefix), Hint { tokens, at: now });
    }

    /// Removes all hints for an endpoint that restarted.
    pub fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.hints.retain(|(id, _), _| id != endpoint);
    }

    /// Evicts the older half of the hints, and the records of sent requests.
    fn evict_older_half(&mut self) {
        let mut times: Vec<_> = self.hints.values().map(|h| h.at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.hints.retain(|_, h| h.at > median);
        self.sent.clear();
    }
}
