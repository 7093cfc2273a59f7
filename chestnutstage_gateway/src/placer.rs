//! Placement of requests: by this instance if it is a planner, otherwise by a planner that it asks.
//!
//! A request asks the planners in an order of its instance's own, those of its zone first. One that does not answer in
//! time is bypassed. If none answers, the request is placed here, on what little is known. The stream of a placement stays
//! open while the request runs; its end tells the planner that the grant has ended. If the planner is lost, another one
//! adopts the grant.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::{Cause, Grant, Key, Placement, Refusal};
use chestnutstage_core::time::Time;
use log::{debug, info, warn};
use metrics::counter;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::admission_queue::{Applicant, Apply, Confirm};
use crate::conversation::{Conversation, FirstEventArrived, PeerRequest};
use crate::dispatcher::{Adopt, Failed, FindEndpoint, IsUnresponsive, ListLimited, Withdraw};
use crate::fault::Fault;
use crate::held_grant::HeldGrant;
use crate::offers::{ClaimDenied, ClaimSlot, Granted, Offer, Place};
use crate::peers::Peers;
use crate::placement_request::{self, NotGranted, ask_placement};
use crate::response::DEFAULT_RETRY_DELAY;
use crate::sections::Tag;
use crate::shared::Shared;

/// Fraction of the time for an answer in which permits for limited endpoints are asked for.
const PERMIT_TIME_SHARE: f64 = 0.7;
/// Denied permits after which limited endpoints are left out of a placement.
const PERMIT_DENIALS_MAX: u32 = 2;
/// Claims of engines' last slots that are made for one placement; with more, the search would take as long as a slot takes
/// to become free.
const CLAIMS_MAX: u32 = 4;
/// Longest wait for a home planner's answer; a placement that waited longer could miss its target.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(25);
/// Planners that are asked before a request is placed without them.
const PLANNERS_ASKED_MAX: usize = 3;
/// Time for which a planner that did not answer is asked after the others.
const BYPASS_TIME: Duration = Duration::from_secs(1);
/// Time for which a planner keeps the grant of an instance whose link was lost: its request may go on.
const ORPHAN_TTL: Duration = Duration::from_secs(3);
/// Interval at which a planner is looked for to adopt a grant.
const ADOPT_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps a grant until dropped.
pub(crate) enum GrantGuard {
    /// A grant of this instance.
    Local(HeldGrant),
    /// A grant of a planner; the task that keeps its stream open gets the first event, and ends with this sender.
    Remote(UnboundedSender<FirstEventArrived>),
}

impl GrantGuard {
    /// Records that the first event of the response, or the response of a plain service, has arrived.
    pub(crate) fn record_first_event(&self) {
        let recorded = match self {
            Self::Local(held) => held.record_first_event(),
            Self::Remote(events) => events.send(FirstEventArrived).is_ok(),
        };
        if !recorded {
            warn!("keeper of the grant has stopped; first event not recorded");
        }
    }
}

/// A placement with its grant.
pub(crate) struct Placed {
    pub(crate) placement: Placement,
    pub(crate) grant: GrantGuard,
    /// The planner that made it; `None` if it was made here.
    pub(crate) planner: Option<InstanceId>,
    /// Whether it has permits for limited endpoints.
    pub(crate) permitted: bool,
}

impl Shared {
    pub(crate) fn peers(&self) -> Option<Arc<Peers>> {
        self.peers.get()?.upgrade()
    }

    /// Planners in the order in which this instance asks them; none if it is a planner itself.
    pub(crate) fn planners_to_ask(&self) -> Vec<InstanceId> {
        if self.store_cache.is_planner() {
            return Vec::new();
        }
        self.peers().map(|peers| peers.planners_to_ask()).unwrap_or_default()
    }

    /// Places a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if no placement serves the request in time.
    pub(crate) async fn place(
        self: &Arc<Self>,
        mut place: Place,
        mut applicant: Option<Applicant>,
    ) -> Result<Placed, Refusal> {
        let peers = self.peers().filter(|_| !self.store_cache.is_planner());
        let Some(peers) = peers else {
            return self.place_here(place, applicant).await.map(|(placed, _)| placed);
        };
        for planner in peers.planners_to_ask().into_iter().take(PLANNERS_ASKED_MAX) {
            let asked = Instant::now();
            match ask_placement(&peers, &planner, &place, applicant.as_ref()).await {
                Ok(Ok((granted, conversation))) => {
                    return Ok(keep_remote(&peers, planner, granted, conversation));
                }
                Ok(Err(refusal)) => return Err(refusal),
                Err(e) => debug!(planner:%; "placement request failed: {e}"),
            }
            if let Some(applicant) = &mut applicant {
                place.pass_time(applicant, asked.elapsed());
            }
            counter!("chestnutstage_planners_bypassed_total").increment(1);
            peers.bypass(&planner, BYPASS_TIME);
        }
        counter!("chestnutstage_placed_alone_total").increment(1);
        info!("no planner answers; the request is placed without one");
        let (Placed { placement, grant: own, permitted, .. }, grant) = self.place_here(place, None).await?;
        let (events, received) = unbounded_channel();
        tokio::spawn(keep_grant(peers, grant, Keeper::Own(own), received));
        Ok(Placed { placement, grant: GrantGuard::Remote(events), planner: None, permitted })
    }

    async fn place_here(
        self: &Arc<Self>,
        place: Place,
        applicant: Option<Applicant>,
    ) -> Result<(Placed, Grant), Refusal> {
        match self.grant(place, applicant, None).await {
            Ok((Granted { placement, grant, limits, .. }, held)) => {
                let permitted = !limits.is_empty();
                let guard = GrantGuard::Local(held);
                Ok((Placed { placement, grant: guard, planner: None, permitted }, grant))
            }
            Err(NotGranted::Refused(refusal)) => Err(refusal),
            Err(e) => {
                warn!("dispatcher can't place a request; refusing it: {e}");
                Err(Refusal { cause: Cause::NoEndpoint, retry: DEFAULT_RETRY_DELAY })
            }
        }
    }

    /// Places a request by the pool of this instance, with permits for limited endpoints. After some denials limited endpoints
    /// are left out. While the request waits, the expected wait is sent to `queued`.
    pub(crate) async fn grant(
        self: &Arc<Self>,
        mut place: Place,
        applicant: Option<Applicant>,
        queued: Option<&UnboundedSender<u32>>,
    ) -> Result<(Granted, HeldGrant), NotGranted> {
        let span = place.answer_timeout().mul_f64(PERMIT_TIME_SHARE);
        let mut until = Instant::now() + span;
        let mut denials = 0;
        let mut claims = 0;
        let mut entry = None;
        loop {
            let offer = match &applicant {
                None => self.dispatcher.ask(place.clone()).await?,
                Some(applicant) => {
                    let (place, applicant) = (place.clone(), applicant.clone());
                    let (offer, waited) = self.apply(Apply { place, applicant, entry }, queued).await?;
                    if waited {
                        until = Instant::now() + span;
                    }
                    offer
                }
            };
            let Offer { granted, held, claim, entry: unsettled } = offer;
            entry = unsettled;
            if let Some((key, home)) = claim.filter(|_| claims < CLAIMS_MAX || entry.is_some())
                && !self.claim_slot(key, home, until).await
            {
                claims += 1;
                continue;
            }
            if self.obtain_permits(&granted.limits, until).await {
                if let Some(entry) = entry
                    && self.dispatcher.tell(Confirm(entry)).await.is_err()
                {
                    warn!("dispatcher has stopped; placement not counted");
                }
                return Ok((granted, held));
            }
            denials += 1;
            if denials >= PERMIT_DENIALS_MAX || Instant::now() >= until {
                place.tried.extend(self.dispatcher.ask(ListLimited).await.unwrap_or_default());
            }
        }
    }

    /// Asks the home planner of an engine for one of its last slots. One that does not answer, or is of a build that
    /// does not know the question, agrees.
    async fn claim_slot(&self, key: Key, home: InstanceId, until: Instant) -> bool {
        let Some(connection) = self.peers().and_then(|peers| peers.connection(&home)) else { return true };
        let request = PeerRequest::Claim(key, self.settings.instance.name.clone());
        let asking =
            async { Conversation::open(None, &connection, &request).await?.receive_response().await };
        let until = until.min(Instant::now() + CLAIM_TIMEOUT);
        let answer: Result<Result<bool, String>, _> = timeout_at(until, asking).await;
        let outcome = match &answer {
            Ok(Ok(true)) => "agreed",
            Ok(Ok(false)) => "denied",
            Ok(Err(_)) | Err(_) => "unanswered",
        };
        counter!("chestnutstage_claims_total", "outcome" => outcome).increment(1);
        let agreed = !matches!(answer, Ok(Ok(false)));
        if !agreed && self.dispatcher.ask(ClaimDenied(key)).await.is_err() {
            warn!("dispatcher has stopped; denial of a slot not recorded");
        }
        agreed
    }

    /// Records a failure of an endpoint here and, unless this instance is one, to a planner.
    pub(crate) async fn record_failure(&self, key: Key, fault: Fault) {
        counter!("chestnutstage_endpoint_faults_total", "fault" => fault.to_string()).increment(1);
        match self.dispatcher.ask(Failed(key)).await {
            Ok(pause) => {
                info!(endpoint:% = key, fault:%, pause_ms = pause; "endpoint failed; no new requests during its backoff");
            }
            Err(e) => warn!("dispatcher can't record the failure of endpoint {key}: {e}"),
        }
        self.report_to_planner(PeerRequest::Failed(key));
    }

    /// Sends a report to a planner, unless this instance is one.
    pub(crate) fn report_to_planner(&self, report: PeerRequest) {
        if self.store_cache.is_planner() {
            return;
        }
        let Some(peers) = self.peers() else { return };
        tokio::spawn(async move {
            if let Err(e) = peers.ask_first::<()>(&report).await {
                info!(report:?; "report not sent to a planner: {e}");
            }
        });
    }

    /// Reports a failure of the endpoint at an address; returns whether there is one.
    pub(crate) async fn report_failure_at(&self, address: std::net::SocketAddr) -> bool {
        let Ok(Some(key)) = self.dispatcher.ask(FindEndpoint(address)).await else { return false };
        self.record_failure(key, Fault::Refusal).await;
        true
    }

    /// Whether an engine accepted a request long ago and has been unresponsive since.
    pub(crate) async fn is_unresponsive(&self, key: Key) -> bool {
        if self.store_cache.is_planner() {
            return self.dispatcher.ask(IsUnresponsive(key)).await.unwrap_or_default();
        }
        let Some(peers) = self.peers() else { return false };
        let answer = timeout(
            placement_request::ANSWER_TIMEOUT_MAX,
            peers.ask_first(&PeerRequest::IsUnresponsive(key)),
        )
        .await;
        matches!(answer, Ok(Ok(true)))
    }
}

/// Starts the task that keeps the stream of a planner's grant open.
fn keep_remote(
    peers: &Arc<Peers>,
    planner: InstanceId,
    granted: Granted,
    conversation: Conversation,
) -> Placed {
    let Granted { placement, grant, now, limits } = granted;
    let grant = grant.translate(peers.shared.clock.now(), now);
    let (events, received) = unbounded_channel();
    tokio::spawn(keep_grant(peers.clone(), grant, Keeper::Planner(Box::new(conversation)), received));
    let permitted = !limits.is_empty();
    Placed { placement, grant: GrantGuard::Remote(events), planner: Some(planner), permitted }
}

/// Who knows of a grant.
enum Keeper {
    /// A planner, until the stream ends.
    Planner(Box<Conversation>),
    /// This instance alone.
    Own(GrantGuard),
    /// Nobody.
    Lost,
}

impl Keeper {
    async fn record_first_event(&mut self, event: &FirstEventArrived) {
        match self {
            Self::Planner(stream) => {
                if let Err(e) = stream.send(event).await {
                    debug!("first event not reported to the planner: {e}");
                }
            }
            Self::Own(guard) => guard.record_first_event(),
            Self::Lost => {}
        }
    }

    /// Waits until the grant has to be handed to another planner.
    async fn until_adoption(&mut self) {
        match self {
            Self::Planner(stream) => {
                stream.ended().await;
                info!(planner:? = stream.peer; "planner lost; another one adopts its grant");
                *self = Self::Lost;
            }
            Self::Own(_) | Self::Lost => sleep(ADOPT_INTERVAL).await,
        }
    }
}

/// Keeps a grant until `events` is closed. While no planner knows of it, one is asked to adopt it.
async fn keep_grant(
    peers: Arc<Peers>,
    mut grant: Grant,
    mut keeper: Keeper,
    mut events: UnboundedReceiver<FirstEventArrived>,
) {
    loop {
        tokio::select! {
            event = events.recv() => {
                let Some(event) = event else { return };
                grant.first = Some(peers.shared.clock.now());
                keeper.record_first_event(&event).await;
            }
            () = keeper.until_adoption() => {
                let sent = peers.shared.clock.now();
                match peers.open_first(&PeerRequest::Adopt { grant: grant.clone(), sent }).await {
                    Ok(adopted) => keeper = Keeper::Planner(Box::new(adopted)),
                    Err(e) => debug!("grant not adopted by a planner: {e}"),
                }
            }
        }
    }
}

impl Peers {
    /// Linked planners in the order in which they are asked; those that did not answer lately come last.
    fn planners_to_ask(&self) -> Vec<InstanceId> {
        let linked = self.linked();
        let instance = &self.shared.settings.instance;
        let planners = self.shared.store_cache.planners();
        let mut order: Vec<InstanceId> =
            planners.ask_order(&instance.name, &instance.zone, &linked).into_iter().cloned().collect();
        let now = Instant::now();
        let bypassed = self.lock_bypassed();
        order.sort_by_key(|planner| bypassed.get(planner).is_some_and(|until| now < *until));
        order
    }

    /// Asks a planner after the others for the time `span`.
    fn bypass(&self, planner: &InstanceId, span: Duration) {
        let until = Instant::now() + span;
        if self.lock_bypassed().insert(planner.clone(), until).is_none_or(|before| before < Instant::now()) {
            info!(planner:%; "planner does not answer; asking the next one");
        }
    }

    /// Opens a stream with a request to the first planner in the order.
    async fn open_first(&self, request: &PeerRequest) -> Result<Conversation, String> {
        let planner = self.planners_to_ask().into_iter().next().ok_or("no planner is linked")?;
        let connection = self.connection(&planner).ok_or("the link is lost")?;
        Conversation::open(Some(planner), &connection, request).await
    }

    /// Asks the first planner in the order.
    async fn ask_first<T: serde::de::DeserializeOwned>(&self, request: &PeerRequest) -> Result<T, String> {
        self.open_first(request).await?.receive_response().await
    }

    /// Serves a stream that a peer opened.
    pub(crate) async fn serve(self: Arc<Self>, mut conversation: Conversation) {
        let received = conversation.receive_request().await;
        let served = match received {
            Ok((PeerRequest::Topic(topic), _)) => self.send_topic(&mut conversation, topic).await,
            Ok((PeerRequest::Place(place), sections)) => {
                self.serve_placement(conversation, place, sections.get(Tag::Applicant)).await
            }
            Ok((PeerRequest::Adopt { grant, sent }, _)) => {
                self.serve_adoption(conversation, grant, sent).await
            }
            Ok((PeerRequest::IsUnresponsive(key), _)) => {
                let answer = self.shared.dispatcher.ask(IsUnresponsive(key)).await.unwrap_or_default();
                conversation.send(&answer).await
            }
            Ok((PeerRequest::Withdrawn(key, span), _)) => {
                if self.shared.dispatcher.ask(Withdraw(key, span)).await.is_err() {
                    warn!("dispatcher has stopped; withdrawal of an endpoint not recorded");
                }
                conversation.send(&()).await
            }
            Ok((PeerRequest::Limit(key, rate), _)) => {
                self.shared.record_told_limit(key, rate).await;
                conversation.send(&()).await
            }
            Ok((PeerRequest::Permit(limit), _)) => {
                let permit = self.shared.serve_permit(limit).await;
                conversation.send(&permit).await
            }
            Ok((PeerRequest::Claim(key, planner), _)) => {
                let agreed = self.shared.dispatcher.ask(ClaimSlot { key, planner }).await.unwrap_or(true);
                conversation.send(&agreed).await
            }
            Ok((PeerRequest::Tunnel(key), _)) => self.serve_tunnel(conversation, key).await,
            Ok((PeerRequest::CallEngine(key, call), _)) => {
                self.serve_engine_call(conversation, key, call).await
            }
            Ok((PeerRequest::Failed(key), _)) => {
                if self.shared.dispatcher.ask(Failed(key)).await.is_err() {
                    warn!("dispatcher has stopped; failure of an endpoint not recorded");
                }
                conversation.send(&()).await
            }
            Err(e) => Err(e),
        };
        if let Err(e) = served {
            debug!("request of a peer not served: {e}");
        }
    }

    async fn serve_adoption(
        &self,
        conversation: Conversation,
        grant: Grant,
        sent: Time,
    ) -> Result<(), String> {
        let grant = grant.translate(self.shared.clock.now(), sent);
        let number = self.shared.dispatcher.ask(Adopt(grant)).await.map_err(|e| e.to_string())?;
        let held = HeldGrant { dispatcher: self.shared.dispatcher.clone(), number };
        hold(conversation, &held).await;
        Ok(())
    }
}

/// Holds a grant for a peer until its stream ends.
pub(crate) async fn hold(mut conversation: Conversation, held: &HeldGrant) {
    loop {
        match conversation.receive::<FirstEventArrived>().await {
            Ok(Some(_)) => {
                if !held.record_first_event() {
                    warn!("dispatcher has stopped; first event not recorded");
                }
            }
            Ok(None) => return,
            Err(e) => {
                debug!("link of a grant lost: {e}");
                sleep(ORPHAN_TTL).await;
                return;
            }
        }
    }
}
