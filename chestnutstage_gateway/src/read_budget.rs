//! Limit on the bytes from an endpoint that belong to no body.
//!
//! An endpoint in trouble may send bytes that are no response until its connection is closed: interim responses, digits of
//! a chunk's size, trailers. Each request allows a number of such bytes; the data of the response's body is allowed in
//! addition, as it is read.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::observed_stream::ReadObserver;

/// Bytes of one response that may belong to no body.
const FRAMING_BYTES_MAX: usize = 256 << 10;
/// Bytes that are allowed for each byte of the body: short chunks have a size line each.
const BYTES_PER_DATA_BYTE: usize = 4;

/// Number of bytes that may still be read from a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Starts the budget of a request.
    pub(crate) fn start_request(&self) {
        self.0.store(FRAMING_BYTES_MAX, Ordering::Relaxed);
    }

    /// Allows further bytes after `len` bytes of the body have been read.
    pub(crate) fn record_data(&self, len: usize) {
        self.0.fetch_add(len * BYTES_PER_DATA_BYTE, Ordering::Relaxed);
    }
}

impl ReadObserver for ReadBudget {
    fn record_read(&self, len: usize) -> io::Result<()> {
        let taken = self.0.try_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(len));
        taken.map(|_| ()).map_err(|_| {
            io::Error::new(io::ErrorKind::InvalidData, "too many bytes that belong to no response")
        })
    }
}
