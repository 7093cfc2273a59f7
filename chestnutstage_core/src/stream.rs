//! Reassembly of an answer from numbered pieces.
//!
//! Every piece carries its request id, the engine's boot id and its offset. Late, misdirected and duplicate pieces are
//! dropped, a gap is fetched again, and an answer is complete only with its end marker.

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, RequestId};

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Request that it answers.
    pub request: RequestId,
    /// Boot id of the engine that generated it.
    pub boot: BootId,
    /// Position in the answer, counted in pieces from zero.
    pub offset: u64,
    /// Generated text.
    pub text: String,
    /// Whether it is the last piece of the answer.
    pub last: bool,
}

/// What to do with a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// Forward it to the caller.
    Forward,
    /// Forward it; the answer is complete.
    Last,
    /// Drop it: it was forwarded before.
    Duplicate,
    /// Drop it: it belongs to another request or to another incarnation of the engine.
    Foreign,
    /// Drop it and resume from this offset.
    Gap(u64),
}

/// Reassembly state of one answer.
#[derive(Debug)]
pub struct Assembly {
    request: RequestId,
    boot: Option<BootId>,
    next: u64,
    complete: bool,
}

impl Assembly {
    /// Starts an empty answer to `request`.
    pub const fn new(request: RequestId) -> Self {
        Self { request, boot: None, next: 0, complete: false }
    }

    /// Offset of the next piece to forward.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Whether the end marker was forwarded.
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether no piece was forwarded yet, so that the request may restart on another engine.
    pub const fn is_empty(&self) -> bool {
        self.next == 0
    }

    /// Decides whether to forward or drop a piece, and advances the offset if it is forwarded.
    pub fn accept(&mut self, piece: &Piece) -> Accept {
        let boot = *self.boot.get_or_insert(piece.boot);
        if piece.request != self.request || piece.boot != boot {
            if self.next == 0 && piece.request != self.request {
                self.boot = None;
            }
            return Accept::Foreign;
        }
        if self.complete || piece.offset < self.next {
            return Accept::Duplicate;
        }
        if piece.offset > self.next {
            return Accept::Gap(self.next);
        }
        self.next += 1;
        if piece.last {
            self.complete = true;
            return Accept::Last;
        }
        Accept::Forward
    }
}
