//! Settings of one instance.
//!
//! They say where the instance listens, who its peers may be and where the platform is. What operators decide for the
//! whole fleet is not here but in [`crate::fleet`].

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
    /// Who and where it is.
    pub instance: Instance,
    /// Its peers.
    pub fleet: Fleet,
    /// The platform's services.
    pub platform: Platform,
    /// Bounds on what callers send.
    #[serde(default)]
    pub callers: Callers,
    /// Bounds in time.
    #[serde(default)]
    pub timing: Timing,
    /// Who may operate the fleet.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Who and where an instance is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name, unique in the fleet.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers and operators reach it.
    pub listen: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
}

/// The peers of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Instances to start from, until the platform's list is read.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Certificate of the fleet's authority, PEM.
    pub authority: PathBuf,
    /// This instance's certificate, PEM.
    pub certificate: PathBuf,
    /// Its private key, PEM.
    pub key: PathBuf,
}

/// An instance to start from.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Its name.
    pub id: InstanceId,
    /// Where peers reach it.
    pub peer: SocketAddr,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the table service.
    pub tables: String,
    /// Base URL of the object store.
    pub objects: String,
    /// Base URL of the list of live and leaving instances.
    pub instances: String,
    /// Token for the platform, if it asks for one.
    #[serde(default)]
    pub token: Option<SecretSource>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Largest body of a completion.
    pub body: ByteSize,
    /// Largest body of a plain call.
    pub call: ByteSize,
    /// Pieces of an answer held for a slow caller.
    pub backlog: usize,
}

impl Default for Callers {
    fn default() -> Self {
        Self { body: ByteSize::mib(16), call: ByteSize::mib(1), backlog: 64 }
    }
}

/// Bounds in time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Silence after which a stream is taken up on a new connection.
    pub silence: Span,
    /// Time that the balancer needs to notice an instance that is not ready.
    pub balancer: Span,
    /// Longest shutdown.
    pub shutdown: Span,
    /// Time limit of one call to the platform.
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
    /// Office that they sit in.
    pub office: String,
    /// SHA-256 of the token, in hexadecimal.
    pub token: KeyHash,
}

/// A secret that is never shown.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum SecretSource {
    /// Read from this file.
    File(PathBuf),
    /// Read from this variable of the environment.
    Env(String),
}

impl SecretSource {
    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Says which file or variable can't be read, never what it holds.
    pub fn read(&self) -> Result<String, String> {
        match self {
            Self::File(path) => std::fs::read_to_string(path)
                .map(|s| s.trim().to_owned())
                .map_err(|e| format!("read of the secret in {}: {e}", path.display())),
            Self::Env(name) => {
                std::env::var(name).map_err(|e| format!("read of the secret in the variable {name}: {e}"))
            }
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
    /// Reads and checks the settings at `path`; relative paths in them start from its folder.
    ///
    /// # Errors
    ///
    /// [`LoadError`] with the place and what is wrong there.
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

    /// Checks that the values go together.
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
            return Err("fleet.seeds gives another address for this instance".into());
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
