//! A worker of a plain service, and requesters of it.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::case::Case;
use crate::http::{self, Answer, Message};
use crate::store::Store;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(10);

pub const HOST: &str = "yard.example";
pub const SERVICE: &str = "yard";
pub const KEY: &str = "key-of-town";

pub struct Worker {
    case: Arc<Case>,
    address: SocketAddr,
    zone: String,
    id: Mutex<String>,
    born: AtomicU64,
    /// Requests that ran: the time, the attempt, the path, and the id of the worker.
    runs: Mutex<Vec<(Duration, String, String, String)>>,
}

impl Worker {
    pub fn start(case: &Arc<Case>, name: &str, zone: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            case: case.clone(),
            address: listener.local_addr()?,
            zone: zone.into(),
            id: Mutex::new(name.into()),
            born: AtomicU64::new(1_700_000_000_000),
            runs: Mutex::default(),
        });
        let serving = worker.clone();
        http::serve(listener, move |request| serving.handle(request));
        Ok(worker)
    }

    pub fn id(&self) -> String {
        self.id.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts a new boot with a new id.
    pub fn reboot(&self, id: &str) {
        *self.id.lock().unwrap_or_else(PoisonError::into_inner) = id.into();
        self.born.fetch_add(1_000, Ordering::Relaxed);
    }

    /// Writes its entry.
    pub fn register(&self, store: &Store) {
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":1,\"Slots\":16,\"State\":\"ready\",\
             \"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{}}}",
            self.address,
            self.zone,
            self.born.load(Ordering::Relaxed)
        );
        store.put("servers", &self.id(), Some(&entry));
    }

    /// Requests that ran.
    pub fn runs(&self) -> Vec<(Duration, String, String, String)> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn handle(&self, request: &Message) -> Answer {
        let (id, attempt) = (self.id(), request.header("chestnutstage-attempt-id").to_owned());
        if !request.header("chestnutstage-expected-instance").is_empty()
            && request.header("chestnutstage-expected-instance") != id
        {
            return http::answer(421, &[("chestnutstage-attempt-id", &attempt)], "");
        }
        if attempt.is_empty() {
            return http::answer(400, &[("chestnutstage-not-executed", "1")], "");
        }
        let path = request.target().to_owned();
        self.case.log(&format!("worker {id} runs {attempt} {path}"));
        let run = (self.case.now(), attempt.clone(), path, id.clone());
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        std::thread::sleep(WORK);
        let headers = [("chestnutstage-attempt-id", attempt.as_str()), ("chestnutstage-server-seal", id.as_str())];
        http::answer(200, &headers, format!("done {attempt}"))
    }
}

/// Version of the desired state with these routes, all to one service.
pub fn desired_state(version: u64, prefixes: &[&str]) -> String {
    let routes = prefixes.iter().map(|prefix| {
        format!(
            "{{\"Name\":\"{prefix}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\
             \"TargetLatencyMs\":120,\"TargetGapMs\":0,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"ConnectionLimit\":110,\
         \"HealthPath\":\"/health\",\"ColdPerS\":0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"town\",\"ApiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// Sends one request to an instance on a new channel; returns the attempt's id and the status, 0 without an answer.
pub fn request(case: &Case, number: u64, instance: &str, address: SocketAddr, path: &str) -> (String, u16) {
    let attempt = format!("{number:016x}");
    let headers = [
        ("host", HOST),
        ("chestnutstage-attempt-id", attempt.as_str()),
        ("chestnutstage-deadline-remaining-ms", "2000"),
        ("chestnutstage-key", KEY),
    ];
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    let message = Message { line: format!("GET {path} HTTP/1.1"), headers, body: Vec::new() };
    case.log(&format!("{attempt} {path} is sent to {instance}"));
    let answer = http::ask(address, &message, Duration::from_secs(3));
    let status = answer.as_ref().map_or(0, Message::status);
    case.log(&format!("{attempt} {path} from {instance}: status {status}"));
    (attempt, status)
}
