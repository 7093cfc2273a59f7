//! Placement requests between an instance and the planner that it asks, and the wait for a place.

use std::pin::pin;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::Refusal;
use kameo::error::SendError;
use metrics::counter;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout_at};

use crate::admission_queue::{Applicant, Application, Apply};
use crate::conversation::{Conversation, PeerRequest};
use crate::offers::{Granted, Offer, Place};
use crate::peers::Peers;
use crate::placer::hold;
use crate::sections::{Sections, Tag};
use crate::shared::Shared;

/// Fraction of the target time within which a planner has to answer.
const ANSWER_TARGET_SHARE: f64 = 0.1;
/// Shortest time within which a planner has to answer; several round trips between zones.
const ANSWER_TIMEOUT_MIN: Duration = Duration::from_millis(30);
/// Longest time within which a planner has to answer.
pub(crate) const ANSWER_TIMEOUT_MAX: Duration = Duration::from_millis(120);
/// Interval at which a planner repeats that a request waits.
const QUEUED_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a message after which the planner of a waiting request counts as lost; more than two intervals.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(250);

/// Answer to a placement request. The first two variants are encoded as those of a [`Result`], which older builds send and
/// expect.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    Granted(Box<Granted>),
    Refused(Refusal),
    /// The request waits; sent only to an instance that named the applicant.
    Queued {
        expected_ms: u32,
    },
}

/// Why this instance granted nothing.
#[derive(Debug, Error)]
pub(crate) enum NotGranted {
    #[error("{0}")]
    Refused(Refusal),
    #[error("{0}")]
    Failed(String),
}

impl<M> From<SendError<M, Refusal>> for NotGranted {
    fn from(error: SendError<M, Refusal>) -> Self {
        match error {
            SendError::HandlerError(refusal) => Self::Refused(refusal),
            e => Self::Failed(e.to_string()),
        }
    }
}

impl Place {
    /// Time within which a planner has to answer.
    pub(crate) fn answer_timeout(&self) -> Duration {
        self.first.mul_f64(ANSWER_TARGET_SHARE).clamp(ANSWER_TIMEOUT_MIN, ANSWER_TIMEOUT_MAX)
    }

    /// Takes time that has passed off the times that remain.
    pub(crate) fn pass_time(&mut self, applicant: &mut Applicant, span: Duration) {
        applicant.elapsed += span.min(self.first);
        applicant.spent += span;
        self.first = self.first.saturating_sub(span);
        self.remaining = self.remaining.saturating_sub(span);
    }
}

impl Shared {
    /// Places a request for an applicant, and waits for a place if there is none yet. Also returns whether it waited.
    pub(crate) async fn apply(
        &self,
        request: Apply,
        queued: Option<&UnboundedSender<u32>>,
    ) -> Result<(Offer, bool), NotGranted> {
        let mut wait = match self.dispatcher.ask(request).await? {
            Application::Offered(offer) => return Ok((*offer, false)),
            Application::Queued(wait) => wait,
        };
        let started = Instant::now();
        loop {
            tokio::select! {
                biased;
                outcome = &mut wait.outcome => {
                    let outcome = outcome.map_err(|_| NotGranted::Failed("the dispatcher has stopped".into()))?;
                    return outcome.map(|offer| (*offer, true)).map_err(NotGranted::Refused);
                }
                () = async {
                    let expected = wait.expected.saturating_sub(started.elapsed());
                    if let Some(queued) = queued {
                        // The receiver is gone only if this future is dropped too.
                        _ = queued.send(expected.as_millis() as u32);
                    }
                    sleep(QUEUED_INTERVAL).await;
                } => {}
            }
        }
    }
}

/// Asks a planner for a placement, and waits for it as long as the planner says that the request waits there and its
/// target has not passed.
pub(crate) async fn ask_placement(
    peers: &Peers,
    planner: &InstanceId,
    place: &Place,
    applicant: Option<&Applicant>,
) -> Result<Result<(Granted, Conversation), Refusal>, String> {
    let started = Instant::now();
    let connection = peers.connection(planner).ok_or("the link is lost")?;
    let request = PeerRequest::Place(place.clone());
    let mut sections = Sections::default();
    if let Some(applicant) = applicant {
        sections.set(Tag::Applicant, applicant);
    }
    let mut limit = started + place.answer_timeout();
    let timed_out = |_| "no answer in time".to_owned();
    let opening = Conversation::open_with(Some(planner.clone()), &connection, &request, &sections);
    let mut conversation = timeout_at(limit, opening).await.map_err(timed_out)??;
    loop {
        let answer = timeout_at(limit, conversation.receive_response()).await.map_err(timed_out)??;
        match answer {
            Answer::Granted(granted) => return Ok(Ok((*granted, conversation))),
            Answer::Refused(refusal) => return Ok(Err(refusal)),
            Answer::Queued { .. } => limit = (started + place.first).min(Instant::now() + QUEUED_TIMEOUT),
        }
    }
}

impl Peers {
    /// Places the request of a peer, and holds the grant until its stream ends.
    pub(crate) async fn serve_placement(
        &self,
        mut conversation: Conversation,
        place: Place,
        applicant: Option<Applicant>,
    ) -> Result<(), String> {
        let (queued, mut expected) = unbounded_channel();
        let granted = {
            let mut granting = pin!(self.shared.grant(place, applicant, Some(&queued)));
            loop {
                tokio::select! {
                    biased;
                    granted = &mut granting => break granted,
                    Some(expected_ms) = expected.recv() => {
                        conversation.send(&Answer::Queued { expected_ms }).await?;
                    }
                    () = conversation.ended() => return Ok(()),
                }
            }
        };
        let (answer, held) = match granted {
            Ok((granted, held)) => (Answer::Granted(Box::new(granted)), Some(held)),
            Err(NotGranted::Refused(refusal)) => (Answer::Refused(refusal), None),
            Err(e) => return Err(e.to_string()),
        };
        counter!("chestnutstage_placed_for_peers_total").increment(1);
        let sent = conversation.send(&answer).await;
        let Some(held) = held else { return sent };
        sent?;
        hold(conversation, &held).await;
        Ok(())
    }
}
