//! Assembly of an answer from numbered pieces.
//!
//! Every piece names its request, the engine's life and its offset. Late, crossed and doubled pieces are dropped, a gap
//! is fetched again, and an answer is whole only with its end marker.

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, RequestId};

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The request that it answers.
    pub request: RequestId,
    /// The engine's life.
    pub boot: BootId,
    /// Number of the piece, from zero.
    pub offset: u64,
    /// Text.
    pub text: String,
    /// Whether the answer ends with it.
    pub last: bool,
}

/// What to do with a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// Show it to the caller.
    Forward,
    /// Show it; the answer is whole.
    Last,
    /// Drop it: it was shown before.
    Duplicate,
    /// Drop it: it belongs to another request or to another life of the engine.
    Foreign,
    /// Drop it and resume from this offset.
    Gap(u64),
}

/// State of one answer.
#[derive(Debug)]
pub struct Assembly {
    request: RequestId,
    boot: Option<BootId>,
    next: u64,
    whole: bool,
}

impl Assembly {
    /// Nothing received yet for `request`.
    pub const fn new(request: RequestId) -> Self {
        Self { request, boot: None, next: 0, whole: false }
    }

    /// Offset of the next piece to show.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Whether the end marker was shown.
    pub const fn is_complete(&self) -> bool {
        self.whole
    }

    /// Whether nothing was shown yet, so that the request may start over elsewhere.
    pub const fn is_empty(&self) -> bool {
        self.next == 0
    }

    /// Judges a piece.
    pub fn accept(&mut self, piece: &Piece) -> Accept {
        let boot = *self.boot.get_or_insert(piece.boot);
        if piece.request != self.request || piece.boot != boot {
            if self.next == 0 && piece.request != self.request {
                self.boot = None;
            }
            return Accept::Foreign;
        }
        if self.whole || piece.offset < self.next {
            return Accept::Duplicate;
        }
        if piece.offset > self.next {
            return Accept::Gap(self.next);
        }
        self.next += 1;
        if piece.last {
            self.whole = true;
            return Accept::Last;
        }
        Accept::Forward
    }
}
