//! The daemon of chestnutstage, as a library that its binary, its tests and its benches share.
//!
//! [`Instance`] is a whole instance. The borders to everything outside, [`store`], [`engine`] and [`link`], are traits;
//! an [`InstanceCore`] instance takes whatever [`Adapters`] it is given.
//!
//! The path of a request reads: `caller` (HTTP) → `completion` or `call` (the run) → `entry` (a seat) →
//! `owner_client` and `link` (to the owner) → `actor::owner` (the decision) → `engine` (the endpoint), and back as one
//! stream of numbered pieces.

mod actor;
mod call;
mod caller;
mod chain;
pub mod cli;
mod clock;
mod completion;
mod config;
mod dump;
pub mod engine;
mod entry;
mod failure;
mod instance;
mod journal;
pub mod link;
mod memory;
mod operator;
mod owner_client;
mod ownership;
mod peer_server;
mod rate_limiter;
mod rollout;
mod shared;
pub mod store;

pub use config::Snapshot;
pub use instance::{Instance, InstanceCore, StartError};
pub use shared::Adapters;
