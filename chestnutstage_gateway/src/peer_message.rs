//! Messages in which linked instances tell each other their state.

use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::quarantine::FeatureReport;
use chestnutstage_core::time::Time;
use log::{debug, warn};
use quinn::Connection;
use serde::{Deserialize, Serialize};

use crate::dispatcher::GrantUpdate;
use crate::external::Topic;
use crate::sections::{self, Sections};
use crate::store_cache::Digest;

/// State of an instance, as sent to its peers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct State {
    pub(crate) id: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) life: u64,
    pub(crate) sequence: u64,
    pub(crate) sent: Time,
    /// Grants of a planner, for the other planners.
    pub(crate) grants: Option<GrantUpdate>,
    /// Digests of the sender's copies of the store's topics.
    pub(crate) marks: Vec<(Topic, Digest)>,
    /// Age of the sender's copy of the operators' rules.
    pub(crate) rules_age: Duration,
    pub(crate) leaving: bool,
    /// Features of requests under which endpoints ended.
    pub(crate) quarantine: Vec<FeatureReport>,
}

/// A message of a peer.
pub(crate) struct PeerMessage {
    /// Time at which the receiver sent the last state that the sender has.
    pub(crate) echo: Option<Time>,
    pub(crate) state: State,
    pub(crate) extension: Extension,
    pub(crate) sections: Sections,
}

/// What follows the state; a peer of an earlier version sends none and ignores it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Extension {
    /// Whether the sender takes itself to be cut off from all endpoints.
    pub(crate) cut_off: bool,
}

/// Decodes a message.
pub(crate) fn decode(bytes: &[u8]) -> postcard::Result<PeerMessage> {
    let (echo, remaining) = postcard::take_from_bytes(bytes)?;
    let (state, remaining) = postcard::take_from_bytes(remaining)?;
    let (extension, sections) =
        if remaining.is_empty() { Default::default() } else { sections::decode(remaining)? };
    Ok(PeerMessage { echo, state, extension, sections })
}

/// Encodes a state with its extension and sections.
pub(crate) fn encode(state: &State, extension: &Extension, sections: &Sections) -> postcard::Result<Bytes> {
    let state = postcard::to_stdvec(state)?;
    Ok(Bytes::from([&state[..], &sections::encode(extension, sections)?].concat()))
}

/// Sends a state as a datagram if it fits into one, otherwise on a stream.
pub(crate) fn send(connection: &Connection, echo: Option<Time>, state: &[u8]) {
    let message = match postcard::to_stdvec(&echo) {
        Ok(head) => Bytes::from([&head, state].concat()),
        Err(e) => return warn!("header of a message can't be encoded; message not sent: {e}"),
    };
    if connection.max_datagram_size().is_some_and(|size| message.len() <= size) {
        if let Err(e) = connection.send_datagram(message) {
            debug!("message to a peer not sent: {e}");
        }
        return;
    }
    let connection = connection.clone();
    tokio::spawn(async move {
        let sent = async {
            let mut stream = connection.open_uni().await.map_err(|e| e.to_string())?;
            stream.write_all(&message).await.map_err(|e| e.to_string())?;
            stream.finish().map_err(|e| e.to_string())
        };
        if let Err(e) = sent.await {
            debug!("message to a peer not sent: {e}");
        }
    });
}
