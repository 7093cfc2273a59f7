//! Settings of one instance.
//!
//! They set the instance's own addresses, its peers and the platform's URLs. The configuration that operators set for
//! the whole fleet is in [`crate::fleet`].

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytesize::ByteSize;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::key::KeyHash;
use crate::load::{self, LoadError};
use crate::units::Span;

/// Settings of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of the instance.
    pub instance: Instance,
    /// How it finds and authenticates its peers.
    pub fleet: Fleet,
    /// The platform's services.
    pub platform: Platform,
    /// Limits for callers.
    #[serde(default)]
    pub callers: Callers,
    /// Time limits.
    #[serde(default)]
    pub timing: Timing,
    /// Who may operate the fleet.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Identity and addresses of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name, unique in the fleet.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// How an instance finds and authenticates its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Initial peers, used until the platform's instance list is read.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Certificate of the fleet's authority, PEM.
    pub authority: PathBuf,
    /// This instance's certificate, PEM.
    pub certificate: PathBuf,
    /// Its private key, PEM.
    pub key: PathBuf,
}

/// An initial peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Its name.
    pub id: InstanceId,
    /// Its address for peers.
    pub peer: SocketAddr,
}

/// URLs of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the table service.
    pub tables: String,
    /// Base URL of the object store.
    pub objects: String,
    /// Base URL of the list of live and leaving instances.
    pub instances: String,
    /// Token for the platform, if it requires one.
    #[serde(default)]
    pub token: Option<SecretSource>,
}

/// Limits for callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Maximum size of the body of a completion request.
    pub body: ByteSize,
    /// Maximum size of the body of a call to a plain service.
    pub call: ByteSize,
    /// Number of answer pieces buffered for a slow caller.
    pub backlog: usize,
}

impl Default for Callers {
    fn default() -> Self {
        Self { body: ByteSize::mib(16), call: ByteSize::mib(1), backlog: 64 }
    }
}

/// Time limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Silence after which a stream is resumed on a new connection.
    pub silence: Span,
    /// Time that the load balancer needs to notice that an instance is not ready.
    pub balancer: Span,
    /// Maximum duration of a shutdown.
    pub shutdown: Span,
    /// Timeout of one call to the platform.
    pub platform: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            silence: Span(Duration::from_secs(2)),
            balancer: Span(Duration::from_secs(3)),
            shutdown: Span(Duration::from_mins(5)),
            platform: Span(Duration::from_secs(1)),
        }
    }
}

/// Someone who may operate the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the person or team.
    pub name: String,
    /// Office of the person or team.
    pub office: String,
    /// SHA-256 of the token, in hexadecimal.
    pub token: KeyHash,
}

/// Source of a secret. The secret itself is never printed.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum SecretSource {
    /// A file.
    File(PathBuf),
    /// An environment variable.
    Env(String),
}

impl SecretSource {
    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Names the file or variable that can't be read, never its content.
    pub fn read(&self) -> Result<String, String> {
        match self {
            Self::File(path) => std::fs::read_to_string(path)
                .map(|s| s.trim().to_owned())
                .map_err(|e| format!("cannot read the secret in {}: {e}", path.display())),
            Self::Env(name) => std::env::var(name)
                .map_err(|e| format!("cannot read the secret in environment variable {name}: {e}")),
        }
    }
}

impl fmt::Debug for SecretSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Serialize for SecretSource {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("(secret)")
    }
}

impl Settings {
    /// Reads and checks the settings at `path`; relative paths in them are resolved against its folder.
    ///
    /// # Errors
    ///
    /// [`LoadError`] with the file, the line if known, and the problem.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let mut settings: Self = load::load(path)?;
        settings.check().map_err(|message| LoadError::Check { path: path.to_owned(), message })?;
        let base = path.parent().unwrap_or(Path::new("."));
        for file in [&mut settings.fleet.authority, &mut settings.fleet.certificate, &mut settings.fleet.key]
        {
            *file = base.join(&*file);
        }
        Ok(settings)
    }

    /// Checks that the values are valid and consistent.
    ///
    /// # Errors
    ///
    /// Says which value is wrong and why.
    pub fn check(&self) -> Result<(), String> {
        if self.instance.id.as_str().is_empty() {
            return Err("instance.id is empty".into());
        }
        if self.instance.listen == self.instance.peer && self.instance.peer.port() != 0 {
            return Err("instance.listen and instance.peer are the same address".into());
        }
        if self.fleet.seeds.iter().any(|s| s.id == self.instance.id && s.peer != self.instance.peer) {
            return Err("fleet.seeds lists this instance with an address other than instance.peer".into());
        }
        if self.callers.backlog == 0 {
            return Err("callers.backlog must be at least 1".into());
        }
        for url in [&self.platform.tables, &self.platform.objects, &self.platform.instances] {
            if !url.starts_with("http://") && !url.starts_with("https://") {
                return Err(format!("platform: `{url}` is not an http or https URL"));
            }
        }
        Ok(())
    }
}
