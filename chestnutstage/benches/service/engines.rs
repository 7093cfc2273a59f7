//! In-memory engines: the model of the fake engine, run in virtual time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutstage::engine::{
    CompletionRequest, EndpointError, EnginePiece, EngineStream, Engines, KvReservation, OrderOutcome,
    ServiceCall, Services, Step,
};
use chestnutstage_core::endpoint::{Endpoint, Report};
use chestnutstage_core::idempotency::Answer;
use chestnutstage_core::ids::{BootId, RequestId, ZoneId};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::outcome::SendState;
use chestnutstage_core::stream::Piece;
use chestnutstage_fakes::engine::{Engine, Job, StepOutput};
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

type PieceSender = mpsc::UnboundedSender<Result<EnginePiece, EndpointError>>;

/// A simulated engine and its open streams.
pub(crate) struct VirtualEngine {
    inner: Mutex<(Engine, HashMap<RequestId, PieceSender>)>,
    memory: Mutex<BTreeMap<String, KvReservation>>,
    submission: Notify,
    zone: ZoneId,
    /// Requests submitted so far.
    submitted: Mutex<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VirtualEngine {
    fn new(endpoint: Endpoint) -> Self {
        let zone = endpoint.zone.clone();
        Self {
            inner: Mutex::new((Engine::new(endpoint, BootId(1), false), HashMap::new())),
            memory: Mutex::default(),
            submission: Notify::new(),
            zone,
            submitted: Mutex::default(),
        }
    }

    pub(crate) fn zone(&self) -> &ZoneId {
        &self.zone
    }

    pub(crate) fn submitted(&self) -> u64 {
        *lock(&self.submitted)
    }

    pub(crate) fn excess(&self) -> u64 {
        lock(&self.inner).0.excess
    }

    pub(crate) fn turn_cold(&self) {
        lock(&self.inner).0.turn_cold();
    }

    pub(crate) fn reservations(&self) -> usize {
        lock(&self.memory).len()
    }

    pub(crate) fn submit(&self, job: Job) -> mpsc::UnboundedReceiver<Result<EnginePiece, EndpointError>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut inner = lock(&self.inner);
        inner.1.insert(job.id, sender);
        inner.0.submit(job);
        *lock(&self.submitted) += 1;
        self.submission.notify_one();
        receiver
    }

    fn cancel(&self, id: RequestId) {
        let mut inner = lock(&self.inner);
        inner.0.cancel(id);
        inner.1.remove(&id);
    }

    async fn run(self: Arc<Self>) {
        loop {
            let step = {
                let (engine, streams) = &mut *lock(&self.inner);
                let closed: Vec<_> =
                    streams.iter().filter(|(_, s)| s.is_closed()).map(|(id, _)| *id).collect();
                for id in closed {
                    engine.cancel(id);
                    streams.remove(&id);
                }
                if engine.is_idle() { None } else { Some(engine.step()) }
            };
            let Some((duration, made)) = step else {
                self.submission.notified().await;
                continue;
            };
            sleep(duration).await;
            self.deliver(made);
        }
    }

    fn deliver(&self, made: Vec<StepOutput>) {
        let (engine, streams) = &mut *lock(&self.inner);
        for StepOutput::Token { id, offset, cached, last } in made {
            let Some(stream) = streams.get(&id) else { continue };
            let chunk = json!({
                "choices": [{"index": 0, "delta": {"content": "t"}, "finish_reason": last.then_some("stop")}],
            });
            let piece = Piece { request: id, boot: engine.boot(), offset, text: String::new(), last };
            let _ = stream.send(Ok(EnginePiece { piece, cached: Some(cached), chunk }));
            if last {
                streams.remove(&id);
            }
        }
    }
}

/// All engines of a deployment, by address.
#[derive(Default)]
pub(crate) struct EnginePool {
    engines: BTreeMap<String, Arc<VirtualEngine>>,
}

impl EnginePool {
    pub(crate) fn new(endpoints: &[Endpoint]) -> Arc<Self> {
        let engine = |e: &Endpoint| (e.address.clone(), Arc::new(VirtualEngine::new(e.clone())));
        let engines: BTreeMap<_, _> = endpoints.iter().map(engine).collect();
        for engine in engines.values() {
            tokio::spawn(engine.clone().run());
        }
        Arc::new(Self { engines })
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<VirtualEngine>> {
        self.engines.values()
    }
}

/// Access to the engines from one zone.
pub(crate) struct ZoneEngines {
    pub(crate) pool: Arc<EnginePool>,
    pub(crate) zone: ZoneId,
    pub(crate) delay: Duration,
    pub(crate) refused: Mutex<HashSet<String>>,
}

impl ZoneEngines {
    /// Returns the engine at `address` after the network delay to it.
    async fn reach(&self, address: &str) -> Result<Arc<VirtualEngine>, EndpointError> {
        let unreachable = || EndpointError {
            step: Step::Start,
            peer: address.to_owned(),
            reason: "unreachable".into(),
            sending: SendState::Before,
            missing: false,
        };
        if lock(&self.refused).contains(address) {
            return Err(unreachable());
        }
        let engine = self.pool.engines.get(address).cloned().ok_or_else(unreachable)?;
        sleep(self.delay_to(&engine)).await;
        Ok(engine)
    }

    fn delay_to(&self, engine: &VirtualEngine) -> Duration {
        if engine.zone == self.zone { Duration::from_micros(200) } else { self.delay }
    }
}

impl Engines for ZoneEngines {
    type Report = Report;

    fn start<'a>(
        &'a self,
        address: &'a str,
        start: CompletionRequest,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>> {
        async move {
            let engine = self.reach(address).await?;
            let body: Value = serde_json::from_slice(&start.body).unwrap_or_default();
            let bytes = body["messages"][0]["content"].as_str().map_or(0, str::len);
            let prompt = if start.chain.is_empty() {
                chestnutstage_core::length::estimate(bytes, 1)
            } else {
                Tokens(1)
            };
            let receiver = engine.submit(Job {
                id: start.request,
                priority: start.priority,
                prompt,
                output: Tokens(body["max_tokens"].as_u64().unwrap_or(16)),
                prefix: start.prefix,
            });
            let delay = self.delay_to(&engine);
            let pieces = futures::stream::unfold(receiver, move |mut receiver| async move {
                let piece = receiver.recv().await?;
                sleep(delay).await;
                Some((piece, receiver))
            });
            Ok(EngineStream { boot: lock(&engine.inner).0.boot(), pieces: pieces.boxed() })
        }
        .boxed()
    }

    fn resume<'a>(
        &'a self,
        address: &'a str,
        _: RequestId,
        _: u64,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>> {
        let missing = EndpointError {
            step: Step::Resume,
            peer: address.to_owned(),
            reason: "not kept".into(),
            sending: SendState::Started,
            missing: true,
        };
        async move { Err(missing) }.boxed()
    }

    fn cancel<'a>(
        &'a self,
        address: &'a str,
        request: RequestId,
    ) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            self.reach(address).await?.cancel(request);
            Ok(())
        }
        .boxed()
    }

    fn load<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Report, EndpointError>> {
        async move { Ok(lock(&self.reach(address).await?.inner).0.report()) }.boxed()
    }

    fn reservations<'a>(
        &'a self,
        address: &'a str,
    ) -> BoxFuture<'a, Result<BTreeMap<String, KvReservation>, EndpointError>> {
        async move { Ok(lock(&self.reach(address).await?.memory).clone()) }.boxed()
    }

    fn reserve<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        holding: KvReservation,
    ) -> BoxFuture<'a, Result<bool, EndpointError>> {
        async move {
            lock(&self.reach(address).await?.memory).insert(name.to_owned(), holding);
            Ok(true)
        }
        .boxed()
    }

    fn prefill<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        segment: chestnutstage::engine::PrefillRequest,
    ) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            let engine = self.reach(address).await?;
            let tokens = lock(&engine.memory).get(name).map(|h| h.tokens);
            let Some(tokens) = tokens else {
                return Err(EndpointError {
                    step: Step::Memory,
                    peer: address.to_owned(),
                    reason: "not reserved".into(),
                    sending: SendState::Started,
                    missing: true,
                });
            };
            // The segment runs as a long prompt of low priority, batched with the engine's other requests.
            let id = RequestId(segment.request.0);
            let job = Job { id, priority: 2, prompt: Tokens(tokens), output: Tokens(1), prefix: None };
            let mut done = engine.submit(job);
            done.recv().await;
            Ok(())
        }
        .boxed()
    }

    fn free<'a>(&'a self, address: &'a str, name: &'a str) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            lock(&self.reach(address).await?.memory).remove(name);
            Ok(())
        }
        .boxed()
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        _: u64,
        _: Value,
    ) -> BoxFuture<'a, Result<OrderOutcome, EndpointError>> {
        async move {
            self.reach(address).await?;
            Ok(OrderOutcome::Accepted)
        }
        .boxed()
    }
}

impl Services for ZoneEngines {
    type Answer = Answer;

    fn call<'a>(&'a self, _: &'a str, _: ServiceCall) -> BoxFuture<'a, Result<Answer, EndpointError>> {
        async move { Ok(Answer { status: 201, body: String::new() }) }.boxed()
    }
}
