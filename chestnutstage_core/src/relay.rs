//! Whole events of a stream, so that another endpoint can continue it.
//!
//! Bytes of an endpoint come in any pieces. Only whole events go on to the caller, unchanged; the rest waits for its end
//! and is dropped when the connection breaks. The id of the last event that went on is where another endpoint continues.
//! Events at or before it are dropped after a change of the endpoint, so that none comes twice.

use bytes::{Bytes, BytesMut};

/// End of an event.
const END: &[u8] = b"\n\n";
/// Name of the line with an event's id.
const ID: &[u8] = b"id:";

/// Splits the streams of one answer at the ends of events.
#[derive(Debug, Default)]
pub struct Relay {
    rest: BytesMut,
    last: Option<u64>,
    events: u64,
    resumed: bool,
}

impl Relay {
    /// Takes bytes of the endpoint; gives the whole events that go on to the caller.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(at) = find(&self.rest, END) {
            let event = self.rest.split_to(at + END.len());
            let id = event_id(&event);
            if self.resumed && id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            self.events += 1;
            out.extend_from_slice(&event);
        }
        out.freeze()
    }

    /// Id of the last event that went on.
    pub const fn last_event_id(&self) -> Option<u64> {
        self.last
    }

    /// Events that went on.
    pub const fn event_count(&self) -> u64 {
        self.events
    }

    /// Bytes of an event whose end has not come.
    pub fn partial_len(&self) -> usize {
        self.rest.len()
    }

    /// Goes on with the stream of another endpoint.
    pub fn resume(&mut self) {
        self.rest.clear();
        self.resumed = true;
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Id of an event, if it is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&b| b == b'\n').find_map(|line| line.strip_prefix(ID))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
