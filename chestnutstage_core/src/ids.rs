//! Identifiers and version numbers.
//!
//! Names are shared strings: cheap to clone, readable in logs and dumps, and short on the wire. Numbers that must not
//! be confused with each other (boot ids, fencing numbers, versions) have their own types.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }
    };
}

string_id!(
    /// Instance: one process of the system.
    InstanceId
);
string_id!(
    /// Endpoint: a model engine or a replica of a plain service.
    EndpointId
);
string_id!(
    /// Availability zone.
    ZoneId
);
string_id!(
    /// Customer.
    CustomerId
);
string_id!(
    /// Model or plain service.
    ModelId
);

macro_rules! id128 {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
        #[display("{_0:032x}")]
        pub struct $name(pub u128);

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{self}")
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        // JSON numbers cannot represent 128 bits, so human-readable formats use a hexadecimal string.
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    serializer.serialize_u128(self.0)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
                } else {
                    u128::deserialize(deserializer).map(Self)
                }
            }
        }
    };
}

id128!(
    /// Id of a caller's request, unique across the fleet.
    RequestId
);
id128!(
    /// Random number, unique across the fleet.
    Nonce
);

/// One attempt of a request to obtain an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{request}/{attempt}")]
pub struct Ticket {
    /// Request that needs an endpoint.
    pub request: RequestId,
    /// Number of the request's attempt, starting at zero.
    pub attempt: u16,
}

/// Incarnation of an endpoint; changes with every restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// Incarnation of a member, raised by restarts and refutations; a higher one replaces a lower one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Version of the operators' configuration; every accepted change increments it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Version that the next change creates.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Fencing number of a lease; increases with every new holder and renewal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Serialize, Deserialize,
)]
pub struct Fencing(pub u64);
