//! Borders of the gateway: the platform's store, the words on the wire, and the engines' controls.
//!
//! An adapter implements these traits for a platform. It translates; every decision is taken on this side.

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

/// Part of what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Topic {
    /// Catalog and zones taken out, written by the operators.
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

/// An instance, as the others find it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it takes messages of its peers.
    pub address: SocketAddr,
}

/// One thing that the store says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// A version of the catalog.
    Catalog(Box<Catalog>),
    /// Nothing may be sent to a zone.
    ZoneOut(ZoneId),
    /// A zone is back.
    ZoneIn(ZoneId),
    /// An endpoint is listed.
    Listed(Listing),
    /// An endpoint is no longer listed.
    Unlisted(EndpointId),
    /// An instance runs.
    Joined(Member),
    /// An instance has left.
    Left(InstanceId),
}

/// What the store says, up to a revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Updates {
    /// Newest revision that the facts include.
    pub revision: u64,
    /// The facts, oldest first.
    pub facts: Vec<Fact>,
}

/// What was asked of something outside.
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
    /// Asking for a load report.
    #[display("load report")]
    Report,
    /// Reserving memory.
    #[display("reservation")]
    Reserve,
    /// Releasing memory.
    #[display("release")]
    Release,
}

/// Why a step outside failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// The history from the wanted revision on is gone.
    #[display("the history is gone")]
    HistoryGone,
    /// It answered that it does not do it.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// No answer came; it may have been done.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The answer can't be read.
    #[display("unreadable answer: {_0}")]
    Unreadable(String),
}

/// A step outside failed.
#[derive(Debug, Clone, Error)]
#[error("{operation} with {peer}: {failure}")]
pub struct ExternalError {
    /// What was asked.
    pub operation: Operation,
    /// Whom.
    pub peer: String,
    /// Why it failed.
    pub failure: Failure,
}

/// The platform's store.
pub trait Registry: Send + Sync + fmt::Debug {
    /// Reads everything of a topic.
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Updates, ExternalError>>;

    /// Waits up to `wait` for changes after a revision; no change gives no facts.
    fn follow(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Updates, ExternalError>>;

    /// Enters an instance.
    fn join<'a>(&'a self, member: &'a Member) -> BoxFuture<'a, Result<(), ExternalError>>;

    /// Removes an instance.
    fn leave<'a>(&'a self, id: &'a InstanceId) -> BoxFuture<'a, Result<(), ExternalError>>;

    /// Keeps a secret of the deployment if there is none; gives the one that is kept.
    fn secret<'a>(&'a self, fresh: &'a str) -> BoxFuture<'a, Result<String, ExternalError>>;
}

/// Size of a prompt and of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that the answer may have.
    pub output: u64,
}

/// Names of the headers that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Name of one attempt of a caller; endpoints repeat it in their answers.
    pub attempt: HeaderName,
    /// Milliseconds until the caller gives up.
    pub remaining: HeaderName,
    /// Mark that endpoints put on their own answers.
    pub seal: HeaderName,
    /// Customer's key; never passed on.
    pub key: HeaderName,
    /// Customer, set for endpoints.
    pub customer: HeaderName,
    /// Endpoint that the request is meant for.
    pub expected: HeaderName,
    /// Mark of answers to requests that did not run.
    pub not_run: HeaderName,
    /// Id of the last event that a caller has.
    pub last_event: HeaderName,
    /// Rank of the request in an engine's queue.
    pub urgency: HeaderName,
    /// Engines that help to read a prompt.
    pub helpers: HeaderName,
    /// Helper that kept a request from running.
    pub failed_helper: HeaderName,
}

/// Words on the wire.
pub trait Dialect: Send + Sync + fmt::Debug {
    /// Names of the headers.
    fn names(&self) -> &HeaderNames;

    /// Size of the prompt that a request carries.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Names helpers, each with the reservation that holds its part.
    fn helpers(&self, helpers: &[(SocketAddr, Option<String>)]) -> Option<HeaderValue>;

    /// Address in the header that names the helper at fault.
    fn failed_helper(&self, value: &HeaderValue) -> Option<SocketAddr>;
}

/// What an engine says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Time that it takes over the published time.
    pub pace: f32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens of memory in use.
    pub used: u64,
}

/// Controls of the engines.
pub trait Engines: Send + Sync + fmt::Debug {
    /// Asks an engine for its load.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ExternalError>>;

    /// Reserves memory under a name for a time; the same name renews it. Gives whether there was room.
    fn reserve<'a>(
        &'a self,
        address: SocketAddr,
        name: &'a str,
        tokens: u64,
        hold: Duration,
    ) -> BoxFuture<'a, Result<bool, ExternalError>>;

    /// Ends a reservation.
    fn release<'a>(&'a self, address: SocketAddr, name: &'a str) -> BoxFuture<'a, Result<(), ExternalError>>;
}
