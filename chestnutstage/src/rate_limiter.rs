//! Limits on customers' token rates, shared by all instances.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutstage_core::contract::{Bucket, Contract, Shortfall};
use chestnutstage_core::ids::{CustomerId, InstanceId};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::outcome::Refusal;
use chestnutstage_core::rendezvous;

use crate::link::message::{Reply, Request};
use crate::shared::{Shared, lock};

/// Timeout of a request for a loan from another instance.
const LOAN_TIMEOUT: Duration = Duration::from_millis(200);

/// Token buckets of one instance.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    /// Buckets with this instance's share of each customer's rate.
    local: Mutex<HashMap<CustomerId, Bucket>>,
    /// Home buckets, from which all instances borrow, of the customers that this instance keeps them for.
    home: Mutex<HashMap<CustomerId, Bucket>>,
}

impl RateLimiter {
    /// Charges the cost of a request to its customer.
    ///
    /// # Errors
    ///
    /// [`Refusal::Contract`] if the customer's rate is exhausted.
    pub(crate) async fn charge(
        &self,
        shared: &Arc<Shared>,
        customer: &CustomerId,
        contract: &Contract,
        cost: Tokens,
    ) -> Result<(), Refusal> {
        let Err(short) = self.spend(shared, customer, contract, cost) else {
            return Ok(());
        };
        let lent = self.borrow(shared, customer, short.borrow).await;
        if let Some(bucket) = lock(&self.local).get_mut(customer) {
            bucket.credit(lent);
        }
        self.spend(shared, customer, contract, cost).map_err(|short| Refusal::Contract { retry: short.retry })
    }

    fn spend(
        &self,
        shared: &Shared,
        customer: &CustomerId,
        contract: &Contract,
        cost: Tokens,
    ) -> Result<(), Shortfall> {
        let now = shared.clock.now();
        let instances = shared.roster.borrow().share.map_or(1, |s| s.roster);
        let fresh = Bucket::local(now, contract, instances);
        let mut buckets = lock(&self.local);
        let bucket = buckets.entry(customer.clone()).or_insert(fresh);
        // Contract and roster may have changed since the bucket was created.
        bucket.update_rate(&fresh);
        bucket.spend(now, cost, contract)
    }

    async fn borrow(&self, shared: &Arc<Shared>, customer: &CustomerId, amount: Tokens) -> Tokens {
        let Some(home) = home(shared, customer) else {
            return Tokens(0);
        };
        if home == *shared.me() {
            return self.lend(shared, customer, amount);
        }
        let target = shared.roster.borrow().target(&home);
        let Some(target) = target else { return Tokens(0) };
        let request = Request::Borrow { customer: customer.clone(), amount };
        match shared.adapters.links.call(&target, request, LOAN_TIMEOUT).await {
            Ok(Reply::Lent(lent)) => lent,
            _ => Tokens(0),
        }
    }

    /// Lends tokens from a customer's home bucket, which this instance keeps.
    pub(crate) fn lend(&self, shared: &Shared, customer: &CustomerId, amount: Tokens) -> Tokens {
        let now = shared.clock.now();
        let snapshot = shared.config.snapshot();
        let contract = snapshot.contract(customer);
        let fresh = Bucket::home(now, contract);
        let mut buckets = lock(&self.home);
        let bucket = buckets.entry(customer.clone()).or_insert(fresh);
        bucket.update_rate(&fresh);
        bucket.lend(now, amount)
    }
}

/// Returns the instance that keeps a customer's home bucket, from which the other instances borrow.
fn home(shared: &Shared, customer: &CustomerId) -> Option<InstanceId> {
    let roster = shared.roster.borrow().clone();
    let zone = &shared.settings.instance.zone;
    rendezvous::owner(customer.as_str(), zone, roster.owners().map(|m| (&m.id, zone))).cloned()
}
