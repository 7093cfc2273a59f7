//! Links between instances over QUIC.
//!
//! One connection to a peer carries all messages, each on a stream of its own, so that none waits behind another. A
//! connection on which an answer stays out is dropped: the next message opens a new one.

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

/// Largest message, in bytes.
const FRAME_MAX: usize = 4 << 20;
/// Time limit for a connection to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(800);
/// Interval at which the traffic is shown in the metrics.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(1);
/// Largest length of an instance's name.
const NAME_MAX: usize = 255;

type Reader = FramedRead<RecvStream, LengthDelimitedCodec>;
type Writer = FramedWrite<SendStream, LengthDelimitedCodec>;

/// The instance's end of all links.
#[derive(Debug)]
pub(crate) struct QuicLink {
    me: InstanceId,
    endpoint: Endpoint,
    connections: Mutex<HashMap<InstanceId, Connection>>,
}

impl QuicLink {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// The certificates can't be used, or the address can't be bound.
    pub(crate) fn bind(me: InstanceId, identity: &Identity, address: SocketAddr) -> Result<Self, TlsError> {
        let failed = |e: std::io::Error| TlsError::Authority(format!("bind of {address}: {e}"));
        let mut endpoint =
            Endpoint::server(identity.server(tls::ALPN, tls::transport())?, address).map_err(failed)?;
        endpoint.set_default_client_config(identity.client(tls::ALPN, tls::transport())?);
        Ok(Self { me, endpoint, connections: Mutex::default() })
    }

    /// Where it listens.
    pub(crate) fn bound_address(&self) -> std::io::Result<BoundAddress> {
        Ok(BoundAddress { address: self.endpoint.local_addr()? })
    }

    /// Answers peers until the link is closed.
    pub(crate) async fn serve(self: Arc<Self>, handler: Arc<Handler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(accept(incoming, handler.clone()));
        }
    }

    /// UDP bytes sent and received on the connections that this instance opened and that are still open.
    fn note_traffic(&self) {
        let stats: Vec<_> = self.lock().values().map(Connection::stats).collect();
        let sent: u64 = stats.iter().map(|s| s.udp_tx.bytes).sum();
        let received: u64 = stats.iter().map(|s| s.udp_rx.bytes).sum();
        gauge!("chestnutstage_link_connections").set(stats.len() as f64);
        gauge!("chestnutstage_link_sent_bytes").set(sent as f64);
        gauge!("chestnutstage_link_received_bytes").set(received as f64);
    }

    /// Shows the traffic on the links in the metrics, for as long as the instance runs.
    pub(crate) async fn report_traffic(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TRAFFIC_INTERVAL).await;
            self.note_traffic();
        }
    }

    /// Closes all links.
    pub(crate) fn close(&self) {
        self.endpoint.close(0_u32.into(), b"leaving");
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to `peer`, opened if there is none.
    async fn connection(&self, peer: &Target) -> Result<Connection, LinkError> {
        let known = self.lock().get(&peer.id).filter(|c| c.close_reason().is_none()).cloned();
        if let Some(connection) = known.filter(|c| c.remote_address() == peer.address) {
            return Ok(connection);
        }
        let failed = |reason: String| LinkError { step: Step::Connect, peer: peer.id.clone(), reason };
        let connecting =
            self.endpoint.connect(peer.address, peer.id.as_str()).map_err(|e| failed(e.to_string()))?;
        let connection = timeout(CONNECT_LIMIT, connecting)
            .await
            .map_err(|_| failed("no answer".into()))?
            .map_err(|e| failed(e.to_string()))?;
        let name = message::encode(&self.me).map_err(|e| failed(e.to_string()))?;
        let mut hello = connection.open_bi().await.map_err(|e| failed(e.to_string()))?;
        hello.0.write_all(&name).await.map_err(|e| failed(e.to_string()))?;
        let _ = hello.0.finish();
        self.lock().insert(peer.id.clone(), connection.clone());
        Ok(connection)
    }

    /// Opens a stream with `request` as its first message.
    async fn open(&self, peer: &Target, request: &Request) -> Result<(Reader, Writer), LinkError> {
        let failed = |reason: String| LinkError { step: Step::Send, peer: peer.id.clone(), reason };
        let connection = self.connection(peer).await?;
        let (send, recv) = connection.open_bi().await.map_err(|e| failed(e.to_string()))?;
        let (reader, mut writer) = framed(send, recv);
        put(&mut writer, request).await.map_err(failed)?;
        Ok((reader, writer))
    }

    /// Drops the connection to a peer that did not answer on it.
    fn forget(&self, peer: &InstanceId) {
        if let Some(connection) = self.lock().remove(peer) {
            debug!(peer:% = peer; "no answer on the connection; the next message opens a new one");
            // Conversations on it may still be alive; the idle limit decides about them.
            drop(connection);
        }
    }
}

fn framed(send: SendStream, recv: RecvStream) -> (Reader, Writer) {
    let codec = || LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_codec();
    (FramedRead::new(recv, codec()), FramedWrite::new(send, codec()))
}

async fn put<T: Serialize>(writer: &mut Writer, message: &T) -> Result<(), String> {
    let frame = message::encode(message).map_err(|e| e.to_string())?;
    writer.send(Bytes::from(frame)).await.map_err(|e| e.to_string())
}

/// Next message, or none at the end of the stream.
async fn take<T: DeserializeOwned>(reader: &mut Reader) -> Result<Option<T>, String> {
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
                let (mut reader, mut writer) = self.open(peer, &request).await?;
                let _ = writer.get_mut().finish();
                let failed = |reason| LinkError { step: Step::Receive, peer: peer.id.clone(), reason };
                take(&mut reader).await.map_err(failed)?.ok_or_else(|| failed("no answer".into()))
            };
            if let Ok(answer) = timeout(limit, exchange).await {
                answer
            } else {
                self.forget(&peer.id);
                let reason = format!("no answer within {limit:?}");
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
            let (reader, writer) = self.open(peer, &Request::Ask { ask, remaining }).await?;
            let (incoming_sender, incoming) = mpsc::unbounded_channel();
            let (outgoing, outgoing_receiver) = mpsc::unbounded_channel();
            tokio::spawn(hear(reader, incoming_sender));
            tokio::spawn(say(writer, outgoing_receiver));
            Ok(GrantStream { incoming, outgoing })
        }
        .boxed()
    }
}

/// Hands on what the owner says.
async fn hear(mut reader: Reader, words: mpsc::UnboundedSender<OwnerMessage>) {
    while let Ok(Some(word)) = take(&mut reader).await {
        if words.send(word).is_err() {
            return;
        }
    }
}

/// Tells the owner what the entry says, until the entry is done.
async fn say(mut writer: Writer, mut told: mpsc::UnboundedReceiver<EntryMessage>) {
    while let Some(word) = told.recv().await {
        if put(&mut writer, &word).await.is_err() {
            return;
        }
    }
    let _ = writer.get_mut().finish();
}

/// Takes a connection that a peer opens.
async fn accept(incoming: Incoming, handler: Arc<Handler>) {
    let from = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(e) => {
            counter!("chestnutstage_links_refused_total").increment(1);
            warn!(peer:% = from; "handshake refused: {e}");
            return;
        }
    };
    let Some(peer) = introduced(&connection).await else {
        counter!("chestnutstage_links_refused_total").increment(1);
        warn!(peer:% = from; "link refused: the peer's certificate is not made out to the name it gave");
        connection.close(1_u32.into(), b"wrong name");
        return;
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        tokio::spawn(answer(peer.clone(), send, recv, handler.clone()));
    }
}

/// Reads the peer's name from the first stream and checks it against the certificate.
async fn introduced(connection: &Connection) -> Option<InstanceId> {
    let (_, mut recv) = timeout(CONNECT_LIMIT, connection.accept_bi()).await.ok()?.ok()?;
    let frame = timeout(CONNECT_LIMIT, recv.read_to_end(NAME_MAX)).await.ok()?.ok()?;
    let name: InstanceId = message::decode(&frame).ok()?;
    tls::is_made_out_to(connection, &name).then_some(name)
}

/// Answers one stream.
async fn answer(peer: InstanceId, send: SendStream, recv: RecvStream, handler: Arc<Handler>) {
    let (mut reader, mut writer) = framed(send, recv);
    let request = match take(&mut reader).await {
        Ok(Some(request)) => request,
        Ok(None) => return,
        Err(reason) => {
            counter!("chestnutstage_messages_refused_total").increment(1);
            warn!(peer:% = peer; "message refused: {reason}");
            let _ = put(&mut writer, &Reply::Unsupported).await;
            let _ = writer.get_mut().finish();
            return;
        }
    };
    match request {
        Request::Ask { ask, remaining } => converse(ask, remaining, reader, writer, &*handler).await,
        request => {
            let reply = handler.handle(&peer, request).await;
            let _ = put(&mut writer, &reply).await;
            let _ = writer.get_mut().finish();
        }
    }
}

/// Carries a conversation between an entry and this owner.
async fn converse(
    ask: GrantRequest,
    remaining: Duration,
    mut reader: Reader,
    mut writer: Writer,
    handler: &Handler,
) {
    let ticket = ask.ticket;
    let (words, mut said) = mpsc::unbounded_channel();
    handler.handle_grant(ask, remaining, words);
    loop {
        tokio::select! {
            word = said.recv() => {
                let Some(word) = word else { break };
                let refused = matches!(word, OwnerMessage::Refused { .. });
                if put(&mut writer, &word).await.is_err() || refused {
                    break;
                }
            }
            told = take::<EntryMessage>(&mut reader) => {
                if !hand_on(ticket, told, handler) {
                    return;
                }
            }
        }
    }
    let _ = writer.get_mut().finish();
    handler.handle_entry(ticket, None);
}

/// Hands on what an entry said; false when the conversation is over.
fn hand_on(ticket: Ticket, told: Result<Option<EntryMessage>, String>, handler: &Handler) -> bool {
    match told {
        Ok(Some(word)) => {
            let over = matches!(word, EntryMessage::Ended(_));
            handler.handle_entry(ticket, Some(word));
            !over
        }
        // The entry closed the stream in order, so it is alive and has stopped the endpoint.
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
