//! The platform's store (form `table`): rows, their feed, and transactions, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::http::{self, Answer, Message};
use crate::json::{Json, base64};

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(5);
/// Time for which a call whose answer is lost is held before its channel closes.
const LOST_HOLD: Duration = Duration::from_secs(6);

type Name = (String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Name, Option<String>)>,
    version: u64,
    /// If set, transactions that remove a row of the system get no answer and are done after this time.
    late_removals: Option<Duration>,
    writes: u32,
    lost: u32,
}

pub struct Store {
    case: Arc<Case>,
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    pub address: SocketAddr,
}

impl Rows {
    fn write(&mut self, name: Name, value: Option<String>) {
        self.version += 1;
        match &value {
            Some(value) => _ = self.rows.insert(name.clone(), (value.clone(), self.version)),
            None => _ = self.rows.remove(&name),
        }
        self.changes.push((self.version, name, value));
    }
}

fn row((table, key): &Name, value: &str, version: u64) -> String {
    format!(
        "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{value}\",\"ResourceVersion\":{version}}}"
    )
}

impl Store {
    pub fn start(case: &Arc<Case>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            case: case.clone(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            address: listener.local_addr()?,
        });
        let serving = store.clone();
        http::serve(listener, move |request| serving.handle(request));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row of others; its return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let value = value.map(|v| base64(v.as_bytes()));
        self.lock().write((table.into(), key.into()), value);
        self.changed.notify_all();
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.lock().rows.keys().filter(|(t, _)| t == table).map(|(_, k)| k.clone()).collect()
    }

    /// From now on, removals by the system get no answer and are done `late`; `None` ends that.
    pub fn set_late_removals(&self, late: Option<Duration>) {
        self.lock().late_removals = late;
    }

    /// Starts a new count of writing calls.
    pub fn reset_counts(&self) {
        let mut rows = self.lock();
        (rows.writes, rows.lost) = (0, 0);
    }

    /// Writing calls since the last reset, and those among them whose answer was lost.
    pub fn counts(&self) -> (u32, u32) {
        let rows = self.lock();
        (rows.writes, rows.lost)
    }

    fn page(&self, rows: &[String], version: u64) -> Answer {
        let now = self.start.elapsed().as_millis();
        let rows = rows.join(",");
        let body = format!(
            "{{\"Rows\":[{rows}],\"HasMore\":false,\"ResourceVersion\":{version},\"NowMs\":{now}}}"
        );
        http::answer(200, &[("content-type", "application/json")], body)
    }

    fn handle(self: &Arc<Self>, request: &Message) -> Answer {
        match (request.method(), request.target().split('?').next().unwrap_or_default()) {
            ("GET", "/-/rows-get") => {
                let (table, from) = (request.query("Table"), request.query("From"));
                let rows = self.lock();
                let chosen = rows.rows.iter().filter(|((t, k), _)| *t == table && *k >= from);
                let chosen: Vec<_> = chosen.map(|(n, (v, version))| row(n, v, *version)).collect();
                self.page(&chosen, rows.version)
            }
            ("GET", "/-/rows-feed") => self.feed(request),
            ("POST", "/-/rows-tx") => self.transact(request),
            _ => http::answer(404, &[], "{}"),
        }
    }

    fn feed(&self, request: &Message) -> Answer {
        let table = request.query("Table");
        let after: u64 = request.query("AfterRevision").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(request.query("WaitMs").parse().unwrap_or(0));
        let mut rows = self.lock();
        loop {
            let changes = rows.changes.iter().filter(|(version, (t, _), _)| *version > after && *t == table);
            let changes: Vec<String> = changes
                .map(|(version, name, value)| match value {
                    Some(value) => row(name, value, *version),
                    None => format!(
                        "{{\"Table\":\"{}\",\"part\":\"\",\"Key\":\"{}\",\"Removed\":true,\"ResourceVersion\":{version}}}",
                        name.0, name.1
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return self.page(&changes, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(self: &Arc<Self>, request: &Message) -> Answer {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let removes = !body.get("Removals").list().is_empty();
        let late = {
            let mut rows = self.lock();
            rows.writes += 1;
            let late = rows.late_removals.filter(|_| removes);
            rows.lost += u32::from(late.is_some());
            late
        };
        if let Some(late) = late {
            self.case.log(&format!("store: no answer to a removal, which is done {late:?} later: {}", summary(&body)));
            let store = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late);
                store.apply(&body);
                store.case.log(&format!("store: the late call is done: {}", summary(&body)));
            });
            std::thread::sleep(LOST_HOLD);
            return None;
        }
        std::thread::sleep(TRANSACTION);
        self.case.log(&format!("store: transaction {}", summary(&body)));
        self.apply(&body)
    }

    fn apply(&self, body: &Json) -> Answer {
        let name = |row: &Json| (row.get("Table").text().to_owned(), row.get("Key").text().to_owned());
        let mut rows = self.lock();
        let conditions = body.get("Precondition").list();
        let holds = |row: &Json| {
            rows.rows.get(&name(row)).map_or(0, |(_, version)| *version) == row.get("ResourceVersion").number()
        };
        if !conditions.iter().all(holds) {
            let found = conditions.iter().filter_map(|c| rows.rows.get_key_value(&name(c)));
            let found: Vec<_> = found.map(|(n, (v, version))| row(n, v, *version)).collect();
            return http::answer(412, &[], format!("{{\"Rows\":[{}]}}", found.join(",")));
        }
        for put in body.get("Puts").list() {
            rows.write(name(put), Some(put.get("Value").text().to_owned()));
        }
        for removal in body.get("Removals").list() {
            rows.write(name(removal), None);
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        self.page(&[], version)
    }
}

fn summary(body: &Json) -> String {
    let list = |name: &str| {
        let keys = body.get(name).list().iter();
        keys.map(|r| format!("{}/{}", r.get("Table").text(), r.get("Key").text())).collect::<Vec<_>>().join(" ")
    };
    format!("puts [{}] removes [{}]", list("Puts"), list("Removals"))
}
