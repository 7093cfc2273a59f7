//! Names of the things the system deals with.
//!
//! Names are shared strings: cheap to clone, readable in logs and dumps, and short on the wire. Numbers that must
//! not be mixed up (boot ids, fencing numbers, versions) are types of their own.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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

name!(
    /// One process of the system.
    InstanceId
);
name!(
    /// One back end: a model engine or a replica of a plain service.
    EndpointId
);
name!(
    /// One availability zone.
    ZoneId
);
name!(
    /// One customer.
    CustomerId
);
name!(
    /// One model, or one plain service.
    ModelId
);

macro_rules! wide {
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

        // JSON has no numbers of this width, so that readable formats carry text.
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

wide!(
    /// Identity of one caller's request, unique over the fleet.
    RequestId
);
wide!(
    /// Number that nobody else draws.
    Nonce
);

/// One attempt of a request to get an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{request}/{attempt}")]
pub struct Ticket {
    /// The request that wants an endpoint.
    pub request: RequestId,
    /// Counts the request's attempts, from zero.
    pub attempt: u16,
}

/// Identity of one life of an endpoint; changes when it restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// Number of a member's life and of its refutations; a higher one replaces a lower one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Version of the operators' configuration; every accepted change adds one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// The version that the next change makes.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Fencing number of a lease; a later holder's is higher.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Serialize, Deserialize,
)]
pub struct Fencing(pub u64);
