//! Request streams between two instances: length-delimited messages on a bidirectional QUIC stream.

use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::{Grant, Key, LimitReport};
use chestnutstage_core::time::Time;
use futures::{SinkExt, StreamExt};
use quinn::{Connection, RecvStream, SendStream};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::engine_access::EngineCall;
use crate::external::Topic;
use crate::offers::Place;
use crate::peers::MESSAGE_BYTES_MAX;
use crate::sections::{self, Sections};

/// Timeout for the first message of a stream that a peer opened.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// First message of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Requests a snapshot of a topic.
    Topic(Topic),
    /// Requests a placement; the grant ends with the stream.
    Place(Place),
    /// Hands over a grant whose planner was lost; it ends with the stream.
    Adopt {
        grant: Grant,
        /// Time of the sender's clock, to which the grant's times refer.
        sent: Time,
    },
    /// Asks whether an engine accepted a request long ago and has been unresponsive since.
    IsUnresponsive(Key),
    /// Reports a failure of an endpoint.
    Failed(Key),
    /// Reports that an endpoint wants no requests for a time, or never again if that is `None`.
    Withdrawn(Key, Option<Duration>),
    /// Reports the limit that an endpoint named, in requests a second, or that it names none any more.
    Limit(Key, Option<f64>),
    /// Asks for a permit for one request to a limited endpoint.
    Permit(LimitReport),
    /// Asks for a connection to an endpoint; after a success the stream carries its bytes.
    Tunnel(Key),
    /// Asks for a call of an engine's control API.
    CallEngine(Key, EngineCall),
    /// Asks the home planner of an engine whether the planner of this name may place a request on one of its last slots.
    Claim(Key, InstanceId),
}

/// Sent on the stream of a grant when the first event, or the response of a plain service, has arrived.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FirstEventArrived;

/// One request stream.
pub(crate) struct Conversation {
    /// Name of the other instance, if this one opened the stream and has a use for it.
    pub(crate) peer: Option<InstanceId>,
    send: FramedWrite<SendStream, LengthDelimitedCodec>,
    receive: FramedRead<RecvStream, LengthDelimitedCodec>,
}

impl Conversation {
    /// Wraps a stream.
    pub(crate) fn new(peer: Option<InstanceId>, send: SendStream, receive: RecvStream) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MESSAGE_BYTES_MAX).new_codec();
        Self { peer, send: FramedWrite::new(send, codec.clone()), receive: FramedRead::new(receive, codec) }
    }

    /// Opens a stream and sends a request.
    pub(crate) async fn open(
        peer: Option<InstanceId>,
        connection: &Connection,
        request: &PeerRequest,
    ) -> Result<Self, String> {
        Self::open_with(peer, connection, request, &Sections::default()).await
    }

    /// Opens a stream and sends a request with sections.
    pub(crate) async fn open_with(
        peer: Option<InstanceId>,
        connection: &Connection,
        request: &PeerRequest,
        sections: &Sections,
    ) -> Result<Self, String> {
        let (send, receive) = connection.open_bi().await.map_err(|e| e.to_string())?;
        let mut conversation = Self::new(peer, send, receive);
        conversation.send_with(request, sections).await?;
        Ok(conversation)
    }

    /// Sends a message.
    pub(crate) async fn send<T: Serialize + Sync>(&mut self, message: &T) -> Result<(), String> {
        self.send_with(message, &Sections::default()).await
    }

    async fn send_with<T: Serialize + Sync>(
        &mut self,
        message: &T,
        sections: &Sections,
    ) -> Result<(), String> {
        let bytes = sections::encode(message, sections).map_err(|e| e.to_string())?;
        self.send.send(bytes).await.map_err(|e| e.to_string())
    }

    /// Receives a message; `None` at the end of the stream.
    pub(crate) async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, String> {
        Ok(self.receive_with().await?.map(|(message, _)| message))
    }

    async fn receive_with<T: DeserializeOwned>(&mut self) -> Result<Option<(T, Sections)>, String> {
        match self.receive.next().await {
            None => Ok(None),
            Some(Ok(bytes)) => sections::decode(&bytes).map(Some).map_err(|e| e.to_string()),
            Some(Err(e)) => Err(e.to_string()),
        }
    }

    /// Receives the response to a request.
    pub(crate) async fn receive_response<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        self.receive().await?.ok_or_else(|| "the stream ended without a response".to_owned())
    }

    /// Receives the request of a stream that a peer opened, with its sections.
    pub(crate) async fn receive_request(&mut self) -> Result<(PeerRequest, Sections), String> {
        let request = timeout(REQUEST_TIMEOUT, self.receive_with()).await;
        let request = request.map_err(|_| "no request arrived in time".to_owned())??;
        request.ok_or_else(|| "the stream ended without a request".to_owned())
    }

    /// The stream itself, if nothing more than the messages so far has been read from it.
    pub(crate) fn into_streams(self) -> Option<(SendStream, RecvStream)> {
        let is_drained = self.receive.read_buffer().is_empty();
        is_drained.then(|| (self.send.into_inner(), self.receive.into_inner()))
    }

    /// Waits until the other instance has ended the stream or the link is lost.
    pub(crate) async fn ended(&mut self) {
        while let Ok(Some(())) = self.receive::<()>().await {}
    }
}
