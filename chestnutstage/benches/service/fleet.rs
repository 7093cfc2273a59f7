//! A fleet of real instances on virtual time, and the load on it.

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

use crate::engines::{EnginePark, ZoneEngines};
use crate::platform::MemoryPlatform;

/// Size and distances of a deployment.
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
const TOKEN: &str = "token-of-north";
const LOCAL_DELAY: Duration = Duration::from_micros(200);

type Handlers = Arc<Mutex<HashMap<InstanceId, (ZoneId, Arc<Handler>)>>>;

/// Links between instances on virtual time.
struct VirtualLink {
    me: InstanceId,
    zone: ZoneId,
    delay: Duration,
    handlers: Handlers,
}

impl VirtualLink {
    async fn reach(&self, peer: &Target) -> Result<(Duration, Arc<Handler>), LinkError> {
        let known = self.handlers.lock().unwrap_or_else(PoisonError::into_inner).get(&peer.id).cloned();
        let lost = || LinkError { step: Step::Connect, peer: peer.id.clone(), reason: "unreachable".into() };
        let (zone, handler) = known.ok_or_else(lost)?;
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
            let (words_in, mut said) = mpsc::unbounded_channel();
            let (heard, words) = mpsc::unbounded_channel();
            let (tell, mut told) = mpsc::unbounded_channel();
            handler.handle_grant(ask, remaining, words_in);
            tokio::spawn(async move {
                while let Some(word) = said.recv().await {
                    sleep(delay).await;
                    if heard.send(word).is_err() {
                        return;
                    }
                }
            });
            tokio::spawn(async move {
                while let Some(word) = told.recv().await {
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
    pub(crate) park: Arc<EnginePark>,
    instances: Vec<InstanceCore>,
    salt: std::sync::atomic::AtomicU64,
}

/// How one completion went.
#[derive(Debug, Clone)]
pub(crate) struct Served {
    pub(crate) prompt: usize,
    pub(crate) first: Option<Duration>,
    pub(crate) gaps: Vec<Duration>,
    pub(crate) took: Duration,
    /// Code of the failure, if there was one.
    pub(crate) failure: Option<String>,
    asked: Instant,
    last: Instant,
}

impl Served {
    pub(crate) fn new(prompt: usize, asked: Instant) -> Self {
        let failure = Some("cut".into());
        Self { prompt, first: None, gaps: Vec::new(), took: Duration::ZERO, failure, asked, last: asked }
    }

    /// Takes in a token that came now.
    pub(crate) fn token(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.asked);
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
        operators: BTreeMap::from([("north".into(), TOKEN.into())]),
        listing: FakeListing::default(),
    };
    let listed = FakeListed { id, peer: peer(i), zone: ZONES[i % 3].into(), leaving: false };
    let text = world.settings(&listed);
    chestnutstage_config::load::parse(&text, Path::new("bench")).expect("the bench's settings are valid")
}

impl Fleet {
    /// Starts a fleet with `customers` customers under `defaults`-like first changes.
    pub(crate) async fn start(deployment: &Deployment, changes: Vec<Change>, seed: u64) -> Self {
        let platform = Arc::new(MemoryPlatform::default());
        let listing = listing(deployment);
        let park = EnginePark::new(&listing.endpoints);
        platform.list(listing);
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
                park: park.clone(),
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
        let fleet = Self { routers, park, instances, salt: 0.into() };
        for change in changes {
            fleet.change(&change).await;
        }
        // Members find each other, and owners take over their endpoints.
        sleep(Duration::from_secs(8)).await;
        fleet
    }

    /// Makes an operator's change.
    pub(crate) async fn change(&self, change: &Change) {
        for _ in 0..50 {
            let base = self.get("operator/config").await["version"].as_u64().unwrap_or(0);
            let body = json!({"base": base, "reason": "the bench asks for this change", "change": change});
            let request = HttpRequest::post("/operator/change")
                .header("authorization", format!("Bearer {TOKEN}"))
                .header("content-type", "application/json")
                .body(Body::from(body.to_string()))
                .expect("a valid request");
            let response = self.routers[0].clone().oneshot(request).await.expect("infallible");
            if response.status().is_success() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("the change was not taken");
    }

    async fn get(&self, path: &str) -> Value {
        let request = HttpRequest::get(format!("/{path}"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Body::empty())
            .expect("a valid request");
        let response = self.routers[0].clone().oneshot(request).await.expect("infallible");
        let body = axum::body::to_bytes(response.into_body(), usize::MAX).await.unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Asks instance `i` for a completion and reads it to its end.
    pub(crate) async fn complete(
        &self,
        i: usize,
        key: &str,
        filler: &str,
        prompt: usize,
        output: u64,
    ) -> Served {
        // Every prompt starts differently, as the callers' do.
        let salt = self.salt.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let text = format!("{salt:016x}{}", &filler[..prompt * 4 - 16]);
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
        let asked = Instant::now();
        let response = self.routers[i].clone().oneshot(request).await.expect("infallible");
        let ok = response.status().is_success();
        let mut stream = response.into_body().into_data_stream();
        let mut served = Served::new(prompt, asked);
        while let Some(Ok(part)) = stream.next().await {
            let text = String::from_utf8_lossy(&part);
            if text.contains("\"error\"") || !ok {
                let code = text.split("\"code\":\"").nth(1).and_then(|t| t.split('"').next());
                served.failure = Some(code.unwrap_or("unknown").to_owned());
                break;
            }
            if text.contains("[DONE]") {
                served.failure = None;
                break;
            }
            served.token();
        }
        served.took = asked.elapsed();
        served
    }

    /// Ends all instances.
    pub(crate) fn stop(self) {
        for instance in &self.instances {
            instance.kill();
        }
    }
}
