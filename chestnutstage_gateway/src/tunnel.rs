//! Connections to endpoints that a peer relays.
//!
//! An instance whose path to an endpoint is lost asks a peer that has one for a connection. The stream of the request then
//! carries the bytes of that connection in both directions, so that everything that holds for requests on connections of
//! its own holds here as well: the instance that accepted a request places it, counts it and sends it, and the peer only
//! moves bytes. A peer connects only to endpoints that it knows to accept work, and never through another peer. The end of
//! the stream ends the connection at once; a connection that broke breaks the stream, so that a response that was cut never
//! looks complete.

use std::io;
use std::pin::pin;

use chestnutstage_core::pool::Key;
use log::debug;
use metrics::counter;
use quinn::{Connection, RecvStream, SendStream, VarInt};
use tokio::io::{copy, join};
use tokio::net::TcpStream;

use crate::channel::{ByteStream, open_direct};
use crate::conversation::{Conversation, PeerRequest};
use crate::dispatcher::FindAddress;
use crate::peers::Peers;
use crate::shared::{ActiveWork, Shared};

/// Code with which a stream is reset whose connection did not end regularly.
const ABORTED: VarInt = VarInt::from_u32(1);

/// Opens a connection to an endpoint through a peer.
pub(crate) async fn open_relayed(connection: Connection, key: Key) -> io::Result<Box<dyn ByteStream>> {
    let opening = async {
        let mut conversation = Conversation::open(None, &connection, &PeerRequest::Tunnel(key)).await?;
        conversation.receive_response::<Result<(), String>>().await??;
        conversation.into_streams().ok_or_else(|| "bytes arrived before a request".to_owned())
    };
    let (send, receive) = opening.await.map_err(io::Error::other)?;
    Ok(Box::new(join(receive, send)))
}

impl Peers {
    /// Serves a peer's request for a connection to an endpoint.
    pub(crate) async fn serve_tunnel(&self, mut conversation: Conversation, key: Key) -> Result<(), String> {
        let opened = self.shared.open_for_peer(key).await;
        conversation.send(&opened.as_ref().map(|_| ()).map_err(Clone::clone)).await?;
        let (stream, _active) = opened?;
        counter!("chestnutstage_tunnels_served_total").increment(1);
        let (send, receive) =
            conversation.into_streams().ok_or("bytes arrived before the connection was open")?;
        forward(stream, send, receive).await;
        Ok(())
    }
}

impl Shared {
    async fn open_for_peer(self: &std::sync::Arc<Self>, key: Key) -> Result<(TcpStream, ActiveWork), String> {
        if self.is_draining() || self.is_cut_off() {
            return Err("no connections for peers here".into());
        }
        let active = ActiveWork::start(self);
        let address =
            self.dispatcher.ask(FindAddress { key, open: true }).await.map_err(|e| e.to_string())?;
        let address = address.ok_or("the endpoint is not open")?;
        match open_direct(address).await {
            Ok(stream) => {
                self.record_reached(key);
                Ok((stream, active))
            }
            Err(e) => {
                self.suspect_path(key);
                Err(e.to_string())
            }
        }
    }
}

/// Moves bytes between an endpoint and a peer until one of them ends the connection.
async fn forward(stream: TcpStream, mut send: SendStream, mut receive: RecvStream) {
    let (mut read, mut write) = stream.into_split();
    let is_complete = {
        let response = pin!(copy(&mut read, &mut send));
        let request = pin!(async {
            if let Err(e) = copy(&mut receive, &mut write).await {
                debug!("request of a peer not sent on to its end: {e}");
                // The endpoint may respond all the same. If the peer is lost, writing the response fails as well.
                receive.received_reset().await.ok();
            }
        });
        tokio::select! {
            copied = response => copied.is_ok(),
            () = request => false,
        }
    };
    if !is_complete || send.finish().is_err() {
        send.reset(ABORTED).ok();
    }
}
