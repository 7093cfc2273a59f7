//! A fleet of real instances in virtual time, and its client.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::Request as HttpRequest;
use chestnutstage::engine::{EngineSet, ServiceSet};
use chestnutstage::link::message::{EntryMessage, Reply, Request, Target};
use chestnutstage::link::{GrantStream, Handler, LinkError, PeerLink, Step};
use chestnutstage::store::{Listed, Listing};
use chestnutstage::{Adapters, InstanceCore};
use chestnutstage_config::fleet::Change;
use chestnutstage_config::settings::Settings;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::owner::{End, GrantRequest};
use chestnutstage_fakes::platform::{Listed as FakeListed, Listing as FakeListing};
use chestnutstage_fakes::world::{self, World};
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tower::ServiceExt;

use crate::engines::{EnginePool, ZoneEngines};
use crate::platform::MemoryPlatform;

/// Size and network delay of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// One-way delay between zones.
    pub(crate) delay: Duration,
}

pub(crate) const FROSTBANK: Deployment =
    Deployment { name: "frostbank", instances: 7, engines: 20, delay: Duration::from_millis(4) };
pub(crate) const HENNABOEK: Deployment =
    Deployment { name: "hennaboek", instances: 9, engines: 25, delay: Duration::from_millis(3) };

const ZONES: [&str; 3] = ["a", "b", "c"];
const OPERATOR_TOKEN: &str = "token-of-north";
const LOCAL_DELAY: Duration = Duration::from_micros(200);

type Handlers = Arc<Mutex<HashMap<InstanceId, (ZoneId, Arc<Handler>)>>>;

/// Link of one instance to its peers, in virtual time.
struct VirtualLink {
    me: InstanceId,
    zone: ZoneId,
    delay: Duration,
    handlers: Handlers,
}

impl VirtualLink {
    async fn reach(&self, peer: &Target) -> Result<(Duration, Arc<Handler>), LinkError> {
        let registered = self.handlers.lock().unwrap_or_else(PoisonError::into_inner).get(&peer.id).cloned();
        let unreachable =
            || LinkError { step: Step::Connect, peer: peer.id.clone(), reason: "unreachable".into() };
        let (zone, handler) = registered.ok_or_else(unreachable)?;
        let delay = if zone == self.zone { LOCAL_DELAY } else { self.delay };
        sleep(delay).await;
        Ok((delay, handler))
    }
}

impl PeerLink for VirtualLink {
    type Reply = Reply;

    fn call<'a>(
        &'a self,
        peer: &'a Target,
        request: Request,
        _: Duration,
    ) -> BoxFuture<'a, Result<Reply, LinkError>> {
        async move {
            let (delay, handler) = self.reach(peer).await?;
            let reply = handler.handle(&self.me, request).await;
            sleep(delay).await;
            Ok(reply)
        }
        .boxed()
    }

    fn request_grant<'a>(
        &'a self,
        peer: &'a Target,
        ask: GrantRequest,
        remaining: Duration,
    ) -> BoxFuture<'a, Result<GrantStream, LinkError>> {
        async move {
            let (delay, handler) = self.reach(peer).await?;
            let ticket = ask.ticket;
            let (owner_sender, mut owner_receiver) = mpsc::unbounded_channel();
            let (words_sender, words) = mpsc::unbounded_channel();
            let (tell, mut entry_receiver) = mpsc::unbounded_channel();
            handler.handle_grant(ask, remaining, owner_sender);
            tokio::spawn(async move {
                while let Some(word) = owner_receiver.recv().await {
                    sleep(delay).await;
                    if words_sender.send(word).is_err() {
                        return;
                    }
                }
            });
            tokio::spawn(async move {
                while let Some(word) = entry_receiver.recv().await {
                    sleep(delay).await;
                    handler.handle_entry(ticket, Some(word));
                }
                handler.handle_entry(ticket, Some(EntryMessage::Ended(End::Done)));
            });
            Ok(GrantStream { incoming: words, outgoing: tell })
        }
        .boxed()
    }
}

/// A running fleet.
pub(crate) struct Fleet {
    pub(crate) routers: Vec<Router>,
    pub(crate) pool: Arc<EnginePool>,
    instances: Vec<InstanceCore>,
    sequence: std::sync::atomic::AtomicU64,
}

/// Measurements of one completion.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub(crate) prompt: usize,
    pub(crate) first: Option<Duration>,
    pub(crate) gaps: Vec<Duration>,
    pub(crate) duration: Duration,
    /// Error code, if the completion failed.
    pub(crate) failure: Option<String>,
    started: Instant,
    last: Instant,
}

impl Completion {
    pub(crate) fn new(prompt: usize, started: Instant) -> Self {
        let failure = Some("cut".into());
        Self {
            prompt,
            first: None,
            gaps: Vec::new(),
            duration: Duration::ZERO,
            failure,
            started,
            last: started,
        }
    }

    /// Records a token that arrives now.
    pub(crate) fn record_token(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.started);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
    }
}

fn listing(deployment: &Deployment) -> Listing {
    let endpoint = |i: usize| world::engine(&format!("e{i}"), ZONES[i % 3], &format!("engine-{i}"));
    let instance = |i: usize| Listed {
        id: format!("i{i}").as_str().into(),
        peer: peer(i),
        zone: ZONES[i % 3].into(),
        leaving: false,
    };
    Listing {
        instances: (0..deployment.instances).map(instance).collect(),
        endpoints: (0..deployment.engines).map(endpoint).collect(),
    }
}

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + i as u16))
}

fn settings(i: usize) -> Settings {
    let id = format!("i{i}");
    let world = World {
        platform: "127.0.0.1:1".into(),
        callers: BTreeMap::from([(id.clone(), "http://127.0.0.1:2".into())]),
        customers: BTreeMap::new(),
        operators: BTreeMap::from([("north".into(), OPERATOR_TOKEN.into())]),
        listing: FakeListing::default(),
    };
    let listed = FakeListed { id, peer: peer(i), zone: ZONES[i % 3].into(), leaving: false };
    let text = world.settings(&listed);
    chestnutstage_config::load::parse(&text, Path::new("bench")).expect("the bench's settings are valid")
}

impl Fleet {
    /// Starts a fleet, applies `changes` and waits until it has settled.
    pub(crate) async fn start(deployment: &Deployment, changes: Vec<Change>, seed: u64) -> Self {
        let platform = Arc::new(MemoryPlatform::default());
        let listing = listing(deployment);
        let pool = EnginePool::new(&listing.endpoints);
        platform.set_listing(listing);
        let handlers = Handlers::default();
        let mut instances = Vec::new();
        for i in 0..deployment.instances {
            let settings = settings(i);
            let (me, zone) = (settings.instance.id.clone(), settings.instance.zone.clone());
            let link = VirtualLink {
                me: me.clone(),
                zone: zone.clone(),
                delay: deployment.delay,
                handlers: handlers.clone(),
            };
            let engines = Arc::new(ZoneEngines {
                pool: pool.clone(),
                zone: zone.clone(),
                delay: deployment.delay,
                refused: Mutex::default(),
            });
            let adapters = Adapters {
                tables: platform.clone(),
                objects: platform.clone(),
                instances: platform.clone(),
                engines: engines.clone() as Arc<EngineSet>,
                services: engines as Arc<ServiceSet>,
                links: Arc::new(link),
            };
            let instance = InstanceCore::new(settings, adapters, peer(i), seed + i as u64);
            let handler = instance.handler.clone();
            handlers.lock().unwrap_or_else(PoisonError::into_inner).insert(me, (zone, handler));
            instances.push(instance);
        }
        let routers = instances.iter().map(|i| i.router.clone()).collect();
        let fleet = Self { routers, pool, instances, sequence: 0.into() };
        for change in changes {
            fleet.change(&change).await;
        }
        // Members discover each other, and owners adopt their endpoints.
        sleep(Duration::from_secs(8)).await;
        fleet
    }

    /// Applies a change as an operator, and retries it until it is accepted.
    pub(crate) async fn change(&self, change: &Change) {
        for _ in 0..50 {
            let base = self.get("operator/config").await["version"].as_u64().unwrap_or(0);
            let body = json!({"base": base, "reason": "the bench asks for this change", "change": change});
            let request = HttpRequest::post("/operator/change")
                .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
                .header("content-type", "application/json")
                .body(Body::from(body.to_string()))
                .expect("a valid request");
            let response = self.routers[0].clone().oneshot(request).await.expect("infallible");
            if response.status().is_success() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("the change was not accepted after 50 attempts");
    }

    async fn get(&self, path: &str) -> Value {
        let request = HttpRequest::get(format!("/{path}"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Body::empty())
            .expect("a valid request");
        let response = self.routers[0].clone().oneshot(request).await.expect("infallible");
        let body = axum::body::to_bytes(response.into_body(), usize::MAX).await.unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Requests a completion from instance `i` and reads the stream to its end.
    pub(crate) async fn complete(
        &self,
        i: usize,
        key: &str,
        filler: &str,
        prompt: usize,
        output: u64,
    ) -> Completion {
        // Every prompt starts differently, as prompts of real callers do.
        let sequence = self.sequence.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let text = format!("{sequence:016x}{}", &filler[..prompt * 4 - 16]);
        let body = json!({
            "model": world::MODEL,
            "stream": true,
            "max_tokens": output,
            "messages": [{"role": "user", "content": text}],
        });
        let request = HttpRequest::post("/v1/chat/completions")
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .body(Body::from(body.to_string()))
            .expect("a valid request");
        let started = Instant::now();
        let response = self.routers[i].clone().oneshot(request).await.expect("infallible");
        let ok = response.status().is_success();
        let mut stream = response.into_body().into_data_stream();
        let mut completion = Completion::new(prompt, started);
        while let Some(Ok(chunk)) = stream.next().await {
            let text = String::from_utf8_lossy(&chunk);
            if text.contains("\"error\"") || !ok {
                let code = text.split("\"code\":\"").nth(1).and_then(|t| t.split('"').next());
                completion.failure = Some(code.unwrap_or("unknown").to_owned());
                break;
            }
            if text.contains("[DONE]") {
                completion.failure = None;
                break;
            }
            completion.record_token();
        }
        completion.duration = started.elapsed();
        completion
    }

    /// Stops all instances.
    pub(crate) fn stop(self) {
        for instance in &self.instances {
            instance.kill();
        }
    }
}
