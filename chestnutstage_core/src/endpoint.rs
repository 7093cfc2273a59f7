//! Endpoints, their load reports, and the sizes of requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, EndpointId, ModelId, ZoneId};
use crate::length::{Class, Tokens};
use crate::window::{Capacity, Load};

/// Type of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// Typical speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Prompt tokens prefilled per second.
    pub prefill: u32,
    /// Microseconds between two generated tokens.
    pub step: u32,
}

impl Speed {
    /// Returns the time to prefill `tokens`.
    pub fn prefill(self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens.as_f64() / f64::from(self.prefill.max(1)))
    }

    /// Returns the time to generate `tokens`.
    pub fn decode(self, tokens: Tokens) -> Duration {
        Duration::from_micros(u64::from(self.step) * tokens.0)
    }
}

/// One back end, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// IP address and port.
    pub address: String,
    /// Engine or plain service.
    pub kind: Kind,
    /// Models loaded, or the name of the service.
    pub models: Vec<ModelId>,
    /// Maximum load.
    pub capacity: Capacity,
    /// Its typical speed.
    pub speed: Speed,
    /// Size of its KV memory, in tokens.
    pub memory: Tokens,
    /// Whether it refuses requests with an outdated fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Whether it is being removed and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Load report of an endpoint; it may be older than the endpoint's actual state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Boot id of its current incarnation.
    pub boot: BootId,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Number of running requests.
    pub running: u32,
    /// KV memory in use, in tokens.
    pub held: Tokens,
}

/// Maximum number of prompt tokens that a chunked, low-priority prefill counts as load.
const LONG_PREFILL_MAX: Tokens = Tokens(32_768);

/// Size of a request, as far as it is known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Maximum number of tokens in the response.
    pub output: Tokens,
}

impl Size {
    /// Returns the length class.
    pub fn class(self) -> Class {
        Class::of(self.prompt)
    }

    /// Returns the load on an endpoint.
    ///
    /// Long prompts are prefilled in chunks at the lowest priority, so that they occupy the engine for one chunk at a
    /// time.
    pub fn load(self) -> Load {
        let tokens = match self.class() {
            Class::Short | Class::Medium => self.prompt,
            Class::Long => self.prompt.min(LONG_PREFILL_MAX),
        };
        Load { requests: 1, tokens }
    }

    /// Returns the KV memory needed, in tokens.
    pub fn memory(self) -> Tokens {
        self.prompt + self.output
    }
}
