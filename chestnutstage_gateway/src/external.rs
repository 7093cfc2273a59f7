//! Traits of the external systems: the platform's store, its header format, and the control API of the engines.
//!
//! An adapter implements these traits for a platform. It only translates; the gateway makes every decision.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutstage_core::catalog::Catalog;
use chestnutstage_core::ids::{EndpointId, InstanceId, ZoneId};
use chestnutstage_core::pool::Listing;
use derive_more::Display;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Group of records in the store that is read and followed as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Topic {
    /// Catalog and zones out of service, written by the operators.
    #[display("operators")]
    Operators,
    /// Endpoints, written by themselves.
    #[display("endpoints")]
    Endpoints,
    /// Instances of the gateway, written by themselves.
    #[display("members")]
    Members,
}

impl Topic {
    /// All topics.
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Endpoints, Self::Members];
}

/// An instance, as registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Zone of the instance.
    pub zone: ZoneId,
    /// Address on which it accepts links of its peers.
    pub address: SocketAddr,
    /// Processor capacity, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
}

/// One record or change read from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// A version of the catalog.
    Catalog(Box<Catalog>),
    /// A zone is out of service: nothing may be sent to it.
    ZoneOut(ZoneId),
    /// A zone is back in service.
    ZoneIn(ZoneId),
    /// An endpoint is listed.
    Listed(Listing),
    /// An endpoint is no longer listed.
    Unlisted(EndpointId),
    /// An instance has joined.
    Joined(Member),
    /// An instance has left.
    Left(InstanceId),
}

/// Position in the history of the store.
///
/// The numbers rise with every change. A store that comes back from a copy has lost its latest changes and gives their
/// numbers out again; it starts a new era then.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, Serialize, Deserialize,
)]
#[display("{era}.{number}")]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number of the latest change.
    pub number: u64,
}

/// Records and changes of a topic, up to a revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Updates {
    /// Newest revision that the facts include.
    pub revision: Revision,
    /// The facts, oldest first.
    pub facts: Vec<Fact>,
}

/// Operation on an external system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Operation {
    /// Reading all rows.
    #[display("read")]
    Read,
    /// Waiting for changes.
    #[display("wait for changes")]
    Follow,
    /// Writing a row.
    #[display("write")]
    Write,
    /// Reading a load report.
    #[display("load report")]
    Report,
    /// Reserving KV memory.
    #[display("reservation")]
    Reserve,
    /// Releasing KV memory.
    #[display("release")]
    Release,
}

/// Cause of a failed operation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Failure {
    /// The store no longer keeps the history from the requested revision on.
    #[display("history no longer kept")]
    HistoryGone,
    /// The operation was refused with this HTTP status.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// No response arrived; the operation may have been executed.
    #[display("no response: {_0}")]
    NoAnswer(String),
    /// The response can't be decoded.
    #[display("unreadable response: {_0}")]
    Unreadable(String),
}

/// An operation on an external system failed.
#[derive(Debug, Clone, Error)]
#[error("{operation} with {peer}: {failure}")]
pub struct ExternalError {
    /// Operation that failed.
    pub operation: Operation,
    /// Address or name of the external system.
    pub peer: String,
    /// Cause of the failure.
    pub failure: Failure,
}

/// The platform's store.
pub trait Registry: Send + Sync + fmt::Debug {
    /// Reads all records of a topic.
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Updates, ExternalError>>;

    /// Waits up to `wait` for changes after a revision; returns no facts if there are none. Fails with
    /// [`Failure::HistoryGone`] if the store is in another era.
    fn follow(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Updates, ExternalError>>;

    /// Registers an instance.
    fn join<'a>(&'a self, member: &'a Member) -> BoxFuture<'a, Result<(), ExternalError>>;

    /// Removes an instance.
    fn leave<'a>(&'a self, id: &'a InstanceId) -> BoxFuture<'a, Result<(), ExternalError>>;

    /// Stores `fresh` as the secret of the deployment if there is none; returns the stored secret.
    fn secret<'a>(&'a self, fresh: &'a str) -> BoxFuture<'a, Result<String, ExternalError>>;
}

/// Size of a prompt and of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Maximum number of tokens in the response.
    pub output: u64,
}

/// Names of the headers that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; endpoints repeat it in their responses.
    pub attempt: HeaderName,
    /// Milliseconds that remain until the caller's deadline.
    pub remaining: HeaderName,
    /// Set by endpoints on the responses that they produce themselves.
    pub seal: HeaderName,
    /// Customer's key; never forwarded.
    pub key: HeaderName,
    /// Customer, set for endpoints.
    pub customer: HeaderName,
    /// Endpoint that is expected to serve the request.
    pub expected: HeaderName,
    /// Set on responses to requests that did not run.
    pub not_run: HeaderName,
    /// Id of the last event that the caller received.
    pub last_event: HeaderName,
    /// Priority of the request in an engine's queue.
    pub urgency: HeaderName,
    /// Engines that share the prefill of a prompt.
    pub helpers: HeaderName,
    /// Helper that kept a request from running.
    pub failed_helper: HeaderName,
    /// Set on all responses of an endpoint that leaves.
    pub leaving: HeaderName,
    /// Headers that are part of what a request asks for, beside its path and body.
    pub content: Vec<HeaderName>,
}

/// Header names and values of a platform.
pub trait HeaderFormat: Send + Sync + fmt::Debug {
    /// Names of the headers.
    fn names(&self) -> &HeaderNames;

    /// Size of the prompt, as the request's headers declare it.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Ids of the parts of the prompt that other prompts may share, in their order. The last part of a prompt is its own and
    /// is left out.
    fn shared_parts(&self, headers: &HeaderMap) -> Vec<String>;

    /// Header value that lists helpers, each with the reservation that holds its part of the prompt.
    fn helpers(&self, helpers: &[(SocketAddr, Option<String>)]) -> Option<HeaderValue>;

    /// Requests a second that an endpoint takes from all instances together, as the headers of its responses name it for as long
    /// as the limit holds; the lowest of several values.
    fn request_limit(&self, headers: &HeaderMap) -> Option<f64>;

    /// Address of the helper that kept a request from running.
    fn failed_helper(&self, value: &HeaderValue) -> Option<SocketAddr>;
}

/// Load that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Ratio of the engine's actual time to the published time.
    pub pace: f32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// KV memory in use, in tokens.
    pub used: u64,
    /// Whether the engine leaves.
    pub leaving: bool,
    /// Requests a second that it takes from all instances together, if the report names a limit.
    pub limit: Option<f64>,
}

/// Control API of the engines.
pub trait Engines: Send + Sync + fmt::Debug {
    /// Reads an engine's load report.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ExternalError>>;

    /// Reserves KV memory under a name for the time `hold`; a repeated call with the name renews the reservation.
    /// Returns whether there was room.
    fn reserve<'a>(
        &'a self,
        address: SocketAddr,
        name: &'a str,
        tokens: u64,
        hold: Duration,
    ) -> BoxFuture<'a, Result<bool, ExternalError>>;

    /// Releases a reservation.
    fn release<'a>(&'a self, address: SocketAddr, name: &'a str) -> BoxFuture<'a, Result<(), ExternalError>>;
}
