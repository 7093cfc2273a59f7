//! Endpoints, as the system uses them.
//!
//! [`Engines`] stands for model engines and [`Services`] for plain services. Every error says how far the sending had
//! come, so that a refusal that says `not_run` is true.

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

/// What was being done with an endpoint.
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
    /// Cancellation.
    #[display("cancellation")]
    Cancel,
    /// Call of a plain service.
    #[display("call of a service")]
    Call,
    /// Read of the load report.
    #[display("read of the load report")]
    Load,
    /// Read or release of memory held.
    #[display("read or release of memory held")]
    Memory,
    /// Order to the endpoint.
    #[display("order")]
    Order,
}

/// A call to an endpoint failed.
#[derive(Debug, Clone, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct EndpointError {
    /// What was being done.
    pub step: Step,
    /// The endpoint's address.
    pub peer: String,
    /// What went wrong.
    pub reason: String,
    /// How far the sending had come.
    pub sending: SendState,
    /// Whether the endpoint does not know the stream, or the model.
    pub missing: bool,
}

/// A completion to run on an engine.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The request.
    pub request: RequestId,
    /// Whether it is a chat.
    pub chat: bool,
    /// Body, in the usual API, as a stream.
    pub body: Bytes,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Hash of the prompt's first part.
    pub prefix: Option<u64>,
    /// Where the KV caches of the prompt's segments lie, in order; empty if the engine prefills all of it.
    pub chain: Vec<String>,
    /// Time left before the deadline.
    pub remaining: Duration,
}

/// A segment of a prompt to prefill into reserved memory.
#[derive(Debug, Clone)]
pub struct Segment {
    /// The request.
    pub request: RequestId,
    /// Text of the segment.
    pub text: String,
    /// Where the KV cache of the segment before it lies.
    pub import: Option<String>,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Time left before the deadline.
    pub remaining: Duration,
}

/// A piece of an answer as the engine sent it.
#[derive(Debug, Clone)]
pub struct EnginePiece {
    /// Where it belongs.
    pub piece: Piece,
    /// Prompt tokens found in the cache, if the piece says so.
    pub cached: Option<u64>,
    /// The chunk as the usual API has it.
    pub chunk: Value,
}

/// A stream that an engine opened.
pub struct EngineStream {
    /// The engine's life.
    pub boot: BootId,
    /// Its pieces.
    pub pieces: BoxStream<'static, Result<EnginePiece, EndpointError>>,
}

/// Memory held on an engine under a name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvReservation {
    /// Tokens held.
    pub tokens: u64,
    /// Milliseconds for which it was asked.
    pub ttl: u64,
    /// Milliseconds since it was made.
    #[serde(default)]
    pub age: u64,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint took it.
    Accepted,
    /// The endpoint has seen a later fencing number.
    Fenced,
}

/// Model engines.
pub trait Engines: Send + Sync {
    /// What an engine says of its load.
    type Report;

    /// Starts a completion on the engine at `address`.
    fn start<'a>(
        &'a self,
        address: &'a str,
        start: CompletionRequest,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>>;

    /// Takes a stream up from `offset`, on a new connection.
    fn resume<'a>(
        &'a self,
        address: &'a str,
        request: RequestId,
        offset: u64,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>>;

    /// Cancels a request.
    fn cancel<'a>(&'a self, address: &'a str, request: RequestId)
    -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Reads the load report.
    fn load<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Self::Report, EndpointError>>;

    /// Lists the memory held.
    fn reservations<'a>(
        &'a self,
        address: &'a str,
    ) -> BoxFuture<'a, Result<BTreeMap<String, KvReservation>, EndpointError>>;

    /// Reserves memory under a name; false if there is no room.
    fn reserve<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        holding: KvReservation,
    ) -> BoxFuture<'a, Result<bool, EndpointError>>;

    /// Prefills a reserved segment, importing the KV cache of the segment before it.
    fn prefill<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        segment: Segment,
    ) -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Frees memory; freeing what is gone is no error.
    fn free<'a>(&'a self, address: &'a str, name: &'a str) -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Gives an order under a fencing number.
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
    /// Path below the service, with its query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Media type of the body.
    pub media: Option<String>,
    /// Caller's idempotency key, passed on.
    pub key: Option<String>,
    /// Time left before the deadline.
    pub remaining: Duration,
}

/// Plain services.
pub trait Services: Send + Sync {
    /// What a service answers.
    type Answer;

    /// Calls the replica at `address`, on a connection of its own.
    fn call<'a>(
        &'a self,
        address: &'a str,
        call: ServiceCall,
    ) -> BoxFuture<'a, Result<Self::Answer, EndpointError>>;
}

/// Engines as the system uses them.
pub type EngineSet = dyn Engines<Report = Report>;
/// Services as the system uses them.
pub type ServiceSet = dyn Services<Answer = Answer>;
