//! A small deployment in the test process: real instances, fakes of everything else, ephemeral ports.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use chestnutstage::Instance;
use chestnutstage_config::fleet::Change;
use chestnutstage_config::settings::Settings;
use chestnutstage_fakes::endpoint::EngineFake;
use chestnutstage_fakes::platform::{Listed, Listing, PlatformFake};
use chestnutstage_fakes::service::ServiceFake;
use chestnutstage_fakes::world::{self, World};
use rcgen::{CertificateParams, IsCa, Issuer, KeyPair};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

/// Timeout of waits for a condition that must become true; passing never depends on how long it took.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Zones of the deployment.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// API key of the customer `c1`.
pub const KEY: &str = "key-of-c1";
/// Tokens of the operators `north` and `south`.
pub const NORTH: &str = "token-of-north";
pub const SOUTH: &str = "token-of-south";

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

pub struct Deployment {
    pub platform: PlatformFake,
    pub engines: Vec<EngineFake>,
    pub services: Vec<ServiceFake>,
    pub instances: Vec<Instance>,
    pub client: Client,
    listing: Listing,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until `condition` holds.
pub async fn wait_until<F: AsyncFnMut() -> bool>(what: &str, mut condition: F) {
    let wait = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(timeout(WAIT_TIMEOUT, wait).await.is_ok(), "timed out waiting until {what}");
}

impl Deployment {
    /// Starts instances, engines and one plain service, with a configuration in force, and waits until they are ready.
    pub async fn start(instances: usize, engines: usize) -> Self {
        let mut deployment = Self::start_unconfigured(instances, engines).await;
        deployment.configure().await;
        deployment.wait_until_ready().await;
        deployment
    }

    /// Starts instances, engines and one plain service, without a configuration.
    pub async fn start_unconfigured(instances: usize, engines: usize) -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("chestnutstage-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let platform = PlatformFake::spawn("127.0.0.1:0", Listing::default()).await.unwrap();
        let mut listing = Listing::default();
        let mut fakes = Vec::new();
        for i in 0..engines {
            let endpoint = world::engine(&format!("e{}", i + 1), ZONES[i % 3], "127.0.0.1:0");
            let fake = EngineFake::spawn(endpoint, false).await.unwrap();
            listing.endpoints.push(fake.listing());
            fakes.push(fake);
        }
        let service = ServiceFake::spawn("127.0.0.1:0").await.unwrap();
        listing.endpoints.push(world::service("s1", "a", &service.address().to_string()));
        let authority = Authority::new(&folder);
        let mut started = Vec::new();
        for i in 0..instances {
            let id = format!("i{}", i + 1);
            authority.sign(&folder, &id);
            let instance =
                Instance::start(settings(&folder, &id, ZONES[i % 3], &platform.url(), &Listing::default()))
                    .await
                    .unwrap();
            listing.instances.push(Listed {
                id,
                peer: instance.peer(),
                zone: ZONES[i % 3].into(),
                leaving: false,
            });
            started.push(instance);
        }
        platform.set_listing(listing.clone());
        let client = Client::builder().no_proxy().build().unwrap();
        Self {
            platform,
            engines: fakes,
            services: vec![service],
            instances: started,
            client,
            listing,
            folder,
        }
    }

    /// Starts another instance and adds it to the platform's listing.
    pub async fn join(&mut self, id: &str, zone: &str) {
        Authority::load(&self.folder).sign(&self.folder, id);
        let settings = settings(&self.folder, id, zone, &self.platform.url(), &self.listing);
        self.add_instance(id, zone, Instance::start(settings).await.unwrap());
    }

    /// Starts an instance with the certificates of another fleet, and adds it to the listing.
    pub async fn join_from(&mut self, folder: &Path, id: &str, zone: &str) {
        let settings = settings(folder, id, zone, &self.platform.url(), &self.listing);
        self.add_instance(id, zone, Instance::start(settings).await.unwrap());
    }

    /// Starts an instance with a certificate issued to another name, and adds it to the listing.
    pub async fn join_as(&mut self, id: &str, name: &str) {
        Authority::load(&self.folder).sign_as(&self.folder, id, name);
        let settings = settings(&self.folder, id, "a", &self.platform.url(), &self.listing);
        self.add_instance(id, "a", Instance::start(settings).await.unwrap());
    }

    fn add_instance(&mut self, id: &str, zone: &str, instance: Instance) {
        let listed = Listed { id: id.into(), peer: instance.peer(), zone: zone.into(), leaving: false };
        self.listing.instances.push(listed);
        self.platform.set_listing(self.listing.clone());
        self.instances.push(instance);
    }

    /// Starts an instance as a process of `program` and adds it to the listing; returns the process and its base URL.
    pub fn spawn(&mut self, program: &str, id: &str, zone: &str) -> (std::process::Child, String) {
        Authority::load(&self.folder).sign(&self.folder, id);
        let mut settings = settings(&self.folder, id, zone, &self.platform.url(), &self.listing);
        settings.instance.listen = unused_tcp_address();
        settings.instance.peer = unused_udp_address();
        let path = self.folder.join(format!("{id}.toml"));
        let text = std::fs::read_to_string(&path).unwrap();
        let text = text.replacen("127.0.0.1:0", &settings.instance.listen.to_string(), 1);
        let text = text.replacen("127.0.0.1:0", &settings.instance.peer.to_string(), 1);
        std::fs::write(&path, text).unwrap();
        let mut command = std::process::Command::new(program);
        let child = command.arg("--settings").arg(&path).env("CHESTNUTSTAGE_LOG", "off").spawn().unwrap();
        let peer = settings.instance.peer;
        self.listing.instances.push(Listed { id: id.into(), peer, zone: zone.into(), leaving: false });
        self.platform.set_listing(self.listing.clone());
        (child, format!("http://{}", settings.instance.listen))
    }

    /// Removes an instance from the platform's listing.
    pub fn unlist(&mut self, id: &str) {
        self.listing.instances.retain(|i| i.id != id);
        self.platform.set_listing(self.listing.clone());
    }

    /// Applies the initial configuration.
    pub async fn configure(&mut self) {
        let customers = BTreeMap::from([("c1", KEY), ("c2", "key-of-c2")].map(|(n, k)| (n.into(), k.into())));
        for (base, change) in world::first_changes(&customers, 10_000_000).into_iter().enumerate() {
            wait_until("the initial change is committed", async || {
                self.change(0, NORTH, base as u64, "first configuration of the test", &change).await.status()
                    == 200
            })
            .await;
        }
    }

    /// Waits until every instance accepts and places requests.
    pub async fn wait_until_ready(&self) {
        for i in 0..self.instances.len() {
            wait_until("every instance is ready", async || {
                let ready = self.client.get(self.url(i, "readyz")).send().await;
                ready.is_ok_and(|r| r.status() == 200) && self.sees_all_ready(i).await
            })
            .await;
        }
        if !self.engines.is_empty() {
            for i in 0..self.instances.len() {
                wait_until("a completion is served", async || {
                    self.complete(i, "warm up", 2).await.status() == 200
                })
                .await;
            }
        }
    }

    async fn sees_all_ready(&self, i: usize) -> bool {
        let status = self.query_operator(i, NORTH, "operator/status").await;
        let instances = status["instances"].as_array().map_or(0, Vec::len);
        instances >= self.instances.len()
            && status["instances"].as_array().unwrap().iter().all(|i| i["ready"] == true)
    }

    pub fn url(&self, i: usize, path: &str) -> String {
        format!("http://{}/{path}", self.instances[i].address())
    }

    /// Sends a completion request without streaming.
    pub async fn complete(&self, i: usize, prompt: &str, output: u64) -> Response {
        self.completion(i, prompt, output, false).send().await.unwrap()
    }

    /// Builds a completion request.
    pub fn completion(&self, i: usize, prompt: &str, output: u64, stream: bool) -> reqwest::RequestBuilder {
        let body = json!({
            "model": world::MODEL,
            "max_tokens": output,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        self.client.post(self.url(i, "v1/chat/completions")).bearer_auth(KEY).json(&body)
    }

    /// Sends a booking under an idempotency key.
    pub async fn book(&self, i: usize, key: &str, booking: &str) -> Response {
        self.booking(i, key, booking).send().await.unwrap()
    }

    /// Builds a booking request under an idempotency key.
    pub fn booking(&self, i: usize, key: &str, booking: &str) -> reqwest::RequestBuilder {
        let request = self.client.post(self.url(i, "v1/services/bookings/bookings"));
        request.bearer_auth(KEY).header("idempotency-key", key).json(&json!({"booking": booking}))
    }

    /// Sends an operator's change.
    pub async fn change(&self, i: usize, token: &str, base: u64, reason: &str, change: &Change) -> Response {
        let body = json!({"base": base, "reason": reason, "change": change});
        let request = self.client.post(self.url(i, "operator/change")).bearer_auth(token);
        request.json(&body).send().await.unwrap()
    }

    /// Queries the operator API.
    pub async fn query_operator(&self, i: usize, token: &str, path: &str) -> Value {
        let response = self.client.get(self.url(i, path)).bearer_auth(token).send().await.unwrap();
        response.json().await.unwrap_or_default()
    }

    /// Returns the configuration version in force on an instance.
    pub async fn version(&self, i: usize) -> u64 {
        self.query_operator(i, NORTH, "operator/config").await["version"].as_u64().unwrap_or(0)
    }

    /// Returns the index of the instance that owns an endpoint.
    pub async fn owner_of(&self, endpoint: &str) -> Option<usize> {
        for i in 0..self.instances.len() {
            let state = self.query_operator(i, NORTH, "debug/state").await;
            let owned = state["owner"]["endpoints"].as_array().cloned().unwrap_or_default();
            if owned.iter().any(|e| e["endpoint"]["id"] == endpoint) {
                return Some(i);
            }
        }
        None
    }
}

fn unused_tcp_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn unused_udp_address() -> std::net::SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Returns the error of a failed response.
pub async fn error(response: Response) -> Value {
    response.json::<Value>().await.unwrap()["error"].clone()
}

fn settings(folder: &Path, id: &str, zone: &str, platform: &str, seeds: &Listing) -> Settings {
    let operators = BTreeMap::from([("north", NORTH), ("south", SOUTH)].map(|(o, t)| (o.into(), t.into())));
    let world = World {
        platform: platform.trim_start_matches("http://").into(),
        callers: BTreeMap::from([(id.into(), "http://127.0.0.1:0".into())]),
        customers: BTreeMap::new(),
        operators,
        listing: seeds.clone(),
    };
    let peer = "127.0.0.1:0".parse().unwrap();
    let listed = Listed { id: id.into(), peer, zone: zone.into(), leaving: false };
    let path = folder.join(format!("{id}.toml"));
    let timing = "\n[timing]\nbalancer = \"300ms\"\nsilence = \"500ms\"\n";
    std::fs::write(&path, world.settings(&listed) + timing).unwrap();
    Settings::load(&path).unwrap()
}

/// Certificate authority of the fleet under test.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub fn new(folder: &Path) -> Self {
        let certs = folder.join("certs");
        std::fs::create_dir_all(&certs).unwrap();
        let pair = KeyPair::generate().unwrap();
        let certificate = Self::params().self_signed(&pair).unwrap();
        std::fs::write(certs.join("authority.pem"), certificate.pem()).unwrap();
        std::fs::write(certs.join("authority.key"), pair.serialize_pem()).unwrap();
        Self { issuer: Issuer::new(Self::params(), pair) }
    }

    pub fn load(folder: &Path) -> Self {
        let pem = std::fs::read_to_string(folder.join("certs/authority.key")).unwrap();
        Self { issuer: Issuer::new(Self::params(), KeyPair::from_pem(&pem).unwrap()) }
    }

    fn params() -> CertificateParams {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        params
    }

    pub fn sign(&self, folder: &Path, id: &str) {
        self.sign_as(folder, id, id);
    }

    /// Issues a certificate to `name`, and writes it to the files of `id`.
    pub fn sign_as(&self, folder: &Path, id: &str, name: &str) {
        let pair = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&pair, &self.issuer).unwrap();
        std::fs::write(folder.join(format!("certs/{id}.pem")), certificate.pem()).unwrap();
        std::fs::write(folder.join(format!("certs/{id}.key")), pair.serialize_pem()).unwrap();
    }
}
