//! Tagged sections at the end of the messages between instances.
//!
//! Messages are encoded by position, so a field that is added in the middle can't be read by instances of another build,
//! and builds run side by side while a deployment is upgraded. What is added to a message is therefore appended to it as
//! sections: a reader takes those whose tags it knows and skips the others, and a reader of a build without sections
//! ignores all of them.

use std::fmt;

use bytes::Bytes;
use log::warn;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Kind of a section; the numbers are part of the encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Tag {
    /// Capacities of endpoints that the sender learned.
    Capacities = 1,
    /// Turns of refused callers.
    Turns = 2,
    /// Who asks for a placement.
    Applicant = 16,
}

/// Sections of one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sections(Vec<(u16, Vec<u8>)>);

impl Sections {
    /// Adds or replaces a section. A value that can't be encoded is left out.
    pub fn set<T: Serialize + fmt::Debug>(&mut self, tag: Tag, value: &T) {
        match postcard::to_stdvec(value) {
            Ok(bytes) => {
                self.0.retain(|(other, _)| *other != tag as u16);
                self.0.push((tag as u16, bytes));
            }
            Err(e) => warn!(tag:?, value:?; "section of a message can't be encoded and is left out: {e}"),
        }
    }

    /// Decodes a section; `None` if there is none that can be read.
    pub fn get<T: DeserializeOwned>(&self, tag: Tag) -> Option<T> {
        let (_, bytes) = self.0.iter().find(|(other, _)| *other == tag as u16)?;
        match postcard::from_bytes(bytes) {
            Ok(value) => Some(value),
            Err(e) => {
                warn!(tag:?; "section of a message can't be decoded and is skipped: {e}");
                None
            }
        }
    }
}

/// Encodes a message with its sections.
///
/// # Errors
///
/// The message can't be encoded.
pub fn encode<T: Serialize>(message: &T, sections: &Sections) -> postcard::Result<Bytes> {
    let bytes = postcard::to_stdvec(message)?;
    // Without sections the bytes are those of a build that has none.
    let bytes = if sections.0.is_empty() { bytes } else { postcard::to_extend(sections, bytes)? };
    Ok(Bytes::from(bytes))
}

/// Decodes a message with its sections; there are none in a message of an older build.
///
/// # Errors
///
/// The message can't be decoded. Sections that can't be are skipped.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<(T, Sections)> {
    let (message, remaining) = postcard::take_from_bytes(bytes)?;
    if remaining.is_empty() {
        return Ok((message, Sections::default()));
    }
    let sections = postcard::from_bytes(remaining).unwrap_or_else(|e| {
        warn!("sections of a message can't be decoded and are skipped: {e}");
        Sections::default()
    });
    Ok((message, sections))
}
