//! Synchronization between the instances: an instance whose copy of a topic is outdated fetches a snapshot from a peer.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use log::{debug, info};
use quinn::{Connection, RecvStream, SendStream};
use tokio::time::timeout;

use crate::external::Topic;
use crate::peers::{MESSAGE_BYTES_MAX, Peers};
use crate::store_cache::TopicSnapshot;

/// Timeout of a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest size of a request, which holds an encoded [`Topic`].
const REQUEST_BYTES_MAX: usize = 64;

impl Peers {
    /// Fetches a topic from a peer, unless a fetch of the same topic is under way.
    pub(crate) fn fetch(self: &Arc<Self>, topic: Topic, connection: &Connection) {
        if !self.lock_fetching().insert(topic) {
            return;
        }
        let (peers, connection) = (self.clone(), connection.clone());
        tokio::spawn(async move {
            let requested = peers.shared.clock.now();
            match timeout(FETCH_TIMEOUT, request_topic(&connection, topic)).await {
                Ok(Ok(snapshot)) => peers.shared.store_cache.apply_snapshot(snapshot, requested).await,
                Ok(Err(e)) => info!(topic:%; "fetch of the topic from a peer failed: {e}"),
                Err(_) => info!(topic:%; "fetch of the topic from a peer timed out"),
            }
            peers.lock_fetching().remove(&topic);
        });
    }

    fn lock_fetching(&self) -> MutexGuard<'_, BTreeSet<Topic>> {
        self.fetching.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn serve_topic(self: Arc<Self>, send: SendStream, receive: RecvStream) {
        if let Err(e) = self.send_snapshot(send, receive).await {
            debug!("topic not sent to a peer that requested it: {e}");
        }
    }

    async fn send_snapshot(&self, mut send: SendStream, mut receive: RecvStream) -> Result<(), String> {
        let request = receive.read_to_end(REQUEST_BYTES_MAX).await.map_err(|e| e.to_string())?;
        let topic = postcard::from_bytes(&request).map_err(|e| e.to_string())?;
        let snapshot = self.shared.store_cache.snapshot(topic).ok_or("the topic has not been read yet")?;
        let bytes = postcard::to_stdvec(&snapshot).map_err(|e| e.to_string())?;
        send.write_all(&bytes).await.map_err(|e| e.to_string())?;
        send.finish().map_err(|e| e.to_string())
    }
}

async fn request_topic(connection: &Connection, topic: Topic) -> Result<TopicSnapshot, String> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(|e| e.to_string())?;
    let request = postcard::to_stdvec(&topic).map_err(|e| e.to_string())?;
    send.write_all(&request).await.map_err(|e| e.to_string())?;
    send.finish().map_err(|e| e.to_string())?;
    let bytes = receive.read_to_end(MESSAGE_BYTES_MAX).await.map_err(|e| e.to_string())?;
    postcard::from_bytes(&bytes).map_err(|e| e.to_string())
}
