//! Routed services of chestnutstage.
//!
//! A [`Gateway`] accepts callers' requests, finds the route and the customer, and places each request on an endpoint
//! of the route's service. Instances send each other their grants, so that each knows the load of all endpoints. The
//! traits in [`external`] separate the gateway from the store, the header format and the engines; the decisions are in
//! `chestnutstage_core`.
//!
//! The path of a request: `front` (connection) → `exchange` (the whole request) → `admission` (route,
//! customer, body) → `attempt` (one endpoint) → `dispatcher` (placement)
//! → `tickets` (KV memory) → `channel` (endpoint) → `stream` (events back to the caller).

#![warn(missing_docs)]

mod admission;
mod answer;
mod attempt;
mod channel;
mod checks;
mod clock;
mod dispatcher;
mod exchange;
pub mod external;
mod follower;
mod front;
mod gateway;
mod headers;
mod identity;
mod knowledge;
mod peers;
mod questions;
pub mod settings;
mod shared;
mod stream;
mod tickets;
mod watch;

pub use gateway::{Gateway, ListenAddresses, StartError};
pub use identity::LinkError;
pub use shared::Adapters;
