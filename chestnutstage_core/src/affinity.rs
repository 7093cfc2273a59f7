//! Which endpoint probably has which prompt prefix in its cache.
//!
//! Engines publish cache events late and with gaps, so this index is a hint with an age. What an endpoint was sent is
//! assumed to be cached there; the hit length that comes back with the first token corrects it.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{EndpointId, Ticket};
use crate::length::Tokens;
use crate::time::Time;

/// Age after which a hint is worth nothing.
const HINT_LIFE: Duration = Duration::from_mins(5);
/// Most hints kept; the oldest go first.
const HINTS_MAX: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Hint {
    tokens: Tokens,
    at: Time,
}

/// Hints of one owner.
#[derive(Debug, Default)]
pub struct Affinity {
    hints: HashMap<(EndpointId, u64), Hint>,
    sent: HashMap<Ticket, (EndpointId, u64)>,
}

impl Affinity {
    /// Tokens of `prefix` that `endpoint` probably has.
    pub fn hit(&self, now: Time, endpoint: &EndpointId, prefix: Option<u64>) -> Tokens {
        let Some(prefix) = prefix else { return Tokens(0) };
        let Some(hint) = self.hints.get(&(endpoint.clone(), prefix)) else {
            return Tokens(0);
        };
        let age = now.since(hint.at).as_secs_f64() / HINT_LIFE.as_secs_f64();
        Tokens((hint.tokens.as_f64() * (1.0 - age).max(0.0)) as u64)
    }

    /// Takes in that a request with `prefix` went to `endpoint`.
    pub fn sent(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        prefix: Option<u64>,
        ticket: Ticket,
        prompt: Tokens,
    ) {
        let Some(prefix) = prefix else { return };
        self.sent.insert(ticket, (endpoint.clone(), prefix));
        self.published(now, endpoint, prefix, prompt);
    }

    /// Takes in the hit length that came with a first token.
    pub fn confirm(&mut self, now: Time, ticket: Ticket, cached: Tokens) {
        let Some(key) = self.sent.remove(&ticket) else {
            return;
        };
        let Some(hint) = self.hints.get_mut(&key) else {
            return;
        };
        // A miss shows eviction between the requests; the prefix is cached again by now, but will not last longer.
        if cached.0 > 0 {
            *hint = Hint { tokens: cached, at: now };
        }
    }

    /// Takes in the end of a request that may never have shown a first token.
    pub fn ended(&mut self, ticket: Ticket) {
        self.sent.remove(&ticket);
    }

    /// Takes in a cache event.
    pub fn published(&mut self, now: Time, endpoint: &EndpointId, prefix: u64, tokens: Tokens) {
        if self.hints.len() >= HINTS_MAX {
            self.make_room();
        }
        self.hints.insert((endpoint.clone(), prefix), Hint { tokens, at: now });
    }

    /// Forgets all about an endpoint that restarted.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.hints.retain(|(id, _), _| id != endpoint);
    }

    /// Drops the older half.
    fn make_room(&mut self) {
        let mut times: Vec<_> = self.hints.values().map(|h| h.at).collect();
        times.sort_unstable();
        let cut = times[times.len() / 2];
        self.hints.retain(|_, h| h.at > cut);
        self.sent.clear();
    }
}
