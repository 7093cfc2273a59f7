//! Prompts that exceed the KV memory of any single engine.
//!
//! The prompt is split into segments, one per engine. Memory for the whole chain is reserved first, all or nothing and
//! without waiting while some of it is held, so that two such prompts can't deadlock. Then each engine imports the KV
//! cache of its predecessor and prefills its own segment. When an engine fails, only its own segment is prefilled again:
//! the other segments' caches depend on the same text and stay valid.

use crate::endpoint::Size;
use crate::length::Tokens;

/// Share of an engine's memory that a segment may use; the remainder is for other requests on the engine.
const MEMORY_SHARE_MAX: f64 = 0.8;
/// Maximum number of segments of one prompt.
const SEGMENTS_MAX: u64 = 16;
/// Maximum number of segment retries in one run.
const RETRIES_MAX: u32 = 3;

/// Splits a request into segments for engines with `memory`; `None` if it would need too many.
///
/// The last segment generates the answer.
pub fn plan(size: Size, memory: Tokens) -> Option<Vec<Size>> {
    let largest = (memory.as_f64() * MEMORY_SHARE_MAX) as u64;
    let count = size.memory().0.div_ceil(largest.max(1));
    if count > SEGMENTS_MAX {
        return None;
    }
    let share = size.memory().0.div_ceil(count.max(1));
    let mut remaining = size.prompt.0;
    let mut segments = Vec::new();
    for _ in 1..count {
        let prompt = share.min(remaining);
        remaining -= prompt;
        segments.push(Size { prompt: Tokens(prompt), output: Tokens(0) });
    }
    segments.push(Size { prompt: Tokens(remaining), output: size.output });
    Some(segments)
}

/// What happened to a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An owner granted an engine for it.
    Granted,
    /// No owner can grant an engine for it now.
    Refused,
    /// The engine reserved the memory.
    Reserved,
    /// The engine has too little free memory.
    NoRoom,
    /// The engine has prefilled it.
    Prefilled,
    /// The engine failed or lost the segment.
    Broken,
    /// The answer is complete.
    Done,
}

/// Next action of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Request a grant of an engine for this segment, without waiting.
    RequestGrant(usize),
    /// Reserve memory for this segment.
    Reserve(usize),
    /// Prefill this segment after importing the KV cache of the one before it.
    Prefill(usize),
    /// Generate the answer on the last segment's engine.
    Decode,
    /// Free everything, wait briefly, and start over.
    BackOff,
    /// Fail the request: too many engine failures.
    Fail,
    /// Free everything: the answer is complete.
    Finish,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    Pending,
    Granted,
    Reserved,
    Prefilled,
}

/// Run of one prompt over a chain of engines.
#[derive(Debug)]
pub struct Chain {
    states: Vec<State>,
    retries: u32,
}

impl Chain {
    /// Creates a run of `segments` segments.
    pub fn new(segments: usize) -> Self {
        Self { states: vec![State::Pending; segments.max(1)], retries: 0 }
    }

    /// Returns the next step.
    pub fn next(&self) -> Step {
        let first = |below: State| self.states.iter().position(|s| *s < below);
        if let Some(segment) = first(State::Granted) {
            return Step::RequestGrant(segment);
        }
        if let Some(segment) = first(State::Reserved) {
            return Step::Reserve(segment);
        }
        first(State::Prefilled).map_or(Step::Decode, Step::Prefill)
    }

    /// Records an event of `segment` and returns the next step.
    pub fn step(&mut self, segment: usize, event: Event) -> Step {
        match event {
            Event::Granted => self.states[segment] = State::Granted,
            Event::Reserved => self.states[segment] = State::Reserved,
            Event::Prefilled => self.states[segment] = State::Prefilled,
            Event::Done => return Step::Finish,
            Event::Refused | Event::NoRoom => return self.start_over(),
            Event::Broken => {
                self.states[segment] = State::Pending;
                self.retries += 1;
                if self.retries > RETRIES_MAX {
                    return Step::Fail;
                }
            }
        }
        self.next()
    }

    fn start_over(&mut self) -> Step {
        self.states.fill(State::Pending);
        Step::BackOff
    }
}
