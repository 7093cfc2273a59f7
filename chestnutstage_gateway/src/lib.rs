//! Gateway of chestnutstage: routes callers' requests to the endpoints of services.
//!
//! A [`Gateway`] accepts callers' requests, finds the route and the customer, and places each request on an endpoint
//! of the route's service. The planners, which are all instances of a small deployment and a few of a larger one, send
//! each other their grants, so that each knows the load of all endpoints; the other instances ask a planner. The traits in [`external`] separate the gateway from the store, the header format and the engines; the decisions are in
//! `chestnutstage_core`.
//!
//! Modules that a request passes through, in order: `listener` (the caller's connection), `exchange` (the whole
//! request), `admission` (route, customer, body), `attempt` (one sending to an endpoint), `placer` and
//! `placement_request` (placement here or by a planner), `dispatcher` (the pool; `offers` its placements,
//! `admission_queue` requests that wait for one), `reservations` (KV memory), `channel` (connection to the endpoint;
//! `paths` and `tunnel` where the path there is lost), `stream` (events back to the caller).

#![warn(missing_docs)]

mod admission;
mod admission_queue;
mod attempt;
mod channel;
mod checks;
mod clock;
mod conversation;
mod dispatcher;
mod endpoint_signals;
mod engine_access;
mod exchange;
pub mod external;
mod failover;
mod fault;
mod gateway;
mod headers;
mod held_grant;
mod identity;
mod listener;
mod liveness;
mod load_reports;
mod observed_stream;
mod offers;
mod paths;
mod peer_message;
mod peers;
mod permits;
mod placement_request;
mod placer;
mod quarantine;
mod read_budget;
mod request_digest;
mod reservations;
mod response;
pub mod sections;
pub mod settings;
mod shared;
mod store_cache;
mod store_watcher;
mod stream;
mod topic_sync;
mod tunnel;

pub use gateway::{Gateway, ListenAddresses, StartError};
pub use identity::LinkError;
pub use shared::Adapters;
