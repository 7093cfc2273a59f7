//! Questions between the instances: an instance that is behind asks a peer for all that it knows of a topic.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use log::{debug, info};
use quinn::{Connection, RecvStream, SendStream};
use tokio::time::timeout;

use crate::external::Topic;
use crate::knowledge::Extract;
use crate::peers::{MESSAGE_MAX, Peers};

/// Time limit of a question to a peer.
const ASK_LIMIT: Duration = Duration::from_millis(500);
/// Largest question, in bytes: the name of a topic.
const QUESTION_MAX: usize = 64;

impl Peers {
    /// Asks a peer for all that it knows of a topic, one peer at a time.
    pub(crate) fn ask(self: &Arc<Self>, topic: Topic, connection: &Connection) {
        if !self.asked().insert(topic) {
            return;
        }
        let (peers, connection) = (self.clone(), connection.clone());
        tokio::spawn(async move {
            let asked = peers.shared.clock.now();
            match timeout(ASK_LIMIT, ask_topic(&connection, topic)).await {
                Ok(Ok(extract)) => peers.shared.knowledge.take_extract(extract, asked).await,
                Ok(Err(e)) => info!(topic:%; "a peer did not tell what it knows: {e}"),
                Err(_) => info!(topic:%; "a peer did not tell what it knows in time"),
            }
            peers.asked().remove(&topic);
        });
    }

    fn asked(&self) -> MutexGuard<'_, BTreeSet<Topic>> {
        self.asking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn tell_topic(self: Arc<Self>, send: SendStream, receive: RecvStream) {
        if let Err(e) = self.answer(send, receive).await {
            debug!("a peer's question: {e}");
        }
    }

    async fn answer(&self, mut send: SendStream, mut receive: RecvStream) -> Result<(), String> {
        let question = receive.read_to_end(QUESTION_MAX).await.map_err(|e| e.to_string())?;
        let topic = postcard::from_bytes(&question).map_err(|e| e.to_string())?;
        let extract = self.shared.knowledge.extract(topic).ok_or("nothing is known yet")?;
        let bytes = postcard::to_stdvec(&extract).map_err(|e| e.to_string())?;
        send.write_all(&bytes).await.map_err(|e| e.to_string())?;
        send.finish().map_err(|e| e.to_string())
    }
}

async fn ask_topic(connection: &Connection, topic: Topic) -> Result<Extract, String> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(|e| e.to_string())?;
    let question = postcard::to_stdvec(&topic).map_err(|e| e.to_string())?;
    send.write_all(&question).await.map_err(|e| e.to_string())?;
    send.finish().map_err(|e| e.to_string())?;
    let bytes = receive.read_to_end(MESSAGE_MAX).await.map_err(|e| e.to_string())?;
    postcard::from_bytes(&bytes).map_err(|e| e.to_string())
}
