//! Liveness of an engine that sends no data.
//!
//! An engine in a long prefill sends nothing for seconds, but reports its load when asked. One that reports nothing either may
//! be sound all the same and go on after a while. It is suspect first, which is a reason to try another engine beside it, and
//! counts as lost only after a time that is longer than such a silence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::{Instant, sleep_until, timeout};

use crate::external::Engines;

/// Time without data after which an engine is probed with a request for a load report.
const PROBE_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a probe: several round trips between zones.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between the starts of two probes of a suspect engine.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(650);
/// Consecutive failed probes after which an engine is suspect; one report may be lost in transit.
const SUSPECT_FAILURES: u32 = 2;
/// Consecutive failed probes after which an engine counts as lost.
const LOST_FAILURES: u32 = 4;

/// What the probes of an engine say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It does not answer probes, but may go on.
    Suspect,
    /// It has not answered probes for so long that it is not waited for.
    Lost,
}

/// Probes one engine while a request waits for it.
pub(crate) struct LivenessProbe {
    engines: Arc<dyn Engines>,
    address: SocketAddr,
    next_probe: Instant,
    /// Probe in progress with the time of its start; its output is whether a report came.
    running: Option<(Instant, BoxFuture<'static, bool>)>,
    failures: u32,
}

impl LivenessProbe {
    pub(crate) fn new(engines: &Arc<dyn Engines>, address: SocketAddr) -> Self {
        let next_probe = Instant::now() + PROBE_DELAY;
        Self { engines: engines.clone(), address, next_probe, running: None, failures: 0 }
    }

    /// Records that the engine has sent data.
    pub(crate) fn record_data(&mut self) {
        self.next_probe = Instant::now() + PROBE_DELAY;
        self.running = None;
        self.failures = 0;
    }

    pub(crate) const fn is_suspect(&self) -> bool {
        self.failures >= SUSPECT_FAILURES
    }

    /// Probes the engine until it becomes suspect or counts as lost. A call goes on where a dropped one has stopped.
    pub(crate) async fn watch(&mut self) -> Reachability {
        loop {
            sleep_until(self.next_probe).await;
            let (asked, probe) = self.running.get_or_insert_with(|| {
                let (engines, address) = (self.engines.clone(), self.address);
                let report = async move { engines.report(address).await.is_ok() };
                let probe = timeout(PROBE_TIMEOUT, report).map(|reported| reported.unwrap_or(false));
                (Instant::now(), probe.boxed())
            });
            let (asked, reported) = (*asked, probe.await);
            self.running = None;
            if reported {
                self.record_data();
                continue;
            }
            self.failures += 1;
            // The pause is the same for a probe that fails at once.
            self.next_probe = asked + if self.is_suspect() { SUSPECT_INTERVAL } else { PROBE_TIMEOUT };
            if self.failures >= LOST_FAILURES {
                return Reachability::Lost;
            }
            if self.failures == SUSPECT_FAILURES {
                return Reachability::Suspect;
            }
        }
    }
}
