//! A small deployment on loopback: the store, workers of a booking service, and instances of the system as processes of their own.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

pub const HOST: &str = "yard.example";
pub const PATH: &str = "/desk/book";

/// A request that a worker has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub at: Instant,
}

pub struct World {
    pub store: Arc<Store>,
    store_address: SocketAddr,
    pub folder: PathBuf,
    pub instances: Vec<Instance>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub started: Instant,
    record: Mutex<File>,
    next: AtomicU64,
}

pub struct Instance {
    name: String,
    callers: SocketAddr,
    checks: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

fn free_port() -> u16 {
    loop {
        let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port()))
}

impl World {
    pub fn new(record: &str) -> Self {
        let store_address = address();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store: Store::start(store_address),
            store_address,
            folder,
            instances: Vec::new(),
            runs: Arc::default(),
            started: Instant::now(),
            record: Mutex::new(File::create(record).expect("the record can be written")),
            next: AtomicU64::new(1),
        }
    }

    /// Writes a line with the seconds since the start.
    pub fn note(&self, at: Instant, text: &str) {
        let line = format!("{:9.3} s  {text}\n", at.saturating_duration_since(self.started).as_secs_f64());
        self.record.lock().unwrap_or_else(PoisonError::into_inner).write_all(line.as_bytes()).ok();
    }

    pub fn publish(&self, version: u64) {
        let config = format!(
            "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-book\",\"Host\":\"{HOST}\",\"Prefix\":\"/desk/\",\
             \"Kind\":\"non_idempotent\",\"TimeoutMs\":600,\"TargetLatencyMs\":120,\"Priority\":2,\
             \"Service\":\"yard-desk\",\"MaxAttempts\":1,\"AllowAnonymous\":false}}],\
             \"Services\":[{{\"Name\":\"yard-desk\",\"HealthPath\":\"/health\",\"ConnectionLimit\":110,\
             \"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
             \"IdleTimeoutMs\":15000}}}}"
        );
        self.store.put("op", "config", Some(&config));
    }

    /// Starts a worker that serves until the process ends; returns its address.
    pub fn worker(&self, id: &str, zone: &str) -> SocketAddr {
        let address = address();
        let (own, runs) = (id.to_owned(), self.runs.clone());
        http::serve(address, move |request| {
            let attempt = request.header("chestnutstage-attempt-id").unwrap_or_default().to_owned();
            if request.path().starts_with("/-/") || request.path() == "/health" {
                return (200, vec![("Chestnutstage-Instance-Id".into(), own.clone())], b"{}".to_vec());
            }
            if request.header("chestnutstage-expected-instance") != Some(&own) {
                return (421, vec![("Chestnutstage-Instance-Id".into(), own.clone())], Vec::new());
            }
            let run = Run { worker: own.clone(), id: attempt.clone(), at: Instant::now() };
            runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
            thread::sleep(Duration::from_millis(15));
            let headers = vec![
                ("Chestnutstage-Attempt-Id".into(), attempt),
                ("Chestnutstage-Server-Seal".into(), "3e1b.07.5a2.600.0.c9f2a4d1".into()),
            ];
            (200, headers, b"booked".to_vec())
        })
        .expect("the worker's port is free");
        self.list(id, zone, address, "ready", 0);
        address
    }

    /// Writes a worker's entry; returns when the store has accepted it.
    pub fn list(&self, id: &str, zone: &str, address: SocketAddr, state: &str, cold_ms: u64) -> Instant {
        let entry = format!(
            "{{\"Service\":\"yard-desk\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":6,\"State\":\"{state}\",\"ColdRemainingMs\":{cold_ms},\"Sequence\":4,\"born\":1786000000000}}"
        );
        self.store.put("servers", id, Some(&entry))
    }

    /// Starts an instance with the command of the deploy file.
    pub fn instance(&mut self, name: &str, zone: &str, cores: f64, grace_s: u32) {
        let (callers, checks, peers, metrics) = (address(), address(), free_port(), free_port());
        let settings = self.folder.join(format!("{name}.toml"));
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nip = \"127.0.0.1\"\ncores = {cores}\n\
             first_start = true\n\n[listen]\ncallers = \"{callers}\"\nchecks = \"{checks}\"\npeers = {peers}\n\
             metrics = {metrics}\n\n[store]\naddress = \"{}\"\n\n[bounds]\nkeys_ms = 5000\ngrace_s = {grace_s}\n\
             retry_ratio = 0.2\nretry_extra = 106\ncold_factor = 1.5\ncold_extra = 5\n",
            self.store_address
        );
        fs::write(&settings, text).expect("the settings can be written");
        let mut instance = Instance { name: name.into(), callers, checks, settings, process: None };
        instance.start(&self.folder);
        self.instances.push(instance);
    }

    pub fn find(&self, name: &str) -> usize {
        self.instances.iter().position(|i| i.name == name).expect("a known instance")
    }

    /// Waits until all running instances are ready; false after `limit`.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.instances.iter().filter(|i| i.process.is_some()).all(|i| {
            while Instant::now() < until {
                let head = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n";
                if http::call(i.checks, head, b"", Duration::from_secs(1)).is_ok_and(|a| a.status() == 200) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// Sends one booking to an instance, and notes it with its answer.
    pub fn book(&self, instance: &Instance) -> u16 {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nChestnutstage-Attempt-Id: {id}\r\n\
             Chestnutstage-Deadline-Remaining-Ms: 600\r\n"
        );
        let sent = Instant::now();
        let answer = http::call(instance.callers, &head, b"mould 7", Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, http::Message::status);
        self.note(sent, &format!("request {id} sent to {}; answer {status}", instance.name));
        status
    }

    /// Runs at one worker that began later than `bound` after `ack`.
    pub fn late_runs(&self, worker: &str, ack: Instant, bound: Duration) -> Vec<Run> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|r| r.worker == worker && r.at > ack + bound).cloned().collect()
    }

    /// Notes all runs and ends all processes.
    pub fn end(mut self) {
        let runs = std::mem::take(&mut *self.runs.lock().unwrap_or_else(PoisonError::into_inner));
        for run in &runs {
            self.note(run.at, &format!("worker {} runs request {}", run.worker, run.id));
        }
        for instance in &mut self.instances {
            instance.kill();
        }
        // KEEP names a folder to which the logs are moved.
        match std::env::var("KEEP") {
            Ok(kept) => _ = fs::rename(&self.folder, kept),
            Err(_) => _ = fs::remove_dir_all(&self.folder),
        }
    }
}

impl Instance {
    /// Sends SIGTERM and waits until the process has ended; kills it after `grace`, as the platform does.
    pub fn stop(&mut self, grace: Duration) {
        let Some(process) = &mut self.process else { return };
        Command::new("kill").arg("-TERM").arg(process.id().to_string()).status().ok();
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if matches!(process.try_wait(), Ok(Some(_))) {
                self.process = None;
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn start(&mut self, folder: &std::path::Path) {
        let log = File::options().create(true).append(true).open(folder.join(format!("{}.log", self.name)));
        let log = log.expect("the log can be written");
        let process = Command::new("target/release/chestnutstage-platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CHESTNUTSTAGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        self.process = Some(process.expect("the program of the deploy file is built"));
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().ok();
            process.wait().ok();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
