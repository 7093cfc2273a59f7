//! Orders to endpoints: load a model, change a role.
//!
//! Only one instance at a time sends orders to an endpoint. It holds a lease from the platform's table service, with a
//! fencing number that only increases. Some endpoints reject outdated fencing numbers. For those that ignore them, an
//! order is sent only while the lease outlasts the order's timeout, and a new holder first waits for the previous lease
//! plus one order timeout.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Fencing, InstanceId};
use crate::time::Time;

/// Time for which a lease is valid.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time after which an order that has not reached its endpoint counts as lost.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Lease row in the table service; one per endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Fencing number.
    pub fencing: Fencing,
}

/// Lease row as read from the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// Contents of the row.
    pub lease: Lease,
    /// Version of the row in the store.
    pub version: u64,
}

/// Next step towards sending an order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the lease row.
    Read,
    /// Write the lease if the row still has this store version (0: if there is no row).
    Acquire(u64, Lease),
    /// Wait before the next step.
    Wait(Duration),
    /// Send the order with this fencing number.
    Order(Fencing),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Unknown,
    /// Lease that may belong to another instance, and the time at which this version of it was first read.
    Foreign(LeaseRow, Time),
    /// Lease held by this instance, and the time at which the write was sent.
    Held(LeaseRow, Time),
}

/// State machine that acquires the lease for orders to one endpoint.
#[derive(Debug)]
pub struct Issuer {
    me: InstanceId,
    fenced: bool,
    state: State,
}

impl Issuer {
    /// Creates the issuer of instance `me`; `fenced` tells whether the endpoint checks fencing numbers.
    pub const fn new(me: InstanceId, fenced: bool) -> Self {
        Self { me, fenced, state: State::Unknown }
    }

    /// Returns the next step towards sending an order.
    pub fn next(&self, now: Time) -> Step {
        match &self.state {
            State::Unknown => Step::Read,
            State::Held(seen, asked) if self.covers(now, *asked) => Step::Order(seen.lease.fencing),
            State::Held(seen, _) => Step::Acquire(seen.version, self.renewed(seen)),
            State::Foreign(seen, since) => {
                // The holder may have renewed just before the row was read, so its lease is counted from the read.
                let waited = now.since(*since);
                let needed = LEASE_TTL + ORDER_TIMEOUT;
                if waited < needed {
                    return Step::Wait(needed.saturating_sub(waited));
                }
                Step::Acquire(seen.version, self.renewed(seen))
            }
        }
    }

    /// Records the row, read by a call that began at `asked`.
    pub fn record_read(&mut self, asked: Time, row: Option<LeaseRow>) -> Step {
        match row {
            None => {
                let lease = Lease { holder: self.me.clone(), fencing: Fencing(1) };
                Step::Acquire(0, lease)
            }
            Some(seen) => {
                // A row with this instance's own id may be from an earlier incarnation, so its lease must expire too.
                let unchanged = matches!(&self.state, State::Foreign(known, _) if *known == seen);
                if !unchanged {
                    self.state = State::Foreign(seen, asked);
                }
                self.next(asked)
            }
        }
    }

    /// Records that `lease` was written by a call that began at `asked`, and that the row now has `version`.
    pub fn record_acquired(&mut self, asked: Time, lease: Lease, version: u64) {
        self.state = State::Held(LeaseRow { lease, version }, asked);
    }

    /// Records that the write was refused or its response lost; the row must be read again.
    pub fn record_failed_write(&mut self) {
        self.state = State::Unknown;
    }

    /// Whether the lease covers an order that is sent now.
    ///
    /// For an endpoint that checks fencing numbers, an unexpired lease is enough. For one that does not, the lease must
    /// outlast the order timeout.
    pub fn covers(&self, now: Time, asked: Time) -> bool {
        let age = now.since(asked);
        if self.fenced { age < LEASE_TTL } else { age + ORDER_TIMEOUT < LEASE_TTL }
    }

    fn renewed(&self, seen: &LeaseRow) -> Lease {
        Lease { holder: self.me.clone(), fencing: Fencing(seen.lease.fencing.0 + 1) }
    }
}
