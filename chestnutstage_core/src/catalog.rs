//! Catalog of routes, services, customers and limits.
//!
//! A [`Catalog`] is one version of the configuration that the operators published. A [`Directory`] is the same version
//! with indexes: routes are found by host and longest path prefix, customers by key. Versions only increase. A new
//! version replaces the whole [`Directory`]; callers use [`Directory::supersedes`] to drop older versions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::Costs;
use crate::ids::{CustomerId, ModelId};

/// Retry semantics of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is a stream of events, and the request may run at most once.
    Stream,
    /// The response is a stream of events that another endpoint can resume after any complete event.
    Resumable,
}

impl Repeat {
    /// Whether the request may be sent again after an attempt whose outcome is unknown.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Latency targets: times within which a response has its full value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Time to the response, or to the first event of a stream.
    pub first: Duration,
    /// Time between two events of a stream.
    pub gap: Duration,
}

/// Share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: ModelId,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host in the request.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Retry semantics.
    pub repeat: Repeat,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency targets.
    pub target: Target,
    /// Priority rank; zero is served first.
    pub rank: u8,
    /// Services of the route, with weights.
    pub shares: Vec<Share>,
    /// Maximum number of endpoints on which one request may run.
    pub attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// Service for request `id`; the same request always gets the same service.
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

/// Load limit of an endpoint during cold start.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ColdRate {
    /// Requests per second from all instances together; zero means no limit.
    pub per_second: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Maximum number of connections that one endpoint accepts from all instances together.
    pub connections: u32,
    /// Load limit of an endpoint during cold start.
    pub cold: ColdRate,
    /// Batch costs, if the endpoints are model engines.
    pub engine: Option<Costs>,
}

/// Connections in use per slot of an endpoint: one that carries a response, and one that is being opened meanwhile.
const CONNECTIONS_PER_SLOT: u32 = 2;

impl ServiceSpec {
    /// Maximum number of idle connections that each of `instances` may keep to an endpoint with `slots`: an equal share
    /// of the connections that are not in use.
    pub fn idle_share(&self, slots: u32, instances: usize) -> usize {
        let used = slots.saturating_mul(CONNECTIONS_PER_SLOT);
        self.connections.saturating_sub(used) as usize / instances.max(1)
    }
}

/// Customer and its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Customer id.
    pub id: CustomerId,
    /// Keys with which callers authenticate.
    pub keys: Vec<String>,
    /// Priority rank that overrides the route's.
    pub rank: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of all headers, in bytes.
    pub headers: usize,
    /// Maximum size of a body, in bytes.
    pub body: usize,
    /// Timeout for receiving all headers.
    pub header_time: Duration,
    /// Timeout after which an idle connection is closed.
    pub idle_time: Duration,
}

/// One version of routes, services, customers and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version number; increases with every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ModelId, ServiceSpec>,
    /// Customers; keys are required only if there is at least one.
    pub customers: Vec<Account>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// [`Catalog`] with indexes.
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
    /// Indexed catalog.
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Whether this version is newer than `other`.
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.catalog.version > other.catalog.version
    }

    /// Route for a host and path; the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let without_port = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
        let routes = self.hosts.get(&host).or_else(|| self.hosts.get(without_port))?;
        routes.iter().map(|&i| &self.catalog.routes[i]).find(|r| path.starts_with(&r.prefix))
    }

    /// Whether callers must send a key on routes that are not anonymous.
    pub const fn requires_key(&self) -> bool {
        !self.catalog.customers.is_empty()
    }

    /// Customer to which `key` belongs.
    pub fn customer(&self, key: &str) -> Option<&Account> {
        self.keys.get(key).map(|&i| &self.catalog.customers[i])
    }

    /// Specification of a service.
    pub fn service(&self, id: &ModelId) -> Option<&ServiceSpec> {
        self.catalog.services.get(id)
    }

    /// Limits on callers' requests and connections.
    pub const fn limits(&self) -> &CallerLimits {
        &self.catalog.limits
    }
}
