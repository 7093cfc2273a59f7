//! Routed services: which request goes to which service, and for whom.
//!
//! A [`Catalog`] is one version of what the operators published: routes, services, customers and limits. A
//! [`Directory`] is the same version with indexes. Routes are found by host and longest prefix; customers by their key.
//! Versions only rise: [`Directory`]s are replaced whole, and the caller of [`Directory::supersedes`] drops older ones.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::Costs;
use crate::ids::{CustomerId, ModelId};

/// What may be done again with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at the most.
    Once,
    /// The answer is a stream of events that must run once.
    Stream,
    /// The answer is a stream of events that another endpoint may continue after any whole event.
    Resumable,
}

impl Repeat {
    /// Whether the request may be sent again after an attempt whose outcome is unknown.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Times within which an answer has its full worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Until the answer, or the first event of a stream.
    pub first: Duration,
    /// Between two events of a stream.
    pub gap: Duration,
}

/// A share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ModelId,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the paths, with a slash at both ends.
    pub prefix: String,
    /// What may be done again.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Times within which an answer has its full worth.
    pub target: Target,
    /// Rank among other work; zero goes first.
    pub rank: u8,
    /// Services of the route.
    pub shares: Vec<Share>,
    /// Most endpoints on which one request may run.
    pub attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// Service for the request `id`: the same for every look-up of the same request.
    pub fn service(&self, id: &[u8]) -> Option<&ModelId> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = xxh3_64(id) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// Load that an endpoint bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ColdRate {
    /// Requests per second over all instances; zero means no bound.
    pub per_second: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Connections that one endpoint accepts from all instances together.
    pub connections: u32,
    /// Load that a cold endpoint bears.
    pub cold: ColdRate,
    /// Batch costs, if the endpoints are model engines.
    pub engine: Option<Costs>,
}

/// Connections in use that an endpoint may have for each of its slots: those that answer, and those that open meanwhile.
const USED_PER_SLOT: u32 = 2;

impl ServiceSpec {
    /// Idle connections that each of `instances` may keep to an endpoint with `slots`: an equal part of those that are not in
    /// use.
    pub fn idle_share(&self, slots: u32, instances: usize) -> usize {
        let used = slots.saturating_mul(USED_PER_SLOT);
        self.connections.saturating_sub(used) as usize / instances.max(1)
    }
}

/// One customer and the keys that name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The customer.
    pub id: CustomerId,
    /// Keys that callers send.
    pub keys: Vec<String>,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Size of all headers, in bytes.
    pub headers: usize,
    /// Size of a body, in bytes.
    pub body: usize,
    /// Time until all headers have come.
    pub header_time: Duration,
    /// Time for which a connection may be unused.
    pub idle_time: Duration,
}

/// One version of routes, services, customers and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Number of the version; rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ModelId, ServiceSpec>,
    /// Customers; keys are asked for only if there is any.
    pub customers: Vec<Account>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// A [`Catalog`] with indexes.
#[derive(Debug)]
pub struct Directory {
    catalog: Catalog,
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
}

impl From<Catalog> for Directory {
    fn from(catalog: Catalog) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in catalog.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&i| std::cmp::Reverse(catalog.routes[i].prefix.len()));
        }
        let keys = catalog
            .customers
            .iter()
            .enumerate()
            .flat_map(|(index, c)| c.keys.iter().map(move |k| (k.clone(), index)))
            .collect();
        Self { catalog, hosts, keys }
    }
}

impl Directory {
    /// The version that is indexed.
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Whether this version is newer than `other`.
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.catalog.version > other.catalog.version
    }

    /// Route of a path at a host; the longest prefix goes first.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let bare = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
        let routes = self.hosts.get(&host).or_else(|| self.hosts.get(bare))?;
        routes.iter().map(|&i| &self.catalog.routes[i]).find(|r| path.starts_with(&r.prefix))
    }

    /// Whether callers must show a key on routes that are not anonymous.
    pub const fn requires_key(&self) -> bool {
        !self.catalog.customers.is_empty()
    }

    /// Customer that `key` belongs to.
    pub fn customer(&self, key: &str) -> Option<&Account> {
        self.keys.get(key).map(|&i| &self.catalog.customers[i])
    }

    /// Specification of a service.
    pub fn service(&self, id: &ModelId) -> Option<&ServiceSpec> {
        self.catalog.services.get(id)
    }

    /// Bounds on what callers may send.
    pub const fn limits(&self) -> &CallerLimits {
        &self.catalog.limits
    }
}
