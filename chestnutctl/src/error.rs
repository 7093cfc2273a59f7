//! Errors of the tool, with their exit codes.

use std::path::PathBuf;

use chestnutstage_config::load::LoadError;
use thiserror::Error;

/// Error of a command.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// A file can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The input is invalid.
    #[error("{0}")]
    Input(String),
    /// A file can't be read or written.
    #[error("{step} of {path} failed: {source}", path = path.display())]
    File {
        /// Operation that failed.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A request to the instance failed, or the gateway answered with an error status.
    #[error("request to {peer} failed: {reason}")]
    Call {
        /// Address of the instance.
        peer: String,
        /// Cause.
        reason: String,
    },
    /// The instance refused the request.
    #[error("{code} (outcome {outcome}): {message}")]
    Refused {
        /// Stable error code.
        code: String,
        /// Whether the request may have taken effect.
        outcome: String,
        /// Description for operators.
        message: String,
    },
    /// A change is committed but not in force everywhere.
    #[error("version {version} is committed, but not yet in force at: {missing}")]
    Pending {
        /// Version of the change.
        version: u64,
        /// Instances that have not acknowledged it.
        missing: String,
    },
    /// A check found faults.
    #[error("{path}: {count} findings", path = path.display())]
    Findings {
        /// The file.
        path: PathBuf,
        /// Number of faults.
        count: usize,
    },
    /// Certificates can't be created.
    #[error("cannot create certificates: {0}")]
    Certificate(#[from] rcgen::Error),
}

impl CtlError {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
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
