//! Decision logic of chestnutstage.
//!
//! Every module is a pure state machine that receives events and the current time and returns actions. None reads a
//! clock, performs I/O or uses a global random source, so that the daemon, the tests and the benches run the same
//! decisions. [`owner`] and [`route`] place requests through the owners of endpoints; [`pool`] places them without owners,
//! from the grants that all instances exchange, and [`waiting`] orders
//! those for which there is no place yet. [`members`] and [`rollout`] keep the instances in agreement, and
//! [`idempotency`], [`stream`] and [`outcome`] implement the guarantees given to callers.

#![warn(missing_docs)]

pub mod affinity;
pub mod budget;
pub mod catalog;
pub mod chain;
pub mod contract;
pub mod decision;
pub mod endpoint;
mod endpoint_state;
pub mod engine;
mod fair;
pub mod grant;
pub mod idempotency;
pub mod ids;
pub mod length;
pub mod members;
pub mod mix;
pub mod order;
pub mod outcome;
pub mod owner;
pub mod paths;
pub mod pause;
pub mod planners;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod relay;
pub mod rendezvous;
pub mod reservation;
pub mod rollout;
pub mod route;
pub mod stream;
pub mod time;
pub mod turns;
pub mod waiting;
pub mod window;

pub use endpoint_state::Service;
