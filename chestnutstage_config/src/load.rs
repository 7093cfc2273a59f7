//! Loading of TOML files, with errors that name the line and suggest the nearest known key.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Minimum Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const SIMILARITY_MIN: f64 = 0.6;

/// A file could not be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file's text is not valid TOML, or not of the expected type.
    #[error("{path}:{line}: {message}", path = path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// What is wrong there.
        message: String,
    },
    /// The values are invalid or contradict each other.
    #[error("{path}: {message}", path = path.display())]
    Check {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
}

/// Reads a value from the file at `path`.
///
/// # Errors
///
/// [`LoadError`] with the file, the line and the nearest known key.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, LoadError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| LoadError::Read { path: path.to_owned(), source })?;
    parse(&text, path)
}

/// Reads a value from `text`, which came from `path`.
///
/// # Errors
///
/// [`LoadError::Parse`] with the line and the nearest known key.
pub fn parse<T: DeserializeOwned>(text: &str, path: &Path) -> Result<T, LoadError> {
    toml::from_str(text).map_err(|e| {
        let start = e.span().map_or(0, |s| s.start);
        let line = text[..start.min(text.len())].matches('\n').count() + 1;
        LoadError::Parse { path: path.to_owned(), line, message: suggest(e.message()) }
    })
}

/// Adds the nearest known key to a message about an unknown one.
fn suggest(message: &str) -> String {
    let mut names = message.split('`').skip(1).step_by(2);
    let unknown = names.next().filter(|_| message.starts_with("unknown field"));
    let Some(unknown) = unknown else {
        return message.to_owned();
    };
    let nearest = names
        .map(|known| (strsim::jaro_winkler(unknown, known), known))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((_, known)) => format!("unknown key `{unknown}`; did you mean `{known}`?"),
        None => message.replacen("unknown field", "unknown key", 1),
    }
}
