//! Control API of the engines, over this instance's own paths or through a peer.
//!
//! Reports, reservations and their renewals must go on when the path to an engine is lost, so that neither its liveness nor
//! reserved memory depends on where the request was accepted.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use chestnutstage_core::pool::Key;
use futures::FutureExt;
use futures::future::BoxFuture;
use quinn::Connection;
use serde::{Deserialize, Serialize};

use crate::conversation::{Conversation, PeerRequest};
use crate::dispatcher::{FindAddress, FindEndpoint};
use crate::external::{Engines, ExternalError, Failure, LoadReport, Operation};
use crate::paths::{RELAYS_ASKED_MAX, STAGGER, first_success};
use crate::peers::Peers;
use crate::shared::Shared;

/// A call of an engine's control API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum EngineCall {
    Report,
    Reserve { name: String, tokens: u64, hold: Duration },
    Release { name: String },
}

/// What an engine answered.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum EngineAnswer {
    Report(LoadReport),
    Reserved(bool),
    Released,
}

impl EngineCall {
    const fn operation(&self) -> Operation {
        match self {
            Self::Report => Operation::Report,
            Self::Reserve { .. } => Operation::Reserve,
            Self::Release { .. } => Operation::Release,
        }
    }

    /// Makes the call over this instance's own path.
    async fn make(&self, engines: &dyn Engines, address: SocketAddr) -> Result<EngineAnswer, Failure> {
        let answer = match self {
            Self::Report => engines.report(address).await.map(EngineAnswer::Report),
            Self::Reserve { name, tokens, hold } => {
                engines.reserve(address, name, *tokens, *hold).await.map(EngineAnswer::Reserved)
            }
            Self::Release { name } => engines.release(address, name).await.map(|()| EngineAnswer::Released),
        };
        answer.map_err(|e| e.failure)
    }
}

/// Control API of the engines for the parts of an instance.
#[derive(Debug)]
pub(crate) struct EngineAccess {
    shared: Weak<Shared>,
}

/// Failure of one way to an engine.
enum WayFailure {
    /// What the engine or its silence says.
    Engine(Failure),
    /// The peer could not be asked.
    Peer,
}

impl EngineAccess {
    pub(crate) const fn new(shared: Weak<Shared>) -> Self {
        Self { shared }
    }

    async fn call(&self, address: SocketAddr, call: EngineCall) -> Result<EngineAnswer, ExternalError> {
        let operation = call.operation();
        let failed = |failure| ExternalError { operation, peer: address.to_string(), failure };
        let Some(shared) = self.shared.upgrade() else {
            return Err(failed(Failure::NoAnswer("this instance has ended".into())));
        };
        shared.call_engine(address, call).await.map_err(failed)
    }
}

impl Shared {
    async fn call_engine(
        self: &Arc<Self>,
        address: SocketAddr,
        call: EngineCall,
    ) -> Result<EngineAnswer, Failure> {
        let key = self.dispatcher.ask(FindEndpoint(address)).await.ok().flatten();
        let direct = {
            let (shared, call) = (self.clone(), call.clone());
            async move { call.make(&*shared.direct_engines, address).await.map_err(WayFailure::Engine) }
                .boxed()
        };
        let relays = self.relays();
        let Some(key) = key else { return direct.await.map_err(|failure| combine(vec![failure])) };
        let mut ways: Vec<_> = relays
            .into_iter()
            .take(RELAYS_ASKED_MAX)
            .map(|connection| call_relayed(connection, key, call.clone()).boxed())
            .collect();
        let lost = self.is_lost(key);
        ways.insert(if lost { ways.len() } else { 0 }, direct);
        let (way, answer) = match first_success(ways, STAGGER).await {
            Ok(answer) => answer,
            Err(failures) => return Err(combine(failures)),
        };
        if way > 0 && !lost {
            self.suspect_path(key);
        }
        Ok(answer)
    }
}

/// What the failures of several ways say of the engine: it has not answered only if no way got an answer.
fn combine(failures: Vec<WayFailure>) -> Failure {
    let mut unanswered = String::new();
    for failure in failures {
        match failure {
            WayFailure::Engine(Failure::NoAnswer(cause)) => unanswered = cause,
            WayFailure::Engine(failure) => return failure,
            WayFailure::Peer => {}
        }
    }
    Failure::NoAnswer(unanswered)
}

async fn call_relayed(
    connection: Connection,
    key: Key,
    call: EngineCall,
) -> Result<EngineAnswer, WayFailure> {
    let request = PeerRequest::CallEngine(key, call);
    let asking = async { Conversation::open(None, &connection, &request).await?.receive_response().await };
    let answer: Result<Result<EngineAnswer, Option<Failure>>, String> = asking.await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(Some(failure))) => Err(WayFailure::Engine(failure)),
        Ok(Err(None)) | Err(_) => Err(WayFailure::Peer),
    }
}

impl Peers {
    /// Serves a peer's call of an engine's control API; the answer is `None` if this instance can't make calls.
    pub(crate) async fn serve_engine_call(
        &self,
        mut conversation: Conversation,
        key: Key,
        call: EngineCall,
    ) -> Result<(), String> {
        let shared = &self.shared;
        let address = shared.dispatcher.ask(FindAddress { key, open: false }).await.ok().flatten();
        let answer = match address.filter(|_| !shared.is_cut_off()) {
            Some(address) => call.make(&*shared.direct_engines, address).await.map_err(Some),
            None => Err(None),
        };
        conversation.send(&answer).await
    }
}

impl Engines for EngineAccess {
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ExternalError>> {
        async move {
            match self.call(address, EngineCall::Report).await? {
                EngineAnswer::Report(report) => Ok(report),
                other => Err(unexpected(Operation::Report, address, &other)),
            }
        }
        .boxed()
    }

    fn reserve<'a>(
        &'a self,
        address: SocketAddr,
        name: &'a str,
        tokens: u64,
        hold: Duration,
    ) -> BoxFuture<'a, Result<bool, ExternalError>> {
        async move {
            match self.call(address, EngineCall::Reserve { name: name.to_owned(), tokens, hold }).await? {
                EngineAnswer::Reserved(reserved) => Ok(reserved),
                other => Err(unexpected(Operation::Reserve, address, &other)),
            }
        }
        .boxed()
    }

    fn release<'a>(&'a self, address: SocketAddr, name: &'a str) -> BoxFuture<'a, Result<(), ExternalError>> {
        async move { self.call(address, EngineCall::Release { name: name.to_owned() }).await.map(|_| ()) }
            .boxed()
    }
}

fn unexpected(operation: Operation, address: SocketAddr, answer: &EngineAnswer) -> ExternalError {
    let failure = Failure::Unreadable(format!("a peer sent {answer:?}"));
    ExternalError { operation, peer: address.to_string(), failure }
}
