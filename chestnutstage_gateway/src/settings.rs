//! Settings of a gateway instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use chestnutstage_config::load::{LoadError, load, parse};
use chestnutstage_core::ids::{InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

/// Part of the shared retries that is used; the rest covers instances that joined unseen.
const RETRY_USED: f64 = 0.8;

/// Settings of a gateway instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who it is.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's store is.
    pub store: Store,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Who the instance is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its name.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address.
    pub ip: Ipv4Addr,
}

/// Where the instance listens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's readiness checks, the metrics and the state dump.
    pub checks: SocketAddr,
    /// Port for the other instances.
    pub peers: u16,
    /// Port for metrics and the state dump alone; none by default.
    #[serde(default)]
    pub metrics: Option<u16>,
}

/// Where the platform's store is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that the deployment sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Age from which what is known of customers' keys no longer holds, in milliseconds.
    pub keys_ms: f64,
    /// Time for which a shutdown waits for requests under way, in seconds.
    pub grace_s: f64,
    /// Retries for each request, over all instances.
    pub retry_ratio: f64,
    /// Retries beyond the ratio in any ten seconds, over all instances.
    pub retry_extra: f64,
    /// Factor by which a cold endpoint's rate may be passed in any second.
    pub cold_factor: f64,
    /// Requests beyond that factor.
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
    /// Age from which what is known of customers' keys no longer holds.
    pub(crate) fn keys(&self) -> Duration {
        Duration::from_secs_f64(self.keys_ms / 1e3)
    }

    /// Retries that one instance earns with each request.
    pub(crate) fn retry_ratio(&self) -> f64 {
        self.retry_ratio * RETRY_USED
    }

    /// Retries that one of `count` instances may save up.
    pub(crate) fn retry_share(&self, count: usize) -> f64 {
        self.retry_extra * RETRY_USED / count.max(1) as f64
    }

    /// Time for which a shutdown waits for requests under way.
    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// [`LoadError`] names the file and the line, or the values that don't go together.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        load::<Self>(path)?.check(path)
    }

    /// Reads and checks settings in `text`, which came from `path`.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, LoadError> {
        parse::<Self>(text, path)?.check(path)
    }

    fn check(self, path: &Path) -> Result<Self, LoadError> {
        let wrong =
            |message: &str| Err(LoadError::Check { path: path.to_owned(), message: message.to_owned() });
        if self.listen.callers == self.listen.checks {
            return wrong("listen.callers and listen.checks are the same address");
        }
        if !(1_000.0..=1e9).contains(&self.bounds.keys_ms) {
            return wrong("bounds.keys_ms is under a second; no store can confirm keys that often");
        }
        if !(0.0..=1e6).contains(&self.bounds.grace_s) {
            return wrong("bounds.grace_s is not a time in seconds");
        }
        if !(0.0..=10.0).contains(&self.bounds.retry_ratio) {
            return wrong("bounds.retry_ratio is not between 0 and 10");
        }
        Ok(self)
    }
}
