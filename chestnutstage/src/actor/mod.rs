//! Actors: each owns one state machine of the core, feeds it events, and carries out its actions.

pub(crate) mod claim_writer;
pub(crate) mod committer;
pub(crate) mod members;
pub(crate) mod owner;
