//! Prompts that no single engine can hold.
//!
//! The prompt is cut into segments, one an engine. Memory for the whole chain is taken first, all or nothing and
//! without waiting while some is held, so that two such prompts can't lock each other out. Then each engine imports
//! the KV cache of the one before it and prefills its own segment. An engine that dies costs its own segment: the
//! other segments' caches depend on the same text and stay valid.

use crate::endpoint::Size;
use crate::length::Tokens;

/// Part of an engine's memory that a segment may fill; the rest is room for the work beside it.
const FILL: f64 = 0.8;
/// Segments of one prompt, at the most.
const SEGMENTS_MAX: u64 = 16;
/// Segments that may be done over in one run.
const REDO_MAX: u32 = 3;

/// Cuts a request into segments for engines with `memory`; none if it would take too many.
///
/// The last segment carries the answer.
pub fn plan(size: Size, memory: Tokens) -> Option<Vec<Size>> {
    let largest = (memory.as_f64() * FILL) as u64;
    let count = size.memory().0.div_ceil(largest.max(1));
    if count > SEGMENTS_MAX {
        return None;
    }
    let share = size.memory().0.div_ceil(count.max(1));
    let mut left = size.prompt.0;
    let mut segments = Vec::new();
    for _ in 1..count {
        let prompt = share.min(left);
        left -= prompt;
        segments.push(Size { prompt: Tokens(prompt), output: Tokens(0) });
    }
    segments.push(Size { prompt: Tokens(left), output: size.output });
    Some(segments)
}

/// What happened to a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An owner granted an engine for it.
    Granted,
    /// No owner has an engine for it now.
    Refused,
    /// The engine reserved the memory.
    Reserved,
    /// The engine has no room.
    NoRoom,
    /// The engine has prefilled it.
    Prefilled,
    /// The engine broke, or lost the segment.
    Broken,
    /// The answer is whole.
    Done,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask for an engine for this segment, without waiting.
    RequestGrant(usize),
    /// Reserve memory for this segment.
    Reserve(usize),
    /// Prefill this segment, importing the one before it.
    Prefill(usize),
    /// Generate the answer on the last segment's engine.
    Decode,
    /// Free everything, wait a little, and start over.
    BackOff,
    /// Give up; too many engines broke.
    Fail,
    /// Free everything; the answer is whole.
    Finish,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    Wanted,
    Granted,
    Reserved,
    Prefilled,
}

/// Run of one prompt over a chain of engines.
#[derive(Debug)]
pub struct Chain {
    states: Vec<State>,
    redone: u32,
}

impl Chain {
    /// A run of `segments` segments.
    pub fn new(segments: usize) -> Self {
        Self { states: vec![State::Wanted; segments.max(1)], redone: 0 }
    }

    /// The next step.
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

    /// Takes in what happened to `segment`; gives the next step.
    pub fn step(&mut self, segment: usize, event: Event) -> Step {
        match event {
            Event::Granted => self.states[segment] = State::Granted,
            Event::Reserved => self.states[segment] = State::Reserved,
            Event::Prefilled => self.states[segment] = State::Prefilled,
            Event::Done => return Step::Finish,
            Event::Refused | Event::NoRoom => return self.start_over(),
            Event::Broken => {
                self.states[segment] = State::Wanted;
                self.redone += 1;
                if self.redone > REDO_MAX {
                    return Step::Fail;
                }
            }
        }
        self.next()
    }

    fn start_over(&mut self) -> Step {
        self.states.fill(State::Wanted);
        Step::BackOff
    }
}
