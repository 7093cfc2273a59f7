//! Failover from an endpoint that sends nothing.
//!
//! A silent endpoint may be busy, or go on after a while. Its connection is kept while the request is sent to another endpoint as
//! well; the first success serves the request, and a failure of one of the two does not end the other. Streams that have begun
//! fail over in the same way, see [`crate::stream`].

use std::time::Duration;

use chestnutstage_core::catalog::Repeat;
use chestnutstage_core::pool::{Key, Placement};
use chestnutstage_core::quarantine::Evidence;
use futures::FutureExt;
use futures::future::{BoxFuture, pending};
use http::Response;
use hyper::body::Incoming;
use log::info;
use tokio::time::{Instant, timeout_at};

use crate::attempt::{Attempt, STALL_TIMEOUT_MIN};
use crate::channel::{Channel, SendFailure};
use crate::exchange::Exchange;
use crate::fault::Fault;
use crate::liveness::{LivenessProbe, Reachability};
use crate::placer::GrantGuard;
use crate::reservations::Reservations;

/// Timeout for the response head before a request is sent to another endpoint, as a multiple of the target or of the
/// expected time, whichever is longer.
const HEAD_TIMEOUT_FACTOR: f64 = 2.0;
/// Slack added to the timeout for the response head of idempotent requests; covers the retransmission of a lost packet.
const RETRANSMISSION_SLACK: Duration = Duration::from_millis(80);
/// Interval at which failover is considered again for a request that keeps waiting.
const FAILOVER_RECHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Attempts to find another endpoint while one is silent; each may take a retry from the budget.
pub(crate) const FAILOVERS_MAX: u32 = 2;

/// Connection on which a request was sent, and the head of the response.
pub(crate) type Sent = (Channel, Result<Response<Incoming>, SendFailure>);

/// A request that is being sent to an endpoint, or waits for the head of its response.
pub(crate) struct PendingSend {
    pub(crate) sending: BoxFuture<'static, Sent>,
    pub(crate) placement: Placement,
    pub(crate) grant: GrantGuard,
    pub(crate) reservations: Option<Reservations>,
    pub(crate) idle_share: usize,
    pub(crate) probe: LivenessProbe,
    /// Whether the silence was reported as a failure.
    pub(crate) reported: bool,
    pub(crate) sent: Instant,
}

/// What ended a wait for the head of a response.
enum HeadWait {
    /// The endpoint responded, or the connection failed.
    Ended(Sent),
    /// The endpoint is silent; another one may be tried.
    Late,
    /// The endpoint has not been reachable for long.
    Unreachable,
    /// The deadline has passed.
    Expired,
}

/// Outcome of a race between a silent endpoint and another one.
enum Race {
    /// The silent endpoint responded first.
    First(Sent),
    /// The other endpoint responded first.
    Other(Attempt),
    /// The silent endpoint is lost, and the other one did not take over.
    Lost,
    /// The other endpoint did not take over.
    None,
}

/// How the wait for a silent endpoint ended during a race.
enum FirstEnd {
    /// It sent a response that is no success, or the connection failed.
    Sent(Sent),
    /// It has not been reachable for long.
    Lost,
}

impl PendingSend {
    /// Closes the connection and releases the reserved memory.
    fn abandon(&mut self) {
        self.sending = pending().boxed();
        self.reservations = None;
    }
}

impl Exchange {
    /// Waits for the head of the response. While the endpoint is silent, others are tried; its connection is kept until one of
    /// them responds.
    pub(crate) async fn await_head(&mut self, mut pending: PendingSend) -> Attempt {
        let mut head_deadline = self.head_deadline(&pending);
        let mut failovers = 0;
        loop {
            let outcome = tokio::select! {
                biased;
                sent = timeout_at(head_deadline, &mut pending.sending) => match sent {
                    Ok(sent) => HeadWait::Ended(sent),
                    Err(_) if Instant::now() >= self.deadline => HeadWait::Expired,
                    Err(_) => HeadWait::Late,
                },
                reachability = pending.probe.watch(), if self.probes_engine() => match reachability {
                    Reachability::Suspect => HeadWait::Late,
                    Reachability::Lost => HeadWait::Unreachable,
                },
            };
            match outcome {
                HeadWait::Ended(sent) => return self.accept_head(pending, sent).await,
                HeadWait::Expired => return self.give_up(&pending, "did not respond in time"),
                HeadWait::Unreachable => return self.give_up(&pending, "does not answer load probes"),
                HeadWait::Late => {
                    head_deadline = self.deadline.min(Instant::now() + FAILOVER_RECHECK_INTERVAL);
                    if failovers < FAILOVERS_MAX
                        && self.should_fail_over(pending.placement.key, pending.probe.is_suspect()).await
                    {
                        failovers += 1;
                        match self.race_another(&mut pending).await {
                            Race::First(sent) => return self.accept_head(pending, sent).await,
                            Race::Other(attempt) => return attempt,
                            Race::Lost => return self.give_up(&pending, "does not answer load probes"),
                            Race::None => {}
                        }
                    }
                }
            }
        }
    }

    /// Sends the request to another endpoint as well, and waits for the first success. A failure of one of the two does not end
    /// the other.
    async fn race_another(&mut self, pending: &mut PendingSend) -> Race {
        if !self.may_repeat() {
            return Race::None;
        }
        if !std::mem::replace(&mut pending.reported, true) {
            self.shared.report_failure(pending.placement.key, Fault::Silence);
        }
        info!(
            request = self.id, endpoint:% = pending.placement.listing.id;
            "endpoint is silent; trying another one beside it"
        );
        let sends = self.sends;
        let probed = self.probes_engine();
        let (first, attempt) = {
            let mut first = None;
            let mut attempt = Box::pin(self.attempt());
            loop {
                tokio::select! {
                    biased;
                    sent = &mut pending.sending, if first.is_none() => {
                        if is_success(&sent) {
                            return Race::First(sent);
                        }
                        first = Some(FirstEnd::Sent(sent));
                    }
                    reachability = pending.probe.watch(), if probed && first.is_none() => {
                        if reachability == Reachability::Lost {
                            pending.abandon();
                            first = Some(FirstEnd::Lost);
                        }
                    }
                    attempt = &mut attempt => break (first, attempt),
                }
            }
        };
        if self.sends == sends {
            self.shared.return_retry();
        }
        match (first, attempt) {
            (Some(end), Attempt::Responded(other)) => {
                match end {
                    FirstEnd::Sent((_, Err(SendFailure::NotSent(_)))) => {
                        self.sends -= 1;
                        self.possible_runs -= 1;
                    }
                    FirstEnd::Sent((_, Err(SendFailure::Unknown(_)))) => {
                        let Placement { key, listing, .. } = &pending.placement;
                        self.record_broken(*key, listing.address, Evidence::Waiting);
                    }
                    FirstEnd::Sent((_, Ok(_))) | FirstEnd::Lost => {}
                }
                Race::Other(Attempt::Responded(other))
            }
            (Some(FirstEnd::Sent(sent)), _) => Race::First(sent),
            (Some(FirstEnd::Lost), _) => Race::Lost,
            (None, Attempt::Responded(other)) if !other.head.status.is_server_error() => {
                Race::Other(Attempt::Responded(other))
            }
            (None, Attempt::Responded(other)) => {
                self.keep_fallback(other).await;
                Race::None
            }
            (None, other) => {
                info!(
                    request = self.id, cause = other.to_string();
                    "no other endpoint took over; waiting for the first"
                );
                Race::None
            }
        }
    }

    /// Ends the wait for an endpoint that may have run the request.
    fn give_up(&self, pending: &PendingSend, cause: &str) -> Attempt {
        if !pending.reported {
            self.shared.report_failure(pending.placement.key, Fault::Silence);
        }
        Attempt::Unknown(format!("{} {cause}", pending.placement.listing.id))
    }

    /// Whether to fail over instead of waiting longer: a retry is available and, unless the request is idempotent, the endpoint
    /// is unresponsive rather than merely busy.
    async fn should_fail_over(&self, key: Key, suspect: bool) -> bool {
        if !self.can_repeat(self.possible_runs) || !self.shared.has_retry() {
            return false;
        }
        self.route.repeat == Repeat::Idempotent || suspect || self.shared.is_unresponsive(key).await
    }

    /// When to consider failover if the response head has not arrived. A prompt that several engines read waits until its
    /// deadline, as its prefill may send nothing for longer than forecast.
    fn head_deadline(&self, pending: &PendingSend) -> Instant {
        let PendingSend { placement, sent, .. } = pending;
        let base = self.route.target.first.max(placement.expected).mul_f64(HEAD_TIMEOUT_FACTOR);
        let wait = match self.route.repeat {
            Repeat::Idempotent => base + RETRANSMISSION_SLACK,
            Repeat::Resumable if placement.helpers.is_empty() => base.max(STALL_TIMEOUT_MIN),
            _ => return self.deadline,
        };
        if !self.can_repeat(self.possible_runs) {
            return self.deadline;
        }
        self.deadline.min(*sent + wait)
    }
}

/// Whether an endpoint responded with a success.
fn is_success((_, result): &Sent) -> bool {
    result.as_ref().is_ok_and(|response| response.status().is_success())
}
