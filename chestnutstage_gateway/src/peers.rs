//! Gossip between the instances.
//!
//! Every instance sends its grants to all others: shortly after each grant, and otherwise at intervals. A message holds
//! the complete state, so that the next one replaces a lost one. Messages are sent as datagrams over one QUIC connection
//! per pair, opened by the instance whose name sorts first; a message too large for a datagram gets a stream of its own.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::Snapshot;
use chestnutstage_core::rendezvous;
use chestnutstage_core::time::Time;
use log::{debug, info, warn};
use metrics::{counter, gauge};
use quinn::{Connection, Endpoint};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::dispatcher::{PeerLeft, PeerUpdate, TakeSnapshot};
use crate::external::{Member, Topic};
use crate::identity::{CERTIFICATE_NAME, LinkError, configs};
use crate::shared::Shared;
use crate::store_cache::Digest;

/// Timeout of a connection attempt: a peer that starts at the same time may not listen yet, and QUIC retransmits its
/// first packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Backoff after the first failed connection attempt; doubles up to [`CONNECT_BACKOFF_MAX`].
const CONNECT_BACKOFF: Duration = Duration::from_millis(60);
/// Longest backoff between connection attempts.
const CONNECT_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Interval between messages while nothing is granted.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers up to which the intervals hold; with more peers they grow in proportion.
const FULL_RATE_PEERS_MAX: usize = 16;
/// Time for which grants are collected into one message.
const GRANT_DELAY: Duration = Duration::from_millis(3);
/// Largest accepted message.
pub(crate) const MESSAGE_BYTES_MAX: usize = 4 << 20;
/// Number of instances that watch the store on behalf of all. If the store refuses a third of the instances, a known
/// fault, it refuses all eight with a probability of 1 in 6,500; each further watcher adds to the load on the store like
/// any other client.
const WATCHERS: usize = 8;
/// Number of instances up to which each watches the store: the load is still low, and changes need not pass through a
/// peer.
const ALL_WATCH_MAX: usize = 16;

/// State of an instance, as sent to its peers.
#[derive(Debug, Serialize, Deserialize)]
struct State {
    id: InstanceId,
    life: u64,
    sequence: u64,
    sent: Time,
    snapshot: Snapshot,
    /// Digests of the sender's copies of the store's topics.
    marks: Vec<(Topic, Digest)>,
    /// Age of the sender's copy of the operators' rules.
    rules_age: Duration,
    leaving: bool,
}

struct Peer {
    connection: Connection,
    incarnation: u64,
    sequence: u64,
    /// Time at which the peer sent the last received state, by its own clock.
    sent: Time,
}

/// Links to the other instances.
pub(crate) struct Peers {
    pub(crate) shared: Arc<Shared>,
    endpoint: Endpoint,
    incarnation: u64,
    links: Mutex<BTreeMap<InstanceId, Peer>>,
    /// Topics that are being fetched from a peer.
    pub(crate) fetching: Mutex<BTreeSet<Topic>>,
}

impl Peers {
    /// Binds the port for links from the other instances.
    ///
    /// # Errors
    ///
    /// The certificate can't be used, or the port can't be bound.
    pub(crate) fn bind(shared: Arc<Shared>, identity: &str, address: SocketAddr) -> Result<Self, LinkError> {
        let (server, client) = configs(identity)?;
        let mut endpoint =
            Endpoint::server(server, address).map_err(|source| LinkError::Bind { address, source })?;
        endpoint.set_default_client_config(client);
        let incarnation = rand::random();
        Ok(Self { shared, endpoint, incarnation, links: Mutex::default(), fetching: Mutex::default() })
    }

    /// Address on which this instance accepts links.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Peer>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own_id(&self) -> &InstanceId {
        &self.shared.settings.instance.name
    }

    /// Names of the linked instances.
    pub(crate) fn linked(&self) -> Vec<InstanceId> {
        self.lock().keys().cloned().collect()
    }

    /// Accepts connections from peers; runs until the endpoint is closed.
    pub(crate) async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let peers = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => peers.receive(connection).await,
                    Err(e) => debug!("handshake of an incoming connection failed: {e}"),
                }
            });
        }
    }

    /// Keeps connections open to the members whose names sort after this instance's; never returns.
    pub(crate) async fn dial(self: Arc<Self>) {
        let mut dialing: HashMap<InstanceId, (Member, tokio::task::JoinHandle<()>)> = HashMap::new();
        loop {
            let members = self.shared.store_cache.members();
            dialing.retain(|id, (dialed, task)| {
                let unchanged = members.iter().any(|m| m.id == *id && m == dialed);
                if !unchanged {
                    task.abort();
                }
                unchanged
            });
            for member in members.into_iter().filter(|m| m.id > *self.own_id()) {
                if !dialing.contains_key(&member.id) {
                    let task = tokio::spawn(self.clone().keep_open(member.clone()));
                    dialing.insert(member.id.clone(), (member, task));
                }
            }
            self.shared.store_cache.members_changed.notified().await;
        }
    }

    async fn keep_open(self: Arc<Self>, member: Member) {
        let mut backoff = CONNECT_BACKOFF;
        loop {
            let connecting = match self.endpoint.connect(member.address, CERTIFICATE_NAME) {
                Ok(connecting) => connecting,
                Err(e) => {
                    warn!(
                        peer:% = member.id;
                        "can't start a connection to the peer; not retried until its registration changes: {e}"
                    );
                    return;
                }
            };
            match timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(connection)) => {
                    self.send_state(&connection).await;
                    self.clone().receive(connection).await;
                    backoff = CONNECT_BACKOFF;
                }
                Ok(Err(e)) => debug!(peer:% = member.id; "connection to a peer failed: {e}"),
                Err(_) => debug!(peer:% = member.id; "connection to a peer timed out"),
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(CONNECT_BACKOFF_MAX);
        }
    }

    /// Handles the messages and requests of a peer until its connection ends.
    async fn receive(self: Arc<Self>, connection: Connection) {
        let mut peer = None;
        loop {
            let message = tokio::select! {
                datagram = connection.read_datagram() => datagram.map_err(|e| e.to_string()),
                stream = connection.accept_uni() => match stream {
                    Ok(mut stream) => match stream.read_to_end(MESSAGE_BYTES_MAX).await {
                        Ok(bytes) => Ok(Bytes::from(bytes)),
                        Err(e) => {
                            debug!("message of a peer is incomplete and is dropped: {e}");
                            continue;
                        }
                    },
                    Err(e) => Err(e.to_string()),
                },
                stream = connection.accept_bi() => match stream {
                    Ok((send, receive)) => {
                        tokio::spawn(self.clone().serve_topic(send, receive));
                        continue;
                    }
                    Err(e) => Err(e.to_string()),
                },
            };
            match message {
                Ok(bytes) => match decode(&bytes) {
                    Ok((echo, state)) => {
                        let first = peer.replace(state.id.clone()).is_none();
                        self.apply_state(echo, state, &connection, first).await;
                    }
                    Err(e) => warn!("message of a peer can't be decoded and is dropped: {e}"),
                },
                Err(reason) => {
                    self.remove_link(peer.as_ref(), &connection, &reason);
                    return;
                }
            }
        }
    }

    fn remove_link(&self, peer: Option<&InstanceId>, connection: &Connection, reason: &str) {
        let Some(id) = peer else { return };
        let mut links = self.lock();
        if links.get(id).is_some_and(|p| p.connection.stable_id() == connection.stable_id()) {
            links.remove(id);
            self.update_store_watch(&links);
            warn!(peer:% = id; "link lost: {reason}");
        }
    }

    async fn apply_state(
        self: &Arc<Self>,
        echo: Option<Time>,
        state: State,
        connection: &Connection,
        first: bool,
    ) {
        {
            let mut links = self.lock();
            let last = links.get(&state.id).map(|p| (p.incarnation, p.sequence));
            if last.is_some_and(|(incarnation, sequence)| {
                incarnation == state.life && sequence >= state.sequence
            }) {
                return;
            }
            let peer = Peer {
                connection: connection.clone(),
                incarnation: state.life,
                sequence: state.sequence,
                sent: state.sent,
            };
            links.insert(state.id.clone(), peer);
            self.update_store_watch(&links);
            gauge!("chestnutstage_peers_linked").set(links.len() as f64);
        }
        if first {
            info!(peer:% = state.id; "link established");
            self.send_state(connection).await;
        }
        // The peer wrote this state after it had received the message sent from here at `echo`, so its rules were current
        // at that time less their age, regardless of transit times and clock offsets.
        let rules_time = echo.map(|echo| echo - state.rules_age);
        for (topic, digest) in state.marks {
            if self.shared.store_cache.compare_digest(topic, digest, rules_time) {
                self.fetch(topic, connection);
            }
        }
        let sent = if state.leaving {
            self.shared.dispatcher.tell(PeerLeft(state.id)).await.is_ok()
        } else {
            let update = PeerUpdate { peer: state.id, sent: state.sent, snapshot: state.snapshot };
            self.shared.dispatcher.tell(update).await.is_ok()
        };
        if !sent {
            warn!("dispatcher has stopped; state of a peer dropped");
        }
    }

    /// Updates whether this instance watches the store on behalf of all.
    fn update_store_watch(&self, links: &BTreeMap<InstanceId, Peer>) {
        let watching = links.len() < ALL_WATCH_MAX
            || rendezvous::is_among_top(WATCHERS, "store", self.own_id(), links.keys());
        self.shared.store_cache.set_store_watch(watching);
    }

    async fn encode_state(&self) -> Option<Bytes> {
        let snapshot = self.shared.dispatcher.ask(TakeSnapshot).await.ok()??;
        let store_cache = &self.shared.store_cache;
        let now = self.shared.clock.now();
        let state = State {
            id: self.own_id().clone(),
            life: self.incarnation,
            sequence: now.as_millis() * 1_000 + u64::from(rand::random::<u8>()),
            sent: now,
            snapshot,
            marks: store_cache.digests(),
            rules_age: store_cache.rules_age(),
            leaving: self.shared.is_draining() && self.shared.is_idle(),
        };
        match postcard::to_stdvec(&state) {
            Ok(bytes) => Some(Bytes::from(bytes)),
            Err(e) => {
                warn!("state for the peers can't be encoded and is not sent: {e}");
                None
            }
        }
    }

    async fn send_state(&self, connection: &Connection) {
        if let Some(message) = self.encode_state().await {
            send(connection, self.echo(connection), &message);
        }
    }

    /// Time at which the peer on a connection sent its last received state.
    fn echo(&self, connection: &Connection) -> Option<Time> {
        let links = self.lock();
        links.values().find(|p| p.connection.stable_id() == connection.stable_id()).map(|p| p.sent)
    }

    /// All connections, each with the time at which its peer sent its last received state.
    fn connections(&self) -> Vec<(Connection, Time)> {
        self.lock().values().map(|p| (p.connection.clone(), p.sent)).collect()
    }

    /// Sends the state to all peers at intervals, and shortly after each grant; never returns.
    pub(crate) async fn gossip(self: Arc<Self>, granted: Arc<Notify>) {
        loop {
            let connections = self.connections();
            let factor = connections.len().div_ceil(FULL_RATE_PEERS_MAX).max(1) as u32;
            if !connections.is_empty()
                && let Some(message) = self.encode_state().await
            {
                counter!("chestnutstage_states_sent_total").increment(connections.len() as u64);
                for (connection, echo) in &connections {
                    send(connection, Some(*echo), &message);
                }
            }
            tokio::select! {
                () = sleep(GOSSIP_INTERVAL * factor) => {}
                () = granted.notified() => sleep(GRANT_DELAY * factor).await,
            }
        }
    }

    /// Sends a last state to all peers, which marks an idle instance as leaving, and closes the links.
    pub(crate) async fn leave(&self) {
        if let Some(message) = self.encode_state().await {
            for (connection, echo) in self.connections() {
                send(&connection, Some(echo), &message);
            }
        }
        self.endpoint.close(0_u32.into(), b"leaving");
    }
}

/// Decodes a message: the time at which the receiver sent the last state that the sender has, then the sender's state.
fn decode(bytes: &[u8]) -> postcard::Result<(Option<Time>, State)> {
    let (echo, remaining) = postcard::take_from_bytes(bytes)?;
    Ok((echo, postcard::from_bytes(remaining)?))
}

/// Sends a state as a datagram if it fits into one, otherwise on a stream.
fn send(connection: &Connection, echo: Option<Time>, state: &[u8]) {
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
