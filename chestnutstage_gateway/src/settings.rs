//! Settings of a gateway instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use chestnutstage_config::load::{LoadError, load, parse};
use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::waiting::Mode;
use serde::{Deserialize, Serialize};

/// Fraction of the shared retry budget that is used; the remainder covers instances that joined but are not known yet.
const RETRY_FRACTION: f64 = 0.8;

/// Settings of a gateway instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: InstanceSettings,
    /// Addresses and ports on which the instance listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Limits that the deployment sets.
    #[serde(default)]
    pub bounds: Bounds,
    /// Placement of requests.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Requests for which there is no place yet.
    #[serde(default)]
    pub admission: Admission,
}

/// Identity of the instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// IP address for links to the other instances and for the metrics port.
    pub ip: Ipv4Addr,
    /// Processor capacity, in cores; instances with more of it place requests for the others.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Whether the whole deployment starts for the first time, so that the other instances register at the same moment.
    #[serde(default)]
    pub first_start: bool,
}

const fn default_cores() -> f64 {
    1.0
}

impl InstanceSettings {
    /// Processor capacity, in thousandths of a core.
    pub(crate) fn capacity(&self) -> u32 {
        (self.cores * 1e3) as u32
    }
}

/// Addresses and ports on which the instance listens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the balancer, metrics and the state dump.
    pub checks: SocketAddr,
    /// Port for links of the other instances.
    pub peers: u16,
    /// Additional port for metrics and the state dump; none by default.
    #[serde(default)]
    pub metrics: Option<u16>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Placement of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Whether placements follow what the planners learn of the endpoints' pace.
    pub learned_capacity: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self { learned_capacity: true }
    }
}

/// Requests for which there is no place yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// When they wait for a place instead of being refused at once.
    pub waiting: Mode,
}

/// Limits that the deployment sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Age at which cached customer keys expire, in milliseconds.
    pub keys_ms: f64,
    /// Grace period of a shutdown for open requests, in seconds.
    pub grace_s: f64,
    /// Ratio of retries to requests, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio in any ten seconds, over all instances.
    pub retry_extra: f64,
    /// Factor by which a cold endpoint's rate is multiplied to get the limit on its requests in any second.
    pub cold_factor: f64,
    /// Requests added to that limit.
    pub cold_extra: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            keys_ms: 5_000.0,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_extra: 20.0,
            cold_factor: 1.0,
            cold_extra: 0.0,
        }
    }
}

impl Bounds {
    /// Age at which cached customer keys expire.
    pub(crate) fn keys(&self) -> Duration {
        Duration::from_secs_f64(self.keys_ms / 1e3)
    }

    /// Retries that each request adds to the budget of one instance.
    pub(crate) fn retry_ratio(&self) -> f64 {
        self.retry_ratio * RETRY_FRACTION
    }

    /// Maximum number of retries that one of `count` instances can save.
    pub(crate) fn retry_share(&self, count: usize) -> f64 {
        self.retry_extra * RETRY_FRACTION / count.max(1) as f64
    }

    /// Grace period of a shutdown for open requests.
    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// [`LoadError`] names the file and the line, or the invalid or conflicting values.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        load::<Self>(path)?.check(path)
    }

    /// Parses and checks the settings in `text`, which was read from `path`.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, LoadError> {
        parse::<Self>(text, path)?.check(path)
    }

    fn check(self, path: &Path) -> Result<Self, LoadError> {
        let invalid =
            |message: &str| Err(LoadError::Check { path: path.to_owned(), message: message.to_owned() });
        if self.listen.callers == self.listen.checks {
            return invalid("listen.callers and listen.checks are the same address");
        }
        if !(1_000.0..=1e9).contains(&self.bounds.keys_ms) {
            return invalid(
                "bounds.keys_ms is not between 1000 and 1e9; the store can't confirm keys more often than once a second",
            );
        }
        if !(0.001..=1e6).contains(&self.instance.cores) {
            return invalid("instance.cores is not between 0.001 and 1e6");
        }
        if !(0.0..=1e6).contains(&self.bounds.grace_s) {
            return invalid("bounds.grace_s is not between 0 and 1e6");
        }
        if !(0.0..=10.0).contains(&self.bounds.retry_ratio) {
            return invalid("bounds.retry_ratio is not between 0 and 10");
        }
        Ok(self)
    }
}
