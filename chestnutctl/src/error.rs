//! Failures of the tool, with their exit codes.

use std::path::PathBuf;

use chestnutstage_config::load::LoadError;
use thiserror::Error;

/// What went wrong.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// A file is wrong.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The input is wrong.
    #[error("{0}")]
    Input(String),
    /// A file can't be read or written.
    #[error("{step} of {path}: {source}", path = path.display())]
    File {
        /// What was being done.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The instance can't be reached.
    #[error("call of {peer}: {reason}")]
    Call {
        /// The instance's address.
        peer: String,
        /// What went wrong.
        reason: String,
    },
    /// The instance refused.
    #[error("{code} (outcome {outcome}): {message}")]
    Refused {
        /// Stable code.
        code: String,
        /// Whether it may have taken effect.
        outcome: String,
        /// What went wrong.
        message: String,
    },
    /// A change is committed but not in force everywhere.
    #[error("version {version} is committed, but not yet in force at: {missing}")]
    Pending {
        /// The version.
        version: u64,
        /// Instances that have not acknowledged it.
        missing: String,
    },
    /// Certificates can't be made.
    #[error("certificates: {0}")]
    Certificate(#[from] rcgen::Error),
}

impl CtlError {
    /// Exit code of the process.
    pub(crate) fn exit(&self) -> u8 {
        match self {
            Self::Load(_) | Self::Input(_) => 2,
            Self::Refused { code, .. } if code == "conflict" => 3,
            Self::Refused { code, .. } if code == "invalid_change" => 2,
            Self::Pending { .. } => 4,
            Self::Refused { outcome, .. } if outcome == "unknown" => 5,
            _ => 1,
        }
    }
}
