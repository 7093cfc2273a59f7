//! Names of memory held on engines, and when it must be freed.

use std::time::Duration;

use derive_more::Display;

use crate::ids::{InstanceId, RequestId};

/// Separates the parts of a name.
const SEPARATOR: char = '.';
/// Age up to which a reservation may be younger than the holder's own books.
const NEWBORN: Duration = Duration::from_secs(2);

/// Name of a reservation: who holds it and for what.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{holder}{SEPARATOR}{request}{SEPARATOR}{segment}")]
pub struct ReservationName {
    /// Instance that holds it.
    pub holder: InstanceId,
    /// The request, unique over all lives of the holder.
    pub request: RequestId,
    /// Number of the segment.
    pub segment: u32,
}

/// What is known of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// It still serves the request.
    Serving,
    /// It lives, and no longer serves the request.
    Ended,
    /// It is dead, or has left.
    Gone,
    /// It does not answer.
    Unknown,
}

/// What must happen to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It stays.
    Keep,
    /// It is freed.
    Free,
}

impl ReservationName {
    /// Reads a name; none if it is not one of this system's.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(3, SEPARATOR);
        let segment = parts.next()?.parse().ok()?;
        let request = RequestId(u128::from_str_radix(parts.next()?, 16).ok()?);
        let holder = parts.next().filter(|h| !h.is_empty())?.into();
        Some(Self { holder, request, segment })
    }

    /// What must happen to the reservation of this name at `age`, if it was made for `ttl`.
    pub fn disposition(&self, holder: HolderState, age: Duration, ttl: Duration) -> Disposition {
        if age >= ttl {
            return Disposition::Free;
        }
        match holder {
            HolderState::Gone => Disposition::Free,
            HolderState::Ended if age > NEWBORN => Disposition::Free,
            HolderState::Ended | HolderState::Serving | HolderState::Unknown => Disposition::Keep,
        }
    }
}
