//! Prompt lengths, and the length classes by which short prompts are scheduled apart from long ones.

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
    /// Returns the difference, with zero as the minimum.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the count as a float, for estimates.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// Average bytes of prompt text per token; low, so that estimates err on the high side.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that the framing of one chat message adds.
const MESSAGE_OVERHEAD: u64 = 4;

/// Estimates the tokens of a prompt from its text bytes and number of messages.
pub const fn estimate(bytes: usize, messages: usize) -> Tokens {
    Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN) + messages as u64 * MESSAGE_OVERHEAD)
}

/// Length class of a prompt, in order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Less than [`Class::MEDIUM_FROM`]: interactive prompts.
    #[display("short")]
    Short,
    /// Less than [`Class::LONG_FROM`]: documents.
    #[display("medium")]
    Medium,
    /// [`Class::LONG_FROM`] or more: archives.
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

    /// Returns the class of a prompt of `prompt` tokens.
    pub fn of(prompt: Tokens) -> Self {
        if prompt < Self::MEDIUM_FROM {
            return Self::Short;
        }
        if prompt < Self::LONG_FROM {
            return Self::Medium;
        }
        Self::Long
    }

    /// Returns the priority sent to the engine; lower numbers are scheduled first.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Short => 0,
            Self::Medium => 1,
            Self::Long => 2,
        }
    }
}
