//! Messages between instances.
//!
//! A frame is a version byte followed by a postcard-encoded message; the transport limits its size. A receiver answers a
//! message of an unknown kind with [`Reply::Unsupported`], so that different versions can run side by side.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutstage_core::ids::{CustomerId, EndpointId, InstanceId, RequestId, Version, ZoneId};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::members::{Gossip, Member};
use chestnutstage_core::outcome::Refusal;
use chestnutstage_core::owner::{Cause, End, GrantRequest, Summary};
use chestnutstage_core::rollout::Freshness;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the frame format.
const FRAME_VERSION: u8 = 1;

/// First message on a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Gossip about members; also the heartbeat.
    Gossip(Gossip),
    /// Probe of a third member on behalf of the sender.
    Reach {
        /// Member to probe.
        peer: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// Request for all members that the receiver knows.
    Roster,
    /// Request for the configuration changes after a version.
    Changes {
        /// Version that the sender has.
        after: Version,
    },
    /// New configuration changes, to be applied and forwarded.
    Spread {
        /// Changes, as JSON.
        entries: Vec<String>,
        /// Members to forward them to.
        targets: Vec<Target>,
    },
    /// Request to borrow tokens from a customer's home bucket, which the receiver keeps.
    Borrow {
        /// The customer.
        customer: CustomerId,
        /// Requested amount.
        amount: Tokens,
    },
    /// Request for a grant on an endpoint; the stream stays open until the request ends.
    Ask {
        /// The grant request.
        ask: GrantRequest,
        /// Time remaining until its deadline.
        remaining: Duration,
    },
    /// Query whether the receiver is still serving a request.
    Knows {
        /// The request.
        request: RequestId,
    },
    /// Request for the receiver's decisions about a request.
    Explain {
        /// The request.
        request: RequestId,
    },
    /// Request for a dump of the receiver's state.
    State,
    /// Request for the configuration version in force at the receiver.
    Version,
}

/// Name and address of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address of its link.
    pub address: SocketAddr,
}

/// Reply to a request other than `Ask`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Gossip about members.
    Gossip(Gossip),
    /// Whether the probed member answered.
    Reached(bool),
    /// All members that the replying instance knows.
    Roster(Vec<Member>),
    /// Configuration changes, or the whole configuration if the replying instance does not keep all of them.
    Changes {
        /// Changes, as JSON, oldest first.
        entries: Vec<String>,
        /// The whole configuration, as JSON.
        whole: Option<String>,
        /// Newest version known to the replying instance, and the time since it was confirmed as the newest.
        fresh: Option<Freshness>,
    },
    /// Result of [`Request::Spread`].
    Spread {
        /// Members that have applied the changes, and the version each has in force.
        acked: Vec<(InstanceId, Version)>,
    },
    /// Amount lent.
    Lent(Tokens),
    /// Whether the request is still being served.
    Known(bool),
    /// Decisions or a state dump, as JSON.
    Document(String),
    /// Configuration version in force and readiness.
    Version {
        /// The version.
        version: Version,
        /// Whether the replying instance accepts new work.
        ready: bool,
    },
    /// The replying instance does not support this kind of message.
    Unsupported,
}

/// Message from an owner on a grant stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// The request is queued; repeated every second while it waits.
    Queued,
    /// The request may use an endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its availability zone.
        zone: ZoneId,
        /// Its IP address and port.
        address: String,
        /// Time that the request waited at the owner.
        waited: Duration,
        /// Capacity remaining at the owner.
        summary: Summary,
    },
    /// The request is refused.
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Capacity remaining at the owner.
        summary: Summary,
    },
    /// The grant is recalled.
    Recalled(Cause),
}

/// Message from an entry on a grant stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// The engine sent the first token.
    Started {
        /// Prompt tokens found in the engine's cache.
        cached: Tokens,
        /// Boot id of the endpoint.
        boot: chestnutstage_core::ids::BootId,
    },
    /// The request ended.
    Ended(End),
}

/// A frame could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame has another version.
    #[error("unsupported frame version {0}")]
    Version(u8),
    /// The frame is empty.
    #[error("empty frame")]
    Empty,
    /// The message is malformed or of an unknown kind.
    #[error("malformed or unknown message: {0}")]
    Message(#[from] postcard::Error),
}

/// Encodes `message` as a frame.
///
/// # Errors
///
/// [`FrameError::Message`] if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(postcard::to_extend(message, vec![FRAME_VERSION])?)
}

/// Decodes the message of `frame`.
///
/// # Errors
///
/// [`FrameError`] if the frame is empty, malformed or of another version.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let (version, message) = frame.split_first().ok_or(FrameError::Empty)?;
    if *version != FRAME_VERSION {
        return Err(FrameError::Version(*version));
    }
    Ok(postcard::from_bytes(message)?)
}
