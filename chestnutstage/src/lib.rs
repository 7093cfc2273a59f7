//! The daemon of chestnutstage, as a library that its binary and its tests share.
//!
//! The path of a request reads: `caller` (HTTP) → `completion` or `call` (the run) → `entry` (a seat) → `owners` and
//! `link` (to the owner) → `actor::owner` (the decision) → `engine` (the endpoint), and back as one stream of numbered
//! pieces.

mod accounts;
mod actor;
mod call;
mod caller;
pub mod cli;
mod clock;
mod completion;
mod config;
mod dump;
mod engine;
mod entry;
mod failure;
mod instance;
mod journal;
mod link;
pub mod logging;
mod memory;
mod operator;
mod owners;
mod peers;
mod platform;
mod shared;
mod spread;
mod view;

pub use instance::{Instance, StartError};
pub use link::TlsError;
pub use link::message;
