//! Orders to endpoints: load a model, change a role.
//!
//! One instance at a time gives orders to an endpoint, under a lease from the platform's table service with a fencing
//! number that only rises. Some endpoints refuse an old number. For those that ignore it, an order is only given while
//! enough of the lease is left to cover it, and a new holder first waits out the old lease and an order's time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Fencing, InstanceId};
use crate::time::Time;

/// Life of a lease.
pub const LEASE: Duration = Duration::from_secs(10);
/// Time within which an order has reached its endpoint, or is lost.
pub const ORDER_TIME: Duration = Duration::from_secs(2);

/// Row of the table service, one an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: InstanceId,
    /// Its fencing number.
    pub fencing: Fencing,
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The lease.
    pub lease: Lease,
    /// Store version of the row.
    pub version: u64,
}

/// What to do next about an endpoint that needs an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the row.
    Read,
    /// Write the row if it still has this store version (0: if there is none).
    Take(u64, Lease),
    /// Wait.
    Wait(Duration),
    /// Give the order under this number.
    Order(Fencing),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Unknown,
    /// Another's lease, first seen in this form at a time.
    Foreign(Seen, Time),
    /// Ours, with the time before which it was asked for.
    Held(Seen, Time),
}

/// Issuer of orders to one endpoint.
#[derive(Debug)]
pub struct Issuer {
    me: InstanceId,
    fenced: bool,
    state: State,
}

impl Issuer {
    /// An issuer of `me` for an endpoint that checks fencing numbers if `fenced`.
    pub const fn new(me: InstanceId, fenced: bool) -> Self {
        Self { me, fenced, state: State::Unknown }
    }

    /// Next step towards an order.
    pub fn next(&self, now: Time) -> Step {
        match &self.state {
            State::Unknown => Step::Read,
            State::Held(seen, asked) if self.covers(now, *asked) => Step::Order(seen.lease.fencing),
            State::Held(seen, _) => Step::Take(seen.version, self.renewed(seen)),
            State::Foreign(seen, since) => {
                // The holder may have renewed just before the row was read; its lease is counted from then.
                let waited = now.since(*since);
                let needed = LEASE + ORDER_TIME;
                if waited < needed {
                    return Step::Wait(needed.saturating_sub(waited));
                }
                Step::Take(seen.version, self.renewed(seen))
            }
        }
    }

    /// Takes in the row, read by a call that began at `asked`.
    pub fn read(&mut self, asked: Time, row: Option<Seen>) -> Step {
        match row {
            None => {
                let lease = Lease { holder: self.me.clone(), fencing: Fencing(1) };
                Step::Take(0, lease)
            }
            Some(seen) => {
                // Even a row with this instance's name may be a former life's; it is waited out like any other.
                let unchanged = matches!(&self.state, State::Foreign(known, _) if *known == seen);
                if !unchanged {
                    self.state = State::Foreign(seen, asked);
                }
                self.next(asked)
            }
        }
    }

    /// Takes in that the row was written with `lease` by a call that began at `asked`, and now has `version`.
    pub fn taken(&mut self, asked: Time, lease: Lease, version: u64) {
        self.state = State::Held(Seen { lease, version }, asked);
    }

    /// Takes in that the write was refused, or its answer lost: the row must be read again.
    pub fn lost(&mut self) {
        self.state = State::Unknown;
    }

    /// Whether an order given now is covered.
    ///
    /// An endpoint that checks the number only needs a live lease; for one that does not, the lease must outlast the
    /// order on its way.
    pub fn covers(&self, now: Time, asked: Time) -> bool {
        let used = now.since(asked);
        if self.fenced { used < LEASE } else { used + ORDER_TIME < LEASE }
    }

    fn renewed(&self, seen: &Seen) -> Lease {
        Lease { holder: self.me.clone(), fencing: Fencing(seen.lease.fencing.0 + 1) }
    }
}
