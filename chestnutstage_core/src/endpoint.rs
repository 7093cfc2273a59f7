//! What the system knows of an endpoint.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, EndpointId, ModelId, ZoneId};
use crate::length::{Class, Tokens};
use crate::window::{Capacity, Load};

/// What stands behind an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// Usual speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Prompt tokens prefilled a second.
    pub prefill: u32,
    /// Microseconds from one generated token to the next.
    pub step: u32,
}

impl Speed {
    /// Time to prefill `tokens`.
    pub fn prefill(self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens.as_f64() / f64::from(self.prefill.max(1)))
    }

    /// Time to generate `tokens`.
    pub fn decode(self, tokens: Tokens) -> Duration {
        Duration::from_micros(u64::from(self.step) * tokens.0)
    }
}

/// One back end, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// IP number and port.
    pub address: String,
    /// Engine or plain service.
    pub kind: Kind,
    /// Models loaded, or the name of the service.
    pub models: Vec<ModelId>,
    /// Load it can bear.
    pub capacity: Capacity,
    /// Its usual speed.
    pub speed: Speed,
    /// Tokens of KV memory.
    pub memory: Tokens,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// What an endpoint last said of itself; lags behind the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its present life.
    pub boot: BootId,
    /// Whether it says that it is in cold start.
    pub cold: bool,
    /// Requests running.
    pub running: u32,
    /// Tokens of KV memory held.
    pub held: Tokens,
}

/// Most prompt tokens that a chunked, low-priority prefill is charged for at a time.
const CHUNK_CHARGE: Tokens = Tokens(32_768);

/// Size of a request, as far as it is known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
}

impl Size {
    /// Length class.
    pub fn class(self) -> Class {
        Class::of(self.prompt)
    }

    /// Load put on an endpoint.
    ///
    /// Long prompts run in chunks behind everything else, so that they occupy the engine for a chunk at a time.
    pub fn load(self) -> Load {
        let tokens = match self.class() {
            Class::Short | Class::Medium => self.prompt,
            Class::Long => self.prompt.min(CHUNK_CHARGE),
        };
        Load { requests: 1, tokens }
    }

    /// KV memory needed, in tokens.
    pub fn memory(self) -> Tokens {
        self.prompt + self.output
    }
}
