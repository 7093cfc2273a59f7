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

/// Operation on a peer, as named in errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// Opening of a connection.
    #[display("connection")]
    Connect,
    /// Sending of a message.
    #[display("sending of a message")]
    Send,
    /// Wait for the reply.
    #[display("wait for the answer")]
    Receive,
}

/// An exchange with a peer failed.
#[derive(Debug, Clone, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct LinkError {
    /// Operation that failed.
    pub step: Step,
    /// The peer.
    pub peer: InstanceId,
    /// Cause of the failure.
    pub reason: String,
}

/// Bidirectional stream between an entry and an owner for one grant request.
#[derive(Debug)]
pub struct GrantStream {
    /// Messages from the owner; closed when the owner ends the stream or the connection fails.
    pub incoming: mpsc::UnboundedReceiver<OwnerMessage>,
    /// Messages to the owner; dropping the sender ends the request.
    pub outgoing: mpsc::UnboundedSender<EntryMessage>,
}

/// Transport to the other instances.
pub trait PeerLink: Send + Sync {
    /// Reply to a call.
    type Reply;

    /// Sends a request and waits for the reply, for at most `limit`.
    fn call<'a>(
        &'a self,
        peer: &'a Target,
        request: Request,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Self::Reply, LinkError>>;

    /// Sends a grant request to an owner and opens the stream for it.
    fn request_grant<'a>(
        &'a self,
        peer: &'a Target,
        ask: GrantRequest,
        remaining: Duration,
    ) -> BoxFuture<'a, Result<GrantStream, LinkError>>;
}

/// Transport to peers, as instances use it.
pub type Links = dyn PeerLink<Reply = Reply>;

/// Handler of messages from peers.
pub trait PeerHandler: Send + Sync {
    /// Reply to a request other than `Ask`.
    type Reply;

    /// Handles a request from the peer `from`.
    fn handle<'a>(&'a self, from: &'a InstanceId, request: Request) -> BoxFuture<'a, Self::Reply>;

    /// Handles a grant request; the owner's messages go to `outgoing`.
    fn handle_grant(
        &self,
        ask: GrantRequest,
        remaining: Duration,
        outgoing: mpsc::UnboundedSender<OwnerMessage>,
    );

    /// Handles a message from an entry; `None` if the stream failed or the owner closed it.
    fn handle_entry(&self, ticket: Ticket, message: Option<EntryMessage>);
}

/// Handler, as the transport uses it.
pub type Handler = dyn PeerHandler<Reply = Reply>;

/// Address to which this instance's link is bound.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BoundAddress {
    /// Local socket address.
    pub(crate) address: SocketAddr,
}
