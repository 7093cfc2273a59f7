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
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause between the probes of a suspect engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Consecutive failed probes after which an engine is suspect; one report may be lost in transit.
const SUSPECT_FAILURES: u32 = 2;
/// Time for which all probes have to fail before an engine counts as lost.
const LOST_TIME: Duration = Duration::from_secs(3);

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
    failing_since: Instant,
}

impl LivenessProbe {
    pub(crate) fn new(engines: &Arc<dyn Engines>, address: SocketAddr) -> Self {
        let now = Instant::now();
        Self {
            engines: engines.clone(),
            address,
            next_probe: now + PROBE_DELAY,
            running: None,
            failures: 0,
            failing_since: now,
        }
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
            if self.failures == 0 {
                self.failing_since = asked;
            }
            self.failures += 1;
            self.next_probe =
                Instant::now() + if self.is_suspect() { PROBE_INTERVAL } else { Duration::ZERO };
            if self.failing_since.elapsed() >= LOST_TIME {
                return Reachability::Lost;
            }
            if self.failures == SUSPECT_FAILURES {
                return Reachability::Suspect;
            }
        }
    }
}
