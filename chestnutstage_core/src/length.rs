//! Prompt lengths, and the classes that keep short work clear of long work.

use derive_more::{Add, AddAssign, Display, From, Sub, Sum};
use serde::{Deserialize, Serialize};

/// A number of tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Add,
    AddAssign,
    Sub,
    Sum,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Difference that never goes below zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The count as a float, for estimates.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// Bytes of prompt text that make a token, on average; low, so that estimates err on the long side.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that the framing of one chat message adds.
const MESSAGE_OVERHEAD: u64 = 4;

/// Estimates the tokens of a prompt from its text bytes and number of messages.
pub const fn estimate(bytes: usize, messages: usize) -> Tokens {
    Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN) + messages as u64 * MESSAGE_OVERHEAD)
}

/// Length class of a prompt; the order is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Interactive prompts.
    #[display("short")]
    Short,
    /// Documents.
    #[display("medium")]
    Medium,
    /// Archives.
    #[display("long")]
    Long,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 3] = [Self::Short, Self::Medium, Self::Long];
    /// Shortest prompt of the medium class.
    pub const MEDIUM_FROM: Tokens = Tokens(10_000);
    /// Shortest prompt of the long class.
    pub const LONG_FROM: Tokens = Tokens(100_000);

    /// Class of a prompt of `prompt` tokens.
    pub fn of(prompt: Tokens) -> Self {
        if prompt < Self::MEDIUM_FROM {
            return Self::Short;
        }
        if prompt < Self::LONG_FROM {
            return Self::Medium;
        }
        Self::Long
    }

    /// Priority given to the engine; a lower number goes first.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Short => 0,
            Self::Medium => 1,
            Self::Long => 2,
        }
    }
}
