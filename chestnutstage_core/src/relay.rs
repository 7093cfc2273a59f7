//! Forwards a stream in complete events, so that another endpoint can resume it.
//!
//! An endpoint's bytes arrive in arbitrary fragments. Only complete events are forwarded to the caller, unchanged; an
//! incomplete event is buffered, and discarded when the connection breaks. Another endpoint resumes after the id of the
//! last forwarded event. After a failover, events up to and including that id are dropped, so that none is delivered
//! twice.

use bytes::{Bytes, BytesMut};

/// Terminates an event.
const EVENT_END: &[u8] = b"\n\n";
/// Field name of an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Splits the streams of one answer into events, across failovers.
#[derive(Debug, Default)]
pub struct Relay {
    buffer: BytesMut,
    last_id: Option<u64>,
    forwarded: u64,
    resumed: bool,
    /// Bytes of the buffer that were searched for the end of an event.
    searched: usize,
}

impl Relay {
    /// Appends bytes from the endpoint and returns the complete events to forward to the caller.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(at) = find(&self.buffer[self.searched..], EVENT_END) {
            let event = self.buffer.split_to(self.searched + at + EVENT_END.len());
            self.searched = 0;
            let id = event_id(&event);
            if self.resumed && id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.forwarded += 1;
            out.extend_from_slice(&event);
        }
        // The end of an event may be split between two fragments.
        self.searched = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        out.freeze()
    }

    /// Whether the start of a stream contains a whole event.
    pub fn has_event(bytes: &[u8]) -> bool {
        find(bytes, EVENT_END).is_some()
    }

    /// Id of the last forwarded event.
    pub const fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events forwarded so far.
    pub const fn event_count(&self) -> u64 {
        self.forwarded
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the incomplete event; the next bytes come from another endpoint.
    pub fn resume(&mut self) {
        self.buffer.clear();
        self.searched = 0;
        self.resumed = true;
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Numeric id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&b| b == b'\n').find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
