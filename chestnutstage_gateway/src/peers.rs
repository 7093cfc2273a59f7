//! Messages between the instances.
//!
//! Every instance tells all others its grants: at once when it grants something, else at intervals. A message holds
//! everything, so that the loss of one is healed by the next. Messages travel as datagrams over one QUIC connection per
//! pair, opened by the instance whose name is lower; larger ones take a stream of their own.

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

use crate::dispatcher::{Heard, PeerLeft, Tell};
use crate::external::{Member, Topic};
use crate::identity::{CERTIFICATE_NAME, LinkError, configs};
use crate::knowledge::Mark;
use crate::shared::Shared;

/// Time limit for a connection to open: a peer that starts at the same time may have no port yet, and the transport
/// repeats its first packet only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Pause before a connection is tried again; doubles up to [`CONNECT_PAUSE_MAX`].
const CONNECT_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between tries.
const CONNECT_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Interval of messages when nothing is granted.
const TELL_INTERVAL: Duration = Duration::from_millis(100);
/// Peers up to which that interval holds; it grows with their number.
const TELL_PEERS: usize = 16;
/// Time in which grants gather for one message.
const GATHER: Duration = Duration::from_millis(3);
/// Largest message, in bytes.
pub(crate) const MESSAGE_MAX: usize = 4 << 20;
/// Instances that follow the store for all. Were the store to turn a third of them away, a known trouble, all of eight
/// would be hit once in 6,500 times; each more is priced like any other caller of the store.
const FOLLOWERS: usize = 8;
/// Instances up to which each follows the store for itself: so few are cheap, and news come without a detour.
const FOLLOWERS_ALL: usize = 16;

/// What an instance tells the others.
#[derive(Debug, Serialize, Deserialize)]
struct State {
    id: InstanceId,
    life: u64,
    sequence: u64,
    sent: Time,
    snapshot: Snapshot,
    /// What it knows from the store.
    marks: Vec<(Topic, Mark)>,
    /// Age of the operators' rules there.
    rules_age: Duration,
    leaving: bool,
}

struct Peer {
    connection: Connection,
    life: u64,
    sequence: u64,
    /// When the peer sent the last state that came, by its clock.
    sent: Time,
}

/// Links to the other instances.
pub(crate) struct Peers {
    pub(crate) shared: Arc<Shared>,
    endpoint: Endpoint,
    life: u64,
    open: Mutex<BTreeMap<InstanceId, Peer>>,
    /// Topics of which a peer is being asked.
    pub(crate) asking: Mutex<BTreeSet<Topic>>,
}

impl Peers {
    /// Opens the port for the other instances.
    ///
    /// # Errors
    ///
    /// The certificate can't be used, or the port can't be bound.
    pub(crate) fn bind(shared: Arc<Shared>, identity: &str, address: SocketAddr) -> Result<Self, LinkError> {
        let (server, client) = configs(identity)?;
        let mut endpoint =
            Endpoint::server(server, address).map_err(|source| LinkError::Bind { address, source })?;
        endpoint.set_default_client_config(client);
        let life = rand::random();
        Ok(Self { shared, endpoint, life, open: Mutex::default(), asking: Mutex::default() })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Peer>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn me(&self) -> &InstanceId {
        &self.shared.settings.instance.name
    }

    /// Names of the instances that are linked.
    pub(crate) fn linked(&self) -> Vec<InstanceId> {
        self.lock().keys().cloned().collect()
    }

    /// Takes connections of peers, for ever.
    pub(crate) async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let peers = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => peers.hear(connection).await,
                    Err(e) => debug!("a peer's connection failed: {e}"),
                }
            });
        }
    }

    /// Keeps connections to the members whose names are higher, for ever.
    pub(crate) async fn dial(self: Arc<Self>) {
        let mut dialing: HashMap<InstanceId, (Member, tokio::task::JoinHandle<()>)> = HashMap::new();
        loop {
            let members = self.shared.knowledge.members();
            dialing.retain(|id, (known, task)| {
                let stays = members.iter().any(|m| m.id == *id && m == known);
                if !stays {
                    task.abort();
                }
                stays
            });
            for member in members.into_iter().filter(|m| m.id > *self.me()) {
                if !dialing.contains_key(&member.id) {
                    let task = tokio::spawn(self.clone().keep_open(member.clone()));
                    dialing.insert(member.id.clone(), (member, task));
                }
            }
            self.shared.knowledge.members_changed.notified().await;
        }
    }

    async fn keep_open(self: Arc<Self>, member: Member) {
        let mut pause = CONNECT_PAUSE;
        loop {
            let connecting = match self.endpoint.connect(member.address, CERTIFICATE_NAME) {
                Ok(connecting) => connecting,
                Err(e) => {
                    warn!(peer:% = member.id; "connection: {e}");
                    return;
                }
            };
            match timeout(CONNECT_LIMIT, connecting).await {
                Ok(Ok(connection)) => {
                    self.send_state(&connection).await;
                    self.clone().hear(connection).await;
                    pause = CONNECT_PAUSE;
                }
                Ok(Err(e)) => debug!(peer:% = member.id; "connection: {e}"),
                Err(_) => debug!(peer:% = member.id; "connection: no answer"),
            }
            sleep(pause).await;
            pause = (pause * 2).min(CONNECT_PAUSE_MAX);
        }
    }

    /// Takes what a peer says until its connection ends.
    async fn hear(self: Arc<Self>, connection: Connection) {
        let mut peer = None;
        loop {
            let message = tokio::select! {
                datagram = connection.read_datagram() => datagram.map_err(|e| e.to_string()),
                stream = connection.accept_uni() => match stream {
                    Ok(mut stream) => match stream.read_to_end(MESSAGE_MAX).await {
                        Ok(bytes) => Ok(Bytes::from(bytes)),
                        Err(e) => {
                            debug!("a peer's message broke off: {e}");
                            continue;
                        }
                    },
                    Err(e) => Err(e.to_string()),
                },
                stream = connection.accept_bi() => match stream {
                    Ok((send, receive)) => {
                        tokio::spawn(self.clone().tell_topic(send, receive));
                        continue;
                    }
                    Err(e) => Err(e.to_string()),
                },
            };
            match message {
                Ok(bytes) => match decode(&bytes) {
                    Ok((echo, state)) => {
                        let first = peer.replace(state.id.clone()).is_none();
                        self.take(echo, state, &connection, first).await;
                    }
                    Err(e) => warn!("a peer's message can't be read: {e}"),
                },
                Err(why) => {
                    self.close(peer.as_ref(), &connection, &why);
                    return;
                }
            }
        }
    }

    fn close(&self, peer: Option<&InstanceId>, connection: &Connection, why: &str) {
        let Some(id) = peer else { return };
        let mut open = self.lock();
        if open.get(id).is_some_and(|p| p.connection.stable_id() == connection.stable_id()) {
            open.remove(id);
            self.choose_duty(&open);
            warn!(peer:% = id; "link lost: {why}");
        }
    }

    async fn take(self: &Arc<Self>, echo: Option<Time>, state: State, connection: &Connection, first: bool) {
        {
            let mut open = self.lock();
            let known = open.get(&state.id).map(|p| (p.life, p.sequence));
            if known.is_some_and(|(life, sequence)| life == state.life && sequence >= state.sequence) {
                return;
            }
            let peer = Peer {
                connection: connection.clone(),
                life: state.life,
                sequence: state.sequence,
                sent: state.sent,
            };
            open.insert(state.id.clone(), peer);
            self.choose_duty(&open);
            gauge!("chestnutstage_peers_linked").set(open.len() as f64);
        }
        if first {
            info!(peer:% = state.id; "link open");
            self.send_state(connection).await;
        }
        // The peer wrote this after it had what was sent from here at `echo`, however long the message took.
        let known = echo.map(|echo| echo - state.rules_age);
        for (topic, mark) in state.marks {
            if self.shared.knowledge.compare(topic, mark, known) {
                self.ask(topic, connection);
            }
        }
        let sent = if state.leaving {
            self.shared.dispatcher.tell(PeerLeft(state.id)).await.is_ok()
        } else {
            let heard = Heard { peer: state.id, sent: state.sent, snapshot: state.snapshot };
            self.shared.dispatcher.tell(heard).await.is_ok()
        };
        if !sent {
            warn!("the dispatcher is gone; a peer's grants are not known");
        }
    }

    /// Decides anew whether this instance follows the store for others.
    fn choose_duty(&self, open: &BTreeMap<InstanceId, Peer>) {
        let duty = open.len() < FOLLOWERS_ALL
            || rendezvous::is_among_top(FOLLOWERS, "store", self.me(), open.keys());
        self.shared.knowledge.set_duty(duty);
    }

    async fn state(&self) -> Option<Bytes> {
        let snapshot = self.shared.dispatcher.ask(Tell).await.ok()??;
        let knowledge = &self.shared.knowledge;
        let now = self.shared.clock.now();
        let state = State {
            id: self.me().clone(),
            life: self.life,
            sequence: now.as_millis() * 1_000 + u64::from(rand::random::<u8>()),
            sent: now,
            snapshot,
            marks: knowledge.marks(),
            rules_age: knowledge.rules_age(),
            leaving: self.shared.is_draining() && self.shared.is_idle(),
        };
        match postcard::to_stdvec(&state) {
            Ok(bytes) => Some(Bytes::from(bytes)),
            Err(e) => {
                warn!("the state can't be encoded: {e}");
                None
            }
        }
    }

    async fn send_state(&self, connection: &Connection) {
        if let Some(message) = self.state().await {
            send(connection, self.echo(connection), &message);
        }
    }

    /// When the peer at the other end sent the last state that came.
    fn echo(&self, connection: &Connection) -> Option<Time> {
        let open = self.lock();
        open.values().find(|p| p.connection.stable_id() == connection.stable_id()).map(|p| p.sent)
    }

    /// All connections, each with when its peer sent the last state that came.
    fn connections(&self) -> Vec<(Connection, Time)> {
        self.lock().values().map(|p| (p.connection.clone(), p.sent)).collect()
    }

    /// Tells all peers the state: at intervals, and at once when something was granted. Runs for ever.
    pub(crate) async fn tell(self: Arc<Self>, granted: Arc<Notify>) {
        loop {
            let connections = self.connections();
            let factor = connections.len().div_ceil(TELL_PEERS).max(1) as u32;
            if !connections.is_empty()
                && let Some(message) = self.state().await
            {
                counter!("chestnutstage_states_sent_total").increment(connections.len() as u64);
                for (connection, echo) in &connections {
                    send(connection, Some(*echo), &message);
                }
            }
            tokio::select! {
                () = sleep(TELL_INTERVAL * factor) => {}
                () = granted.notified() => sleep(GATHER * factor).await,
            }
        }
    }

    /// Tells all peers that this instance leaves, and closes the links.
    pub(crate) async fn leave(&self) {
        if let Some(message) = self.state().await {
            for (connection, echo) in self.connections() {
                send(&connection, Some(echo), &message);
            }
        }
        self.endpoint.close(0_u32.into(), b"leaving");
    }
}

/// A message: when the receiver sent what the sender had last, then the sender's state.
fn decode(bytes: &[u8]) -> postcard::Result<(Option<Time>, State)> {
    let (echo, rest) = postcard::take_from_bytes(bytes)?;
    Ok((echo, postcard::from_bytes(rest)?))
}

/// Sends a state as a datagram if it fits into one, else on a stream.
fn send(connection: &Connection, echo: Option<Time>, state: &[u8]) {
    let message = match postcard::to_stdvec(&echo) {
        Ok(head) => Bytes::from([&head, state].concat()),
        Err(e) => return warn!("a message can't be encoded: {e}"),
    };
    if connection.max_datagram_size().is_some_and(|size| message.len() <= size) {
        if let Err(e) = connection.send_datagram(message) {
            debug!("a message to a peer was not sent: {e}");
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
            debug!("a message to a peer was not sent: {e}");
        }
    });
}
