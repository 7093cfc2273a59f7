//! Links and gossip between the instances.
//!
//! The planners are linked with each other, the other instances with a few planners ([`chestnutstage_core::planners`]).
//! A planner sends the other planners the changes of its grants shortly after each grant, and all its grants at longer
//! intervals. All linked instances tell each other what they know of the store, as digests with an age. Messages are sent
//! as datagrams over one QUIC connection per pair; a message too large for a datagram gets a stream of its own.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::capacity::CapacityReport;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::rendezvous;
use chestnutstage_core::time::Time;
use log::{debug, info, warn};
use metrics::{counter, gauge};
use quinn::{Connection, Endpoint};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::admission_queue::{ApplyTurns, TakeTurns};
use crate::conversation::Conversation;
use crate::dispatcher::{ApplyCapacities, CountGrants, PeerLeft, PeerUpdate, TakeCapacities, TakeUpdate};

use crate::external::{Member, Topic};
use crate::identity::{CERTIFICATE_NAME, LinkError, configs};
use crate::peer_message::{Extension, PeerMessage, State, decode, encode, send};
use crate::sections::{Sections, Tag};
use crate::shared::Shared;

/// Timeout of a connection attempt: a peer that starts at the same time may not listen yet, and QUIC retransmits its
/// first packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Backoff after the first failed connection attempt; doubles up to [`CONNECT_BACKOFF_MAX`].
const CONNECT_BACKOFF: Duration = Duration::from_millis(60);
/// Longest backoff between connection attempts.
const CONNECT_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Interval between messages of planners while nothing is granted.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of linked planners up to which the intervals hold; with more they grow in proportion.
const FULL_RATE_PEERS_MAX: usize = 16;
/// Intervals after which a planner sends all its grants.
const INTERVALS_PER_SNAPSHOT: u32 = 10;
/// Interval between the messages on a link of an instance that is not a planner.
const ENTRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which grants are collected into one message.
const GRANT_DELAY: Duration = Duration::from_millis(3);
/// Largest accepted message.
pub(crate) const MESSAGE_BYTES_MAX: usize = 4 << 20;
/// Number of planners that watch the store on behalf of all, where not every instance is a planner. If the store refuses
/// all of them, the rules get stale and the other planners watch as well.
const WATCHERS: usize = 4;

struct Peer {
    connection: Connection,
    incarnation: u64,
    sequence: u64,
    /// Time at which the peer sent the last received state, by its own clock.
    sent: Time,
    zone: ZoneId,
    /// Whether it takes itself to be cut off from all endpoints.
    cut_off: bool,
}

/// Links to the other instances.
pub(crate) struct Peers {
    pub(crate) shared: Arc<Shared>,
    endpoint: Endpoint,
    incarnation: u64,
    links: Mutex<BTreeMap<InstanceId, Peer>>,
    /// Topics that are being fetched from a peer.
    pub(crate) fetching: Mutex<BTreeSet<Topic>>,
    /// Planners that did not answer, each with the time until which it is asked after the others.
    bypassed: Mutex<BTreeMap<InstanceId, Instant>>,
    /// Number of the last message.
    sequence: AtomicU64,
}

/// Recipients of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// Planners, which get the grants.
    Planners,
    /// The other instances.
    Entries,
}

/// Grants in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantContent {
    /// None: the message is not between planners.
    None,
    /// What has changed since earlier messages.
    Changes,
    /// All grants.
    All,
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
        Ok(Self {
            shared,
            endpoint,
            incarnation,
            links: Mutex::default(),
            fetching: Mutex::default(),
            bypassed: Mutex::default(),
            sequence: AtomicU64::default(),
        })
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

    /// Names of the linked planners.
    pub(crate) fn linked_planners(&self) -> Vec<InstanceId> {
        let planners = self.shared.store_cache.planners();
        self.linked().into_iter().filter(|id| planners.contains(id)).collect()
    }

    /// Connection to a linked instance.
    pub(crate) fn connection(&self, id: &InstanceId) -> Option<Connection> {
        self.lock().get(id).map(|peer| peer.connection.clone())
    }

    /// Connections to linked instances that reach endpoints, as far as is known; those of this zone first.
    pub(crate) fn relays(&self) -> Vec<Connection> {
        let zone = &self.shared.settings.instance.zone;
        let mut relays: Vec<_> = {
            let links = self.lock();
            let reaching = links.values().filter(|peer| !peer.cut_off);
            reaching
                .map(|peer| (peer.zone != *zone, rand::random::<u32>(), peer.connection.clone()))
                .collect()
        };
        relays.sort_by_key(|(remote, turn, _)| (*remote, *turn));
        relays.into_iter().map(|(.., connection)| connection).collect()
    }

    /// Planners that did not answer lately, each with the time until which it is asked after the others.
    pub(crate) fn lock_bypassed(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Instant>> {
        self.bypassed.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Keeps connections open to the planners that this instance has to be linked with; never returns. Of two planners,
    /// the one whose name sorts first opens the connection.
    pub(crate) async fn dial(self: Arc<Self>) {
        let mut dialing: HashMap<InstanceId, (Member, tokio::task::JoinHandle<()>)> = HashMap::new();
        loop {
            let wanted = self.members_to_dial();
            dialing.retain(|id, (dialed, task)| {
                let unchanged = wanted.iter().any(|m| m.id == *id && m == dialed);
                if !unchanged {
                    task.abort();
                }
                unchanged
            });
            for member in wanted {
                if !dialing.contains_key(&member.id) {
                    let task = tokio::spawn(self.clone().keep_open(member.clone()));
                    dialing.insert(member.id.clone(), (member, task));
                }
            }
            self.update_store_watch(&self.lock());
            self.shared.update_quarantine_members();
            self.shared.store_cache.members_changed.notified().await;
        }
    }

    fn members_to_dial(&self) -> Vec<Member> {
        let planners = self.shared.store_cache.planners();
        let instance = &self.shared.settings.instance;
        let linked = planners.links_of(&instance.name, &instance.zone);
        let planner = planners.contains(&instance.name);
        let mut members = self.shared.store_cache.members();
        members.retain(|m| linked.contains(&&m.id) && (!planner || m.id > instance.name));
        members
    }

    async fn keep_open(self: Arc<Self>, member: Member) {
        let mut backoff = CONNECT_BACKOFF;
        loop {
            let connecting = match self.endpoint.connect(member.address, CERTIFICATE_NAME) {
                Ok(connecting) => connecting,
                Err(e) => {
                    warn!(peer:% = member.id; "can't start a connection to the peer, retrying: {e}");
                    sleep(CONNECT_BACKOFF_MAX).await;
                    continue;
                }
            };
            match timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(connection)) => {
                    self.send_state(&member.id, &connection).await;
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
                        tokio::spawn(self.clone().serve(Conversation::new(None, send, receive)));
                        continue;
                    }
                    Err(e) => Err(e.to_string()),
                },
            };
            match message {
                Ok(bytes) => match decode(&bytes) {
                    Ok(message) => {
                        let first = peer.replace(message.state.id.clone()).is_none();
                        self.apply_state(message, &connection, first).await;
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

    async fn apply_state(self: &Arc<Self>, message: PeerMessage, connection: &Connection, first: bool) {
        let PeerMessage { echo, state, extension, sections } = message;
        {
            let mut links = self.lock();
            let known = links.get(&state.id);
            let last = known.map(|p| (p.incarnation, p.sequence));
            let replaced = known.is_none_or(|p| p.connection.stable_id() != connection.stable_id());
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
                zone: state.zone.clone(),
                cut_off: extension.cut_off,
            };
            links.insert(state.id.clone(), peer);
            if replaced {
                self.update_store_watch(&links);
                gauge!("chestnutstage_peers_linked").set(links.len() as f64);
            }
        }
        if first {
            info!(peer:% = state.id; "link established");
            self.send_state(&state.id, connection).await;
        }
        self.shared.apply_quarantine(&state.quarantine);
        if let Some(reports) = sections.get::<Vec<CapacityReport>>(Tag::Capacities)
            && self.shared.dispatcher.tell(ApplyCapacities(reports)).await.is_err()
        {
            warn!("dispatcher has stopped; capacities that a peer learned dropped");
        }
        if let Some(turns) = sections.get(Tag::Turns)
            && self.shared.dispatcher.tell(ApplyTurns(turns)).await.is_err()
        {
            warn!("dispatcher has stopped; turns of a peer dropped");
        }
        // The peer wrote this state after it had received the message sent from here at `echo`, so its rules were current
        // at that time less their age, regardless of transit times and clock offsets.
        let rules_time = echo.map(|echo| echo - state.rules_age);
        let remote_zone = state.zone != self.shared.settings.instance.zone;
        for (topic, digest) in state.marks {
            if self.shared.store_cache.compare_digest(topic, digest, rules_time, remote_zone) {
                self.fetch(topic, &state.id, connection);
            }
        }
        let sent = if state.leaving {
            self.shared.dispatcher.tell(PeerLeft(state.id)).await.is_ok()
        } else if let Some(update) = state.grants {
            let update = PeerUpdate { peer: state.id, sent: state.sent, update };
            self.shared.dispatcher.tell(update).await.is_ok()
        } else {
            return;
        };
        if !sent {
            warn!("dispatcher has stopped; state of a peer dropped");
        }
    }

    /// Updates whether this instance watches the store on behalf of all.
    fn update_store_watch(&self, links: &BTreeMap<InstanceId, Peer>) {
        let planners = self.shared.store_cache.planners();
        let others = links.keys().filter(|id| planners.contains(id));
        let watching = planners.contains(self.own_id())
            && (planners.includes_everyone()
                || rendezvous::is_among_top(WATCHERS, "store", self.own_id(), others));
        self.shared.store_cache.set_store_watch(watching);
    }

    /// Encodes the state with these grants and sections and, if `marked`, with what is known of the store.
    async fn encode_state(&self, grants: GrantContent, marked: bool, sections: &Sections) -> Option<Bytes> {
        let complete = grants == GrantContent::All;
        let all_reports = grants != GrantContent::Changes;
        let grants_sent = grants;
        let grants = match grants {
            GrantContent::None => None,
            _ => self.shared.dispatcher.ask(TakeUpdate { complete }).await.ok()?,
        };
        let store_cache = &self.shared.store_cache;
        let instance = &self.shared.settings.instance;
        let state = State {
            id: instance.name.clone(),
            zone: instance.zone.clone(),
            life: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            sent: self.shared.clock.now(),
            grants,
            marks: if marked { store_cache.digests() } else { Vec::new() },
            rules_age: store_cache.rules_age(),
            leaving: self.is_leaving().await,
            quarantine: if marked { self.shared.quarantine_reports(all_reports) } else { Vec::new() },
        };
        let extension = Extension { cut_off: self.shared.is_cut_off() };
        let mut sections = sections.clone();
        // Changes go to all planners, a snapshot may go to a single one.
        if grants_sent == GrantContent::Changes {
            let turns = self.shared.dispatcher.ask(TakeTurns).await.ok()?;
            if !turns.is_empty() {
                sections.set(Tag::Turns, &turns);
            }
        }
        match encode(&state, &extension, &sections) {
            Ok(bytes) => Some(bytes),
            Err(e) => {
                warn!("state for the peers can't be encoded and is not sent: {e}");
                None
            }
        }
    }

    /// Whether this instance shuts down and holds no grants any more, neither of its own requests nor for its peers.
    async fn is_leaving(&self) -> bool {
        self.shared.is_draining()
            && self.shared.is_idle()
            && self.shared.dispatcher.ask(CountGrants).await.unwrap_or_default() == 0
    }

    /// Sends a peer what is known of the store and, between planners, all grants.
    async fn send_state(&self, peer: &InstanceId, connection: &Connection) {
        let planners = self.shared.store_cache.planners();
        let is_between_planners = planners.contains(self.own_id()) && planners.contains(peer);
        let grants = if is_between_planners { GrantContent::All } else { GrantContent::None };
        if let Some(message) = self.encode_state(grants, true, &Sections::default()).await {
            send(connection, self.echo(connection), &message);
        }
    }

    /// Time at which the peer on a connection sent its last received state.
    fn echo(&self, connection: &Connection) -> Option<Time> {
        let links = self.lock();
        links.values().find(|p| p.connection.stable_id() == connection.stable_id()).map(|p| p.sent)
    }

    /// Connections to planners or to the other instances, each with the time at which its peer sent its last received
    /// state.
    fn connections(&self, audience: Audience) -> Vec<(Connection, Time)> {
        let planners = self.shared.store_cache.planners();
        let links = self.lock();
        let chosen = links.iter().filter(|(id, _)| planners.contains(id) == (audience == Audience::Planners));
        chosen.map(|(_, p)| (p.connection.clone(), p.sent)).collect()
    }

    async fn broadcast(&self, audience: Audience, grants: GrantContent, marked: bool) {
        let connections = self.connections(audience);
        if connections.is_empty() && grants == GrantContent::None {
            return;
        }
        // Changes are taken even if nobody is linked, so that they don't accumulate.
        let mut sections = Sections::default();
        if grants == GrantContent::All {
            let reports = self.shared.dispatcher.ask(TakeCapacities).await.unwrap_or_default();
            if !reports.is_empty() {
                sections.set(Tag::Capacities, &reports);
            }
        }
        let Some(message) = self.encode_state(grants, marked, &sections).await else { return };
        counter!("chestnutstage_states_sent_total").increment(connections.len() as u64);
        counter!("chestnutstage_state_bytes_total").increment((connections.len() * message.len()) as u64);
        for (connection, echo) in &connections {
            send(connection, Some(*echo), &message);
        }
    }

    /// Sends the state at intervals and, as a planner, shortly after each grant; never returns.
    pub(crate) async fn gossip(self: Arc<Self>, granted: Arc<Notify>) {
        let mut next_entries = Instant::now();
        let mut next_interval = Instant::now();
        let mut intervals = 0_u32;
        loop {
            let now = Instant::now();
            if !self.shared.store_cache.is_planner() {
                self.broadcast(Audience::Planners, GrantContent::None, true).await;
                sleep(ENTRY_INTERVAL).await;
                continue;
            }
            let factor = self.linked_planners().len().div_ceil(FULL_RATE_PEERS_MAX).max(1) as u32;
            let due = now >= next_interval;
            if due {
                next_interval = now + GOSSIP_INTERVAL * factor;
                intervals = intervals.wrapping_add(1);
            }
            let complete = due && intervals.is_multiple_of(INTERVALS_PER_SNAPSHOT);
            let grants = if complete { GrantContent::All } else { GrantContent::Changes };
            self.broadcast(Audience::Planners, grants, due).await;
            if now >= next_entries {
                next_entries = now + ENTRY_INTERVAL;
                self.broadcast(Audience::Entries, GrantContent::None, true).await;
            }
            tokio::select! {
                () = sleep_until(next_interval) => {}
                () = granted.notified() => sleep(GRANT_DELAY * factor).await,
            }
        }
    }

    /// Sends a last state to all peers, which marks an idle instance as leaving, and closes the links.
    pub(crate) async fn leave(&self) {
        let is_planner = self.shared.store_cache.is_planner();
        let grants = if is_planner { GrantContent::All } else { GrantContent::None };
        self.broadcast(Audience::Planners, grants, true).await;
        self.endpoint.close(0_u32.into(), b"leaving");
    }
}
