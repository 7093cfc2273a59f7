//! Links between instances.

pub mod message;
mod quic;
mod tls;

use std::net::SocketAddr;

use chestnutstage_core::ids::{InstanceId, Ticket};
use chestnutstage_core::owner::GrantRequest;
use derive_more::Display;
use futures::future::BoxFuture;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

use self::message::{EntryMessage, OwnerMessage, Reply, Request, Target};

pub(crate) use self::quic::QuicLink;

/// What was being done with a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// Connection.
    #[display("connection")]
    Connect,
    /// Sending of a message.
    #[display("sending of a message")]
    Send,
    /// Wait for the answer.
    #[display("wait for the answer")]
    Receive,
}

/// A message to a peer failed.
#[derive(Debug, Clone, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct LinkError {
    /// What was being done.
    pub step: Step,
    /// The peer.
    pub peer: InstanceId,
    /// What went wrong.
    pub reason: String,
}

/// An `Ask` under way: what the owner says, and what it is told.
#[derive(Debug)]
pub struct GrantStream {
    /// What the owner says; closed when the owner is gone.
    pub incoming: mpsc::UnboundedReceiver<OwnerMessage>,
    /// Where the owner is told of the request's course; dropping it ends the request.
    pub outgoing: mpsc::UnboundedSender<EntryMessage>,
}

/// Links to the other instances.
pub trait PeerLink: Send + Sync {
    /// What a call gives.
    type Reply;

    /// Sends a request and waits for its answer, `limit` at the most.
    fn call<'a>(
        &'a self,
        peer: &'a Target,
        request: Request,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Self::Reply, LinkError>>;

    /// Opens a conversation with an owner.
    fn request_grant<'a>(
        &'a self,
        peer: &'a Target,
        ask: GrantRequest,
        remaining: Duration,
    ) -> BoxFuture<'a, Result<GrantStream, LinkError>>;
}

/// Links as the system uses them.
pub type Links = dyn PeerLink<Reply = Reply>;

/// Answers what peers send.
pub trait PeerHandler: Send + Sync {
    /// How a request other than `Ask` is answered.
    type Reply;

    /// Answers a request of the peer `from`.
    fn handle<'a>(&'a self, from: &'a InstanceId, request: Request) -> BoxFuture<'a, Self::Reply>;

    /// Takes an `Ask`; the owner's words go to `words`.
    fn handle_grant(
        &self,
        ask: GrantRequest,
        remaining: Duration,
        words: mpsc::UnboundedSender<OwnerMessage>,
    );

    /// Takes what an entry says; `None` when the entry is gone without a word.
    fn handle_entry(&self, ticket: Ticket, word: Option<EntryMessage>);
}

/// A handler as the transport uses it.
pub type Handler = dyn PeerHandler<Reply = Reply>;

/// Addresses of this instance's link.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BoundAddress {
    /// Where it listens.
    pub(crate) address: SocketAddr,
}
