//! A grant of this instance's pool that ends when it is dropped.

use kameo::actor::ActorRef;
use log::warn;

use crate::dispatcher::{Dispatcher, Ended, FirstEvent};

/// Keeps a grant of this instance's pool until dropped.
#[derive(Debug)]
pub(crate) struct HeldGrant {
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    pub(crate) number: u64,
}

impl HeldGrant {
    /// Records the first event of the response; returns whether that was possible.
    pub(crate) fn record_first_event(&self) -> bool {
        self.dispatcher.tell(FirstEvent(self.number)).try_send().is_ok()
    }
}

impl Drop for HeldGrant {
    fn drop(&mut self) {
        if self.dispatcher.tell(Ended(self.number)).try_send().is_err() {
            warn!(grant = self.number; "dispatcher has stopped; the grant stays until the process exits");
        }
    }
}
