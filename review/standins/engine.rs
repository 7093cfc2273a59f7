//! A model engine that can lose power for a short time: its channels go silent, and it comes back as a new boot at the same address.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::http::{self, Answer, Message};
use crate::json::Json;
use crate::store::Store;

pub const SERVICE: &str = "engines";
pub const MEMORY: u64 = 232_000;
/// Time until the first event of a prompt.
const READING: Duration = Duration::from_millis(3_000);
/// Longer than any case.
const FOREVER: Duration = Duration::from_secs(1_000);

#[derive(Default)]
struct State {
    boot: u64,
    /// Start of the current boot; `None` while the engine is dark.
    since: Option<Duration>,
    /// Tickets: tokens, and the end of the lease.
    tickets: BTreeMap<String, (u64, Instant)>,
}

pub struct Engine {
    case: Arc<Case>,
    pub name: String,
    pub address: SocketAddr,
    zone: String,
    state: Mutex<State>,
    /// Prompts that arrived: the time, the attempt, and the tickets that it names.
    arrived: Mutex<Vec<(Duration, String, String)>>,
}

impl Engine {
    pub fn start(case: &Arc<Case>, name: &str, zone: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            case: case.clone(),
            name: name.into(),
            address: listener.local_addr()?,
            zone: zone.into(),
            state: Mutex::new(State { since: Some(Duration::ZERO), ..State::default() }),
            arrived: Mutex::default(),
        });
        let serving = engine.clone();
        http::serve_channels(listener, move |request, opened| serving.handle(request, opened));
        Ok(engine)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.lock().boot)
    }

    pub fn register(&self, store: &Store) {
        let born = 1_700_000_000_000 + self.lock().boot * 1_000;
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":1,\"Slots\":16,\"State\":\"ready\",\
             \"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{born}}}",
            self.address, self.zone
        );
        store.put("servers", &self.id(), Some(&entry));
    }

    /// Loses power: nothing is answered, and all that it held is gone.
    pub fn lose_power(&self) {
        let mut state = self.lock();
        state.since = None;
        state.tickets.clear();
    }

    /// Comes back as a new boot.
    pub fn return_power(&self) {
        let mut state = self.lock();
        state.boot += 1;
        state.since = Some(self.case.now());
    }

    /// Tokens that are set aside.
    pub fn reserved(&self) -> u64 {
        let now = Instant::now();
        let mut state = self.lock();
        state.tickets.retain(|_, (_, until)| *until > now);
        state.tickets.values().map(|(tokens, _)| *tokens).sum()
    }

    /// Whether one of these tickets is set aside here.
    pub fn holds(&self, tickets: &[String]) -> bool {
        let now = Instant::now();
        let state = self.lock();
        state.tickets.iter().any(|(id, (_, until))| *until > now && tickets.contains(id))
    }

    pub fn arrived(&self) -> Vec<(Duration, String, String)> {
        self.arrived.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn handle(&self, request: &Message, opened: Duration) -> Answer {
        let boot = {
            let state = self.lock();
            match state.since {
                Some(since) if opened >= since => state.boot,
                // The new boot resets channels that it does not know.
                Some(_) => return None,
                None => {
                    drop(state);
                    return self.unheard();
                }
            }
        };
        let answer = match request.target() {
            "/-/report" => self.report(),
            "/-/order" => self.order(request),
            _ => self.prompt(request),
        };
        if self.lock().boot != boot || self.lock().since.is_none() {
            // The answer is lost with the power, and the channel stays silent.
            std::thread::sleep(FOREVER);
        }
        answer
    }

    /// A request that arrives while the engine is dark is sent again by the network until the new boot resets the channel.
    fn unheard(&self) -> Answer {
        while self.lock().since.is_none() {
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    fn report(&self) -> Answer {
        let used = self.reserved();
        let body = format!(
            "{{\"Stage\":\"both\",\"Models\":[],\"Busy\":false,\"Sequence\":0,\"Waiting\":0,\"Running\":0,\"KvUsed\":{used},\
             \"KvTotal\":{MEMORY},\"Handles\":0,\"pace\":1.0}}"
        );
        http::answer(200, &[("content-type", "application/json")], body)
    }

    fn order(&self, request: &Message) -> Answer {
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (operation, id) = (order.get("Operation").text(), order.get("Id").text().to_owned());
        let tokens = order.get("Tokens").number();
        let used = self.reserved();
        let mut state = self.lock();
        let own = state.tickets.get(&id).map_or(0, |(tokens, _)| *tokens);
        let status = match operation {
            "release" => {
                state.tickets.remove(&id);
                200
            }
            "reserve" if used - own + tokens > MEMORY => 409,
            "reserve" => {
                let until = Instant::now() + Duration::from_millis(order.get("HoldMs").number());
                state.tickets.insert(id.clone(), (tokens, until));
                200
            }
            _ => 400,
        };
        drop(state);
        self.case.log(&format!("engine {}: order {operation} {id} {tokens}: {status}", self.name));
        http::answer(status, &[("content-type", "application/json")], "{\"FreeCapacity\":0}")
    }

    fn prompt(&self, request: &Message) -> Answer {
        let attempt = request.header("chestnutstage-attempt-id").to_owned();
        let echo = ("chestnutstage-attempt-id", attempt.as_str());
        if request.header("chestnutstage-expected-instance") != self.id() {
            return http::answer(421, &[echo], "");
        }
        let helpers = request.header("chestnutstage-helpers").to_owned();
        self.case.log(&format!("engine {} reads prompt {attempt}, with helpers {helpers}", self.id()));
        let arrival = (self.case.now(), attempt.clone(), helpers);
        self.arrived.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        std::thread::sleep(READING);
        let events: String = (1..=5).map(|id| format!("id: {id}\ndata: {attempt} {id}\n\n")).collect();
        let seal = ("chestnutstage-server-seal", self.name.as_str());
        http::answer(200, &[echo, seal, ("content-type", "text/event-stream")], events)
    }
}

/// Desired state with one route to the engines, like that of the longest prompts on the site.
pub fn desired_state(host: &str, key: &str) -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"archive\",\"Host\":\"{host}\",\"Prefix\":\"/archive/\",\"Kind\":\"streaming\",\
         \"TimeoutMs\":15000,\"TargetLatencyMs\":2500,\"TargetGapMs\":1000,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\
         \"Resumable\":true,\"Sticky\":true}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"ConnectionLimit\":434,\"ColdPerS\":36,\
         \"HealthPath\":\"/health\",\"Engine\":{{\"Slots\":16,\"KvCacheTokens\":{MEMORY},\"Stride\":43,\"step_ms\":1.02,\
         \"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,\"HopMs\":0.075}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"town\",\"ApiKeys\":[\"{key}\"]}}]}}"
    )
}
