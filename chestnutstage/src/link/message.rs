//! Messages between instances.
//!
//! A frame is a version byte and a postcard-encoded message. Bounds on size stand with the transport. A kind that the
//! receiver does not know is answered with [`Reply::Unsupported`], so that versions can run side by side.

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

/// Version of the frames.
const FRAME_VERSION: u8 = 1;

/// First message on a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// News of members; also the heartbeat.
    Gossip(Gossip),
    /// Probe of a third member on the sender's behalf.
    Reach {
        /// The member.
        peer: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// All members that the receiver knows.
    Roster,
    /// Configuration changes after a version.
    Changes {
        /// The version that the sender has.
        after: Version,
    },
    /// New configuration changes, to be put in force and handed on.
    Spread {
        /// The changes, as JSON.
        entries: Vec<String>,
        /// Members to hand them on to.
        targets: Vec<Target>,
    },
    /// Part of a customer's rate.
    Borrow {
        /// The customer.
        customer: CustomerId,
        /// Amount wanted.
        amount: Tokens,
    },
    /// An endpoint for a request; the stream stays open until the request ends.
    Ask {
        /// The request.
        ask: GrantRequest,
        /// Time left before its deadline.
        remaining: Duration,
    },
    /// Whether a request is still being served by the receiver.
    Knows {
        /// The request.
        request: RequestId,
    },
    /// What the receiver decided about a request.
    Explain {
        /// The request.
        request: RequestId,
    },
    /// Dump of the receiver's state.
    State,
    /// Configuration version in force at the receiver.
    Version,
}

/// A member that a change must reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub id: InstanceId,
    /// Its address.
    pub address: SocketAddr,
}

/// Answer to a request other than `Ask`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// News of members.
    Gossip(Gossip),
    /// Whether the third member answered.
    Reached(bool),
    /// All members known.
    Roster(Vec<Member>),
    /// Configuration changes, or the whole configuration if they are not at hand.
    Changes {
        /// The changes, as JSON, oldest first.
        entries: Vec<String>,
        /// The whole configuration, as JSON.
        whole: Option<String>,
        /// How fresh the sender's version is.
        fresh: Option<Freshness>,
    },
    /// Result of a spread.
    Spread {
        /// Members that have the changes in force.
        acked: Vec<(InstanceId, Version)>,
    },
    /// Amount lent.
    Lent(Tokens),
    /// Whether the request is still being served.
    Known(bool),
    /// Decisions, or a dump of the state, as JSON.
    Document(String),
    /// Version in force, and whether the receiver takes new work.
    Version {
        /// The version.
        version: Version,
        /// Whether it takes new work.
        ready: bool,
    },
    /// The receiver does not know this kind of message.
    Unsupported,
}

/// What an owner says about an `Ask`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// The request waits; said again each second.
    Queued,
    /// The request may use an endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its availability zone.
        zone: ZoneId,
        /// Its IP number and port.
        address: String,
        /// How long the request waited at the owner.
        waited: Duration,
        /// Room that the owner has left.
        summary: Summary,
    },
    /// The request is refused.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Room that the owner has.
        summary: Summary,
    },
    /// The grant is taken back.
    Recalled(Cause),
}

/// What an entry says about a granted request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// The first token came, with this many prompt tokens from the cache.
    Started {
        /// Tokens from the cache.
        cached: Tokens,
        /// The endpoint's life.
        boot: chestnutstage_core::ids::BootId,
    },
    /// The request ended.
    Ended(End),
}

/// A frame can't be read or written.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is of another version.
    #[error("frame of version {0}")]
    Version(u8),
    /// The frame is empty.
    #[error("empty frame")]
    Empty,
    /// The message is malformed, or of an unknown kind.
    #[error("message: {0}")]
    Message(#[from] postcard::Error),
}

/// Makes a frame.
///
/// # Errors
///
/// The message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(postcard::to_extend(message, vec![FRAME_VERSION])?)
}

/// Reads a frame.
///
/// # Errors
///
/// [`FrameError`] if the frame is malformed or of another version.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let (version, message) = frame.split_first().ok_or(FrameError::Empty)?;
    if *version != FRAME_VERSION {
        return Err(FrameError::Version(*version));
    }
    Ok(postcard::from_bytes(message)?)
}
