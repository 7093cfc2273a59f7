//! Digest by which the repeats of a request are recognized.
//!
//! A repeat comes with the same method, host, path with its query, content headers, body and key of the caller; its id, deadline and
//! connection differ. The digest is cryptographic, so that no caller can craft a request with the digest of another's.

use chestnutstage_core::quarantine::Feature;
use http::request::Parts;
use http::{HeaderName, header};
use sha2::{Digest, Sha256};

/// Digest of a request with its whole `body`. `content` names the headers that are part of what is asked for.
pub(crate) fn digest(parts: &Parts, key: Option<&str>, content: &[HeaderName], body: &[u8]) -> Feature {
    let mut hasher = Sha256::new();
    // Each field is preceded by its length, so that fields can't be shifted into each other.
    let mut add = |field: &[u8]| {
        hasher.update((field.len() as u64).to_le_bytes());
        hasher.update(field);
    };
    add(parts.method.as_str().as_bytes());
    add(parts.uri.path_and_query().map_or("", |target| target.as_str()).as_bytes());
    add(&[u8::from(key.is_some())]);
    add(key.unwrap_or_default().as_bytes());
    for name in [&header::HOST].into_iter().chain(content) {
        let values: Vec<_> = parts.headers.get_all(name).iter().collect();
        add(&(values.len() as u64).to_le_bytes());
        for value in values {
            add(value.as_bytes());
        }
    }
    add(body);
    let hash = hasher.finalize();
    Feature::Request(u64::from_le_bytes(hash[..8].try_into().expect("a digest has more than eight bytes")))
}
