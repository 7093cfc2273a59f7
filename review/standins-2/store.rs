//! The platform's store, as PROTOCOL.md describes its rows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Message};
use crate::json::{self, Json};

type Id = (String, String, String);

#[derive(Default)]
struct Inner {
    version: u64,
    /// Value (none for a removed row) and version by table, part and key.
    rows: BTreeMap<Id, (Option<String>, u64)>,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store =
            Arc::new(Self { inner: Mutex::default(), changed: Condvar::new(), started: Instant::now() });
        let served = store.clone();
        http::serve(address, move |request| served.answer(&request)).expect("the store's port is free");
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes or removes a row with an empty part; returns when the store has accepted that.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Instant {
        let mut inner = self.lock();
        inner.version += 1;
        let version = inner.version;
        let value = value.map(|v| json::base64(v.as_bytes()));
        inner.rows.insert((table.into(), String::new(), key.into()), (value, version));
        self.changed.notify_all();
        Instant::now()
    }

    fn answer(&self, request: &Message) -> Answer {
        let (status, body) = match request.path() {
            "/-/rows-get" => self.get(request),
            "/-/rows-feed" => self.feed(request),
            "/-/rows-tx" => self.transact(request),
            _ => (404, String::new()),
        };
        (status, vec![("Content-Type".into(), "application/json".into())], body.into_bytes())
    }

    fn render(&self, inner: &Inner, rows: impl Iterator<Item = (Id, (Option<String>, u64))>) -> String {
        let rows: Vec<String> = rows
            .map(|((table, part, key), (value, version))| {
                let content = value.map_or("\"Removed\":true".into(), |v| format!("\"Value\":\"{v}\""));
                format!(
                    "{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{key}\",{content},\
                     \"ResourceVersion\":{version}}}"
                )
            })
            .collect();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"ResourceVersion\":{},\"NowMs\":{}}}",
            rows.join(","),
            inner.version,
            self.started.elapsed().as_millis()
        )
    }

    fn get(&self, request: &Message) -> (u16, String) {
        let (table, part, from) = (request.query("Table"), request.query("part"), request.query("From"));
        let inner = self.lock();
        let rows = inner.rows.iter().filter(|((t, p, key), (value, _))| {
            *t == table && *p == part && *key >= from && value.is_some()
        });
        (200, self.render(&inner, rows.map(|(id, row)| (id.clone(), row.clone()))))
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.query("Table");
        let after: u64 = request.query("AfterRevision").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut inner = self.lock();
        loop {
            let mut rows: Vec<_> = inner
                .rows
                .iter()
                .filter(|((t, ..), (_, version))| *t == table && *version > after)
                .map(|(id, row)| (id.clone(), row.clone()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (_, version))| *version);
                return (200, self.render(&inner, rows.into_iter()));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = json::parse(&request.body) else { return (400, String::new()) };
        let id = |row: &Json| (row.text("Table"), row.text("part"), row.text("Key"));
        let mut inner = self.lock();
        let conditions = body.list("Precondition");
        let version = |inner: &Inner, row: &Json| {
            inner.rows.get(&id(row)).filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version)
        };
        if conditions.iter().any(|row| version(&inner, row) != row.number("ResourceVersion")) {
            let rows: Vec<_> = conditions
                .iter()
                .filter_map(|row| inner.rows.get_key_value(&id(row)))
                .filter(|(_, (value, _))| value.is_some())
                .map(|(id, row)| (id.clone(), row.clone()))
                .collect();
            return (412, self.render(&inner, rows.into_iter()));
        }
        inner.version += 1;
        let next = inner.version;
        for row in body.list("Puts") {
            inner.rows.insert(id(&row), (Some(row.text("Value")), next));
        }
        for row in body.list("Removals") {
            if inner.rows.contains_key(&id(&row)) {
                inner.rows.insert(id(&row), (None, next));
            }
        }
        self.changed.notify_all();
        (200, self.render(&inner, std::iter::empty()))
    }
}
