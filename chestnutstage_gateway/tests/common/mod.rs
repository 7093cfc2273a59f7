//! Test doubles of the external systems, and a gateway that uses them.

#![allow(dead_code, reason = "each test file uses a part of the module")]

pub mod backend;
#[path = "../../../chestnutstage_core/tests/common/costs.rs"]
mod costs;
pub mod external;
pub mod fleet;
pub mod path;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::catalog::{
    Account, CallerLimits, Catalog, ColdRate, Repeat, Route, ServiceSpec, Share, Target,
};
use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::Listing;
use chestnutstage_gateway::external::{Fact, Registry, Topic};
use chestnutstage_gateway::settings::{
    Admission, Bounds, InstanceSettings, Listen, PlacementSettings, Settings, Store,
};
use chestnutstage_gateway::{Adapters, Gateway};
use reqwest::{Client, Method, RequestBuilder, StatusCode};

use self::costs::COSTS;
use self::external::{FakeEngines, FakeStore, TestHeaderFormat};

pub const KEY: &str = "key-of-town";
pub const OTHER_KEY: &str = "key-of-village";
pub const HOST: &str = "routes.example";

/// A gateway with its test doubles and an HTTP client.
pub struct Harness {
    pub name: InstanceId,
    pub gateway: Gateway,
    pub store: Arc<FakeStore>,
    pub engines: Arc<FakeEngines>,
    pub http: Client,
}

pub fn route(name: &str, repeat: Repeat, service: &str) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/"),
        repeat,
        timeout: Duration::from_secs(5),
        target: Target { first: Duration::from_millis(300), gap: Duration::from_millis(250) },
        rank: 1,
        shares: vec![Share { service: service.into(), weight: 1 }],
        attempts: 2,
        anonymous: false,
    }
}

pub fn catalog(version: u64) -> Catalog {
    let desk = ServiceSpec { connections: 100, cold: ColdRate::default(), engine: None };
    let llm = ServiceSpec { engine: Some(COSTS), ..desk.clone() };
    let routes = vec![
        route("look", Repeat::Idempotent, "desk"),
        route("book", Repeat::Once, "desk"),
        route("chat", Repeat::Resumable, "llm"),
        route("tape", Repeat::Stream, "llm"),
        Route {
            timeout: Duration::from_mins(1),
            target: Target { first: Duration::from_secs(30), gap: Duration::from_secs(10) },
            ..route("archive", Repeat::Resumable, "llm")
        },
    ];
    Catalog {
        version,
        routes,
        services: BTreeMap::from([("desk".into(), desk), ("llm".into(), llm)]),
        customers: vec![
            Account { id: "town".into(), keys: vec![KEY.into()], rank: None },
            Account { id: "village".into(), keys: vec![OTHER_KEY.into()], rank: None },
        ],
        limits: CallerLimits {
            headers: 8_192,
            body: 4_096,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
    }
}

pub fn listing(id: &str, service: &str, address: SocketAddr) -> Listing {
    Listing {
        id: id.into(),
        address,
        zone: "a".into(),
        service: service.into(),
        slots: 16,
        leaving: false,
        born: 1,
        cold: 0,
    }
}

pub fn settings(name: &str) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        instance: InstanceSettings {
            name: name.into(),
            zone: "a".into(),
            ip: Ipv4Addr::LOCALHOST,
            cores: 1.0,
            first_start: false,
        },
        listen: Listen { callers: any, checks: any, peers: 0, metrics: None },
        store: Store { address: any },
        bounds: Bounds::default(),
        placement: PlacementSettings::default(),
        admission: Admission::default(),
    }
}

impl Harness {
    /// Starts a gateway whose store holds a catalog and these endpoints, and waits until it is ready.
    pub async fn start(endpoints: Vec<Listing>) -> Self {
        let store = Arc::new(FakeStore::default());
        store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
        store.publish(Topic::Endpoints, endpoints.into_iter().map(Fact::Listed).collect());
        let harness = Self::with_store("i1", store).await;
        harness.until_ready().await;
        harness
    }

    pub async fn with_store(name: &str, store: Arc<FakeStore>) -> Self {
        Self::with_settings(settings(name), store).await
    }

    pub async fn with_settings(settings: Settings, store: Arc<FakeStore>) -> Self {
        Self::with_registry(settings, store.clone(), store).await
    }

    /// Starts a gateway that sees the store through `registry`.
    pub async fn with_registry(
        settings: Settings,
        store: Arc<FakeStore>,
        registry: Arc<dyn Registry>,
    ) -> Self {
        let name = settings.instance.name.clone();
        let engines = Arc::new(FakeEngines::default());
        let adapters =
            Adapters { registry, header_format: Arc::new(TestHeaderFormat::new()), engines: engines.clone() };
        let gateway = Gateway::start(settings, adapters).await.unwrap();
        let http = Client::builder().no_proxy().http1_only().build().unwrap();
        Self { name, gateway, store, engines, http }
    }

    pub async fn ready(&self) -> bool {
        let url = format!("http://{}/any", self.gateway.listen_addresses().checks);
        self.http.get(url).send().await.unwrap().status() == StatusCode::OK
    }

    pub async fn until_ready(&self) {
        while !self.ready().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// A request with the customer's key and an attempt id.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.bare_request(method, path).header("x-key", KEY)
    }

    pub fn bare_request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.gateway.listen_addresses().callers);
        let request = self.http.request(method, url).header("host", HOST);
        request.header("x-attempt", "attempt-1")
    }

    pub async fn status(&self, method: Method, path: &str) -> StatusCode {
        self.request(method, path).send().await.unwrap().status()
    }
}
