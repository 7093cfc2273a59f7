//! Links between instances over QUIC.
//!
//! All messages to a peer share one connection. Each exchange has its own stream, so that none blocks another. After a
//! timeout the connection is dropped, and the next message opens a new one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::ids::{InstanceId, Ticket};
use chestnutstage_core::owner::{End, GrantRequest};
use chestnutstage_daemon::tls::{Identity, TlsError};
use futures::future::BoxFuture;
use futures::{FutureExt, SinkExt, StreamExt};
use log::{debug, warn};
use metrics::{counter, gauge};
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::message::{self, EntryMessage, OwnerMessage, Reply, Request, Target};
use super::tls;
use super::{BoundAddress, GrantStream, Handler, LinkError, PeerLink, Step};

/// Maximum size of a frame.
const FRAME_BYTES_MAX: usize = 4 << 20;
/// Timeout for opening a connection and for receiving the peer's name on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between updates of the traffic metrics.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of the frame that carries a peer's name.
const NAME_FRAME_BYTES_MAX: usize = 255;

type Reader = FramedRead<RecvStream, LengthDelimitedCodec>;
type Writer = FramedWrite<SendStream, LengthDelimitedCodec>;

/// QUIC endpoint of this instance, with its connections to peers.
#[derive(Debug)]
pub(crate) struct QuicLink {
    me: InstanceId,
    endpoint: Endpoint,
    connections: Mutex<HashMap<InstanceId, Connection>>,
}

impl QuicLink {
    /// Binds to `address`.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if a certificate is invalid or the address can't be bound.
    pub(crate) fn bind(me: InstanceId, identity: &Identity, address: SocketAddr) -> Result<Self, TlsError> {
        let failed = |e: std::io::Error| TlsError::Authority(format!("bind of {address}: {e}"));
        let mut endpoint =
            Endpoint::server(identity.server(tls::ALPN, tls::transport())?, address).map_err(failed)?;
        endpoint.set_default_client_config(identity.client(tls::ALPN, tls::transport())?);
        Ok(Self { me, endpoint, connections: Mutex::default() })
    }

    /// Address to which the link is bound.
    pub(crate) fn bound_address(&self) -> std::io::Result<BoundAddress> {
        Ok(BoundAddress { address: self.endpoint.local_addr()? })
    }

    /// Accepts connections from peers until the link is closed.
    pub(crate) async fn serve(self: Arc<Self>, handler: Arc<Handler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(accept(incoming, handler.clone()));
        }
    }

    /// Records the UDP bytes sent and received on the open connections that this instance initiated.
    fn record_traffic(&self) {
        let stats: Vec<_> = self.lock().values().map(Connection::stats).collect();
        let sent: u64 = stats.iter().map(|s| s.udp_tx.bytes).sum();
        let received: u64 = stats.iter().map(|s| s.udp_rx.bytes).sum();
        gauge!("chestnutstage_link_connections").set(stats.len() as f64);
        gauge!("chestnutstage_link_sent_bytes").set(sent as f64);
        gauge!("chestnutstage_link_received_bytes").set(received as f64);
    }

    /// Updates the traffic metrics periodically; never returns.
    pub(crate) async fn report_traffic(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TRAFFIC_INTERVAL).await;
            self.record_traffic();
        }
    }

    /// Closes all links.
    pub(crate) fn close(&self) {
        self.endpoint.close(0_u32.into(), b"leaving");
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the open connection to `peer`, or opens one.
    async fn connection(&self, peer: &Target) -> Result<Connection, LinkError> {
        let known = self.lock().get(&peer.id).filter(|c| c.close_reason().is_none()).cloned();
        if let Some(connection) = known.filter(|c| c.remote_address() == peer.address) {
            return Ok(connection);
        }
        let failed = |reason: String| LinkError { step: Step::Connect, peer: peer.id.clone(), reason };
        let connecting =
            self.endpoint.connect(peer.address, peer.id.as_str()).map_err(|e| failed(e.to_string()))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| failed(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|e| failed(e.to_string()))?;
        let name = message::encode(&self.me).map_err(|e| failed(e.to_string()))?;
        let mut hello = connection.open_bi().await.map_err(|e| failed(e.to_string()))?;
        hello.0.write_all(&name).await.map_err(|e| failed(e.to_string()))?;
        let _ = hello.0.finish();
        self.lock().insert(peer.id.clone(), connection.clone());
        Ok(connection)
    }

    /// Opens a stream and sends `request` as its first message.
    async fn open_stream(&self, peer: &Target, request: &Request) -> Result<(Reader, Writer), LinkError> {
        let failed = |reason: String| LinkError { step: Step::Send, peer: peer.id.clone(), reason };
        let connection = self.connection(peer).await?;
        let (send, recv) = connection.open_bi().await.map_err(|e| failed(e.to_string()))?;
        let (reader, mut writer) = framed(send, recv);
        send_message(&mut writer, request).await.map_err(failed)?;
        Ok((reader, writer))
    }

    /// Drops the connection to a peer after a timeout.
    fn drop_connection(&self, peer: &InstanceId) {
        if let Some(connection) = self.lock().remove(peer) {
            debug!(peer:% = peer; "request timed out; the next message opens a new connection");
            // Grant streams may still use the connection, so it is not closed; if the peer is dead, the idle timeout
            // closes it.
            drop(connection);
        }
    }
}

fn framed(send: SendStream, recv: RecvStream) -> (Reader, Writer) {
    let codec = || LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec();
    (FramedRead::new(recv, codec()), FramedWrite::new(send, codec()))
}

async fn send_message<T: Serialize>(writer: &mut Writer, message: &T) -> Result<(), String> {
    let frame = message::encode(message).map_err(|e| e.to_string())?;
    writer.send(Bytes::from(frame)).await.map_err(|e| e.to_string())
}

/// Receives the next message; `None` at the end of the stream.
async fn receive_message<T: DeserializeOwned>(reader: &mut Reader) -> Result<Option<T>, String> {
    let Some(frame) = reader.next().await else {
        return Ok(None);
    };
    let frame = frame.map_err(|e| e.to_string())?;
    message::decode(&frame).map(Some).map_err(|e| e.to_string())
}

impl PeerLink for QuicLink {
    type Reply = Reply;

    fn call<'a>(
        &'a self,
        peer: &'a Target,
        request: Request,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Reply, LinkError>> {
        async move {
            let exchange = async {
                let (mut reader, mut writer) = self.open_stream(peer, &request).await?;
                let _ = writer.get_mut().finish();
                let failed = |reason| LinkError { step: Step::Receive, peer: peer.id.clone(), reason };
                receive_message(&mut reader)
                    .await
                    .map_err(failed)?
                    .ok_or_else(|| failed("the peer closed the stream without a reply".into()))
            };
            if let Ok(result) = timeout(limit, exchange).await {
                result
            } else {
                self.drop_connection(&peer.id);
                let reason = format!("no reply within {limit:?}");
                Err(LinkError { step: Step::Receive, peer: peer.id.clone(), reason })
            }
        }
        .boxed()
    }

    fn request_grant<'a>(
        &'a self,
        peer: &'a Target,
        ask: GrantRequest,
        remaining: Duration,
    ) -> BoxFuture<'a, Result<GrantStream, LinkError>> {
        async move {
            let (reader, writer) = self.open_stream(peer, &Request::Ask { ask, remaining }).await?;
            let (incoming_sender, incoming) = mpsc::unbounded_channel();
            let (outgoing, outgoing_receiver) = mpsc::unbounded_channel();
            tokio::spawn(forward_owner_messages(reader, incoming_sender));
            tokio::spawn(send_entry_messages(writer, outgoing_receiver));
            Ok(GrantStream { incoming, outgoing })
        }
        .boxed()
    }
}

/// Forwards the owner's messages to the entry.
async fn forward_owner_messages(mut reader: Reader, incoming: mpsc::UnboundedSender<OwnerMessage>) {
    while let Ok(Some(message)) = receive_message(&mut reader).await {
        if incoming.send(message).is_err() {
            return;
        }
    }
}

/// Sends the entry's messages to the owner, until the entry drops its sender.
async fn send_entry_messages(mut writer: Writer, mut outgoing: mpsc::UnboundedReceiver<EntryMessage>) {
    while let Some(message) = outgoing.recv().await {
        if send_message(&mut writer, &message).await.is_err() {
            return;
        }
    }
    let _ = writer.get_mut().finish();
}

/// Accepts a connection from a peer and serves its streams.
async fn accept(incoming: Incoming, handler: Arc<Handler>) {
    let from = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(e) => {
            counter!("chestnutstage_links_refused_total").increment(1);
            warn!(peer:% = from; "connection refused: handshake failed: {e}");
            return;
        }
    };
    let Some(peer) = authenticate(&connection).await else {
        counter!("chestnutstage_links_refused_total").increment(1);
        warn!(peer:% = from; "connection refused: the peer sent no name, or one that its certificate does not cover");
        connection.close(1_u32.into(), b"wrong name");
        return;
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        tokio::spawn(serve_stream(peer.clone(), send, recv, handler.clone()));
    }
}

/// Reads the peer's name from the first stream and verifies it against the peer's certificate.
async fn authenticate(connection: &Connection) -> Option<InstanceId> {
    let (_, mut recv) = timeout(CONNECT_TIMEOUT, connection.accept_bi()).await.ok()?.ok()?;
    let frame = timeout(CONNECT_TIMEOUT, recv.read_to_end(NAME_FRAME_BYTES_MAX)).await.ok()?.ok()?;
    let name: InstanceId = message::decode(&frame).ok()?;
    tls::is_certificate_for(connection, &name).then_some(name)
}

/// Serves one stream.
async fn serve_stream(peer: InstanceId, send: SendStream, recv: RecvStream, handler: Arc<Handler>) {
    let (mut reader, mut writer) = framed(send, recv);
    let request = match receive_message(&mut reader).await {
        Ok(Some(request)) => request,
        Ok(None) => return,
        Err(reason) => {
            counter!("chestnutstage_messages_refused_total").increment(1);
            warn!(peer:% = peer; "message answered as unsupported: {reason}");
            let _ = send_message(&mut writer, &Reply::Unsupported).await;
            let _ = writer.get_mut().finish();
            return;
        }
    };
    match request {
        Request::Ask { ask, remaining } => relay_grant(ask, remaining, reader, writer, &*handler).await,
        request => {
            let reply = handler.handle(&peer, request).await;
            let _ = send_message(&mut writer, &reply).await;
            let _ = writer.get_mut().finish();
        }
    }
}

/// Relays the messages of a grant stream between an entry and this owner.
async fn relay_grant(
    ask: GrantRequest,
    remaining: Duration,
    mut reader: Reader,
    mut writer: Writer,
    handler: &Handler,
) {
    let ticket = ask.ticket;
    let (owner_sender, mut owner_messages) = mpsc::unbounded_channel();
    handler.handle_grant(ask, remaining, owner_sender);
    loop {
        tokio::select! {
            message = owner_messages.recv() => {
                let Some(message) = message else { break };
                let refused = matches!(message, OwnerMessage::Refused { .. });
                if send_message(&mut writer, &message).await.is_err() || refused {
                    break;
                }
            }
            received = receive_message::<EntryMessage>(&mut reader) => {
                if !forward_entry_message(ticket, received, handler) {
                    return;
                }
            }
        }
    }
    let _ = writer.get_mut().finish();
    handler.handle_entry(ticket, None);
}

/// Passes a message from an entry to the handler; returns false if the stream has ended.
fn forward_entry_message(
    ticket: Ticket,
    received: Result<Option<EntryMessage>, String>,
    handler: &Handler,
) -> bool {
    match received {
        Ok(Some(message)) => {
            let ended = matches!(message, EntryMessage::Ended(_));
            handler.handle_entry(ticket, Some(message));
            !ended
        }
        // The entry finished the stream regularly, so it is alive and its work on the endpoint has stopped.
        Ok(None) => {
            handler.handle_entry(ticket, Some(EntryMessage::Ended(End::Done)));
            false
        }
        Err(_) => {
            handler.handle_entry(ticket, None);
            false
        }
    }
}
