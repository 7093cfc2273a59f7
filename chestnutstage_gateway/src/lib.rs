//! Routed services of chestnutstage.
//!
//! A [`Gateway`] takes callers' requests, finds the route and the customer, and places each request on an endpoint of the
//! route's service. All instances share one picture of the load: each tells the others what it granted. Everything outside
//! is behind the traits in [`outside`]; the decisions are in `chestnutstage_core`.
//!
//! The path of a request reads: `listener` (connection) → `exchange` (the whole request) → `admission` (route,
//! customer, body) → `attempt` (one endpoint) → `dispatcher` (placement)
//! → `reservations` (memory) → `channel` (endpoint) → `stream` (events back to the caller).

#![warn(missing_docs)]

mod admission;
mod attempt;
mod channel;
mod checks;
mod clock;
mod dispatcher;
mod exchange;
mod gateway;
mod headers;
mod identity;
mod listener;
mod load_reports;
pub mod outside;
mod peers;
mod reservations;
mod response;
pub mod settings;
mod shared;
mod store_cache;
mod store_watcher;
mod stream;
mod topic_sync;

pub use gateway::{Bound, Gateway, StartError};
pub use identity::LinkError;
pub use shared::Adapters;
