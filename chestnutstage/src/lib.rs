//! The daemon of chestnutstage, as a library that its binary, its tests and its benches share.
//!
//! [`Instance`] is a whole instance. The borders to everything outside, [`store`], [`engine`] and [`link`], are traits;
//! an [`Unwired`] instance takes whatever [`Adapters`] it is given.
//!
//! The path of a request reads: `caller` (HTTP) → `completion` or `call` (the run) → `entry` (a seat) → `owners` and
//! `link` (to the owner) → `actor::owner` (the decision) → `engine` (the endpoint), and back as one stream of numbered
//! pieces.

mod accounts;
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
mod owners;
mod peers;
mod reclaim;
mod shared;
mod spread;
pub mod store;
mod view;

pub use config::Snapshot;
pub use instance::{Instance, StartError, Unwired};
pub use shared::Adapters;
