//! The daemon of chestnutstage, as a library shared by its binary, tests and benches.
//!
//! [`Instance`] is a complete instance. Its interfaces to the outside, [`store`], [`engine`] and [`link`], are traits.
//! [`InstanceCore`] is the part of an instance that works with any implementation of them, given as [`Adapters`].
//!
//! A request passes through `caller` (HTTP), `completion` or `call` (execution), `entry` (placement), `owner_client` and
//! `link` (connection to the owner), `actor::owner` (grant) and `engine` (endpoint). The response of an engine returns as
//! one stream of numbered pieces.

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
mod operator;
mod owner_client;
mod ownership;
mod peer_server;
mod rate_limiter;
mod reclaim;
mod rollout;
mod shared;
pub mod store;

pub use config::Snapshot;
pub use instance::{Instance, InstanceCore, StartError};
pub use shared::Adapters;
