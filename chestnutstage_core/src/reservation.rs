//! Names of KV memory reservations on engines, and the rule for freeing them.

use std::time::Duration;

use derive_more::Display;

use crate::ids::{InstanceId, RequestId};

/// Separates the parts of a name.
const SEPARATOR: char = '.';
/// Age up to which a reservation is kept although its holder reports that it no longer serves the request, because the
/// holder's records may be older than the reservation.
const RECORD_GRACE: Duration = Duration::from_secs(2);

/// Name of a reservation: its holder, request and segment.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{holder}{SEPARATOR}{request}{SEPARATOR}{segment}")]
pub struct ReservationName {
    /// Instance that holds the reservation.
    pub holder: InstanceId,
    /// The request, unique across restarts of the holder.
    pub request: RequestId,
    /// Number of the segment.
    pub segment: u32,
}

/// State of a reservation's holder, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// It still serves the request.
    Serving,
    /// It is alive but no longer serves the request.
    Ended,
    /// It is dead or has left the fleet.
    Gone,
    /// It does not answer.
    Unknown,
}

/// What to do with a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Keep it.
    Keep,
    /// Free it.
    Free,
}

impl ReservationName {
    /// Parses a name; `None` if it was not made by this system.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(3, SEPARATOR);
        let segment = parts.next()?.parse().ok()?;
        let request = RequestId(u128::from_str_radix(parts.next()?, 16).ok()?);
        let holder = parts.next().filter(|h| !h.is_empty())?.into();
        Some(Self { holder, request, segment })
    }

    /// What to do with the reservation of this name at `age`, if its TTL is `ttl`.
    pub fn disposition(&self, holder: HolderState, age: Duration, ttl: Duration) -> Disposition {
        if age >= ttl {
            return Disposition::Free;
        }
        match holder {
            HolderState::Gone => Disposition::Free,
            HolderState::Ended if age > RECORD_GRACE => Disposition::Free,
            HolderState::Ended | HolderState::Serving | HolderState::Unknown => Disposition::Keep,
        }
    }
}
