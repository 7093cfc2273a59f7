//! Actors. Each owns a state machine of the core crate, feeds it events, and performs its actions.

pub(crate) mod claim_writer;
pub(crate) mod committer;
pub(crate) mod members;
pub(crate) mod owner;
