//! Hashes of callers' keys and operators' tokens.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a key, in hexadecimal; the key itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(try_from = "String")]
pub struct KeyHash(String);

impl KeyHash {
    /// Hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(hex::encode(Sha256::digest(key.as_bytes())))
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let valid = text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if valid { Ok(Self(text)) } else { Err("a key hash is 64 lower-case hexadecimal digits".into()) }
    }
}
