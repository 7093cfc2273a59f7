//! Interfaces to endpoints.
//!
//! [`Engines`] is the interface to model engines, [`Services`] the one to plain services. Every error records how far
//! the request had been sent, so that callers are told `not_run` only if the endpoint has not run the request.

mod http;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::endpoint::Report;
use chestnutstage_core::idempotency::Answer;
use chestnutstage_core::ids::{BootId, RequestId};
use chestnutstage_core::outcome::SendState;
use chestnutstage_core::stream::Piece;
use derive_more::Display;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

pub(crate) use self::http::HttpEndpoints;

/// Operation on an endpoint, as named in errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Start of a completion.
    #[display("start of a completion")]
    Start,
    /// Resumption of a stream.
    #[display("resumption of a stream")]
    Resume,
    /// Read of a stream.
    #[display("read of a stream")]
    Read,
    /// Cancellation of a request.
    #[display("cancellation")]
    Cancel,
    /// Call of a plain service.
    #[display("call of a service")]
    Call,
    /// Read of the load report.
    #[display("read of the load report")]
    Load,
    /// Operation on KV memory reservations.
    #[display("read or release of memory held")]
    Memory,
    /// Order with a fencing number.
    #[display("order")]
    Order,
}

/// A call to an endpoint failed.
#[derive(Debug, Clone, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct EndpointError {
    /// Operation that failed.
    pub step: Step,
    /// The endpoint's address.
    pub peer: String,
    /// Cause of the failure.
    pub reason: String,
    /// How far the request had been sent.
    pub sending: SendState,
    /// Whether the endpoint does not know the requested stream or model.
    pub missing: bool,
}

/// A completion to run on an engine.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The request.
    pub request: RequestId,
    /// Whether to use the chat completion API.
    pub chat: bool,
    /// Body in the OpenAI-compatible API, with streaming enabled.
    pub body: Bytes,
    /// Priority; lower numbers run first.
    pub priority: u8,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Locations of the KV caches of the prompt's segments, in order; empty if the engine prefills the whole prompt.
    pub chain: Vec<String>,
    /// Time remaining until the deadline.
    pub remaining: Duration,
}

/// A request to prefill a segment of a prompt into reserved KV memory.
#[derive(Debug, Clone)]
pub struct PrefillRequest {
    /// The request.
    pub request: RequestId,
    /// Text of the segment.
    pub text: String,
    /// Location of the preceding segment's KV cache.
    pub import: Option<String>,
    /// Priority; lower numbers run first.
    pub priority: u8,
    /// Time remaining until the deadline.
    pub remaining: Duration,
}

/// A piece of a response, as sent by an engine.
#[derive(Debug, Clone)]
pub struct EnginePiece {
    /// Text and position in the response.
    pub piece: Piece,
    /// Prompt tokens found in the engine's cache, if the chunk reports them.
    pub cached: Option<u64>,
    /// Chunk in the OpenAI-compatible API.
    pub chunk: Value,
}

/// Stream of an engine's response.
pub struct EngineStream {
    /// Boot id of the engine.
    pub boot: BootId,
    /// Pieces of the response.
    pub pieces: BoxStream<'static, Result<EnginePiece, EndpointError>>,
}

/// A named reservation of KV memory on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvReservation {
    /// Reserved tokens.
    pub tokens: u64,
    /// TTL in milliseconds.
    pub ttl: u64,
    /// Age in milliseconds.
    #[serde(default)]
    pub age: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint has seen a higher fencing number.
    Fenced,
}

/// Model engines.
pub trait Engines: Send + Sync {
    /// Load report of an engine.
    type Report;

    /// Starts a completion on the engine at `address`.
    fn start<'a>(
        &'a self,
        address: &'a str,
        start: CompletionRequest,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>>;

    /// Resumes a stream from `offset`, on a new connection.
    fn resume<'a>(
        &'a self,
        address: &'a str,
        request: RequestId,
        offset: u64,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>>;

    /// Cancels a request.
    fn cancel<'a>(&'a self, address: &'a str, request: RequestId)
    -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Reads the engine's load report.
    fn load<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Self::Report, EndpointError>>;

    /// Lists the reservations of KV memory by name.
    fn reservations<'a>(
        &'a self,
        address: &'a str,
    ) -> BoxFuture<'a, Result<BTreeMap<String, KvReservation>, EndpointError>>;

    /// Reserves KV memory under a name; returns false if the engine has too little free.
    fn reserve<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        reservation: KvReservation,
    ) -> BoxFuture<'a, Result<bool, EndpointError>>;

    /// Prefills a segment into its reservation, after importing the preceding segment's KV cache.
    fn prefill<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        prefill: PrefillRequest,
    ) -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Frees a reservation; it is not an error if the reservation does not exist.
    fn free<'a>(&'a self, address: &'a str, name: &'a str) -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Sends an order with a fencing number.
    fn order<'a>(
        &'a self,
        address: &'a str,
        fencing: u64,
        order: Value,
    ) -> BoxFuture<'a, Result<OrderOutcome, EndpointError>>;
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path below the service's base path, with the query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Content type of the body.
    pub media: Option<String>,
    /// Idempotency key of the caller, forwarded to the service.
    pub key: Option<String>,
    /// Time remaining until the deadline.
    pub remaining: Duration,
}

/// Plain services.
pub trait Services: Send + Sync {
    /// Response of a service.
    type Answer;

    /// Calls the replica at `address`, on a new connection.
    fn call<'a>(
        &'a self,
        address: &'a str,
        call: ServiceCall,
    ) -> BoxFuture<'a, Result<Self::Answer, EndpointError>>;
}

/// Model engines with parsed load reports.
pub type EngineSet = dyn Engines<Report = Report>;
/// Plain services with buffered responses.
pub type ServiceSet = dyn Services<Answer = Answer>;
