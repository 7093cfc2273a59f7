//! The project's processes, started with the command of the deploy file and settings like those of its template.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::http::{self, Message};

/// Command of the deploy file.
const PROGRAM: &str = "target/release/chestnutstage-platform";

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub checks: SocketAddr,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    child: Option<Child>,
}

/// Ports of the deployment, the same on all machines: for callers, for checks, and for peers.
pub fn free_ports(machines: u8) -> (u16, u16, u16) {
    let seed = Instant::now();
    let mut next = std::process::id().wrapping_mul(2_654_435_761);
    loop {
        next = next.wrapping_mul(1_664_525).wrapping_add(1_013_904_223 ^ seed.elapsed().subsec_nanos());
        let base = 12_000 + (next >> 8) as u16 % 18_000;
        let free = (1..=machines).all(|n| {
            let ip = machine(n);
            let tcp = |port| TcpListener::bind((ip, port)).is_ok();
            tcp(base) && tcp(base + 1) && UdpSocket::bind((ip, base + 2)).is_ok()
        });
        if free {
            return (base, base + 1, base + 2);
        }
    }
}

/// Address of a machine.
pub fn machine(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 10, n)
}

impl Instance {
    /// Writes the settings of an instance and starts it.
    pub fn start(
        case: &Case,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        ports: (u16, u16, u16),
        store: SocketAddr,
        first_start: bool,
    ) -> io::Result<Self> {
        let (callers, checks) = (SocketAddr::from((ip, ports.0)), SocketAddr::from((ip, ports.1)));
        let settings = case.directory.join(format!("{name}.toml"));
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nip = \"{ip}\"\ncores = 0.25\nfirst_start = {first_start}\n\n\
             [listen]\ncallers = \"{callers}\"\nchecks = \"{checks}\"\npeers = {}\n\n[store]\naddress = \"{store}\"\n\n\
             [bounds]\nkeys_ms = 5000\ngrace_s = 8\nretry_ratio = 0.2\nretry_extra = 106\ncold_factor = 1.5\ncold_extra = 5\n",
            ports.2
        );
        std::fs::write(&settings, text)?;
        let log = case.directory.join(format!("{name}.log"));
        let mut instance = Self { name: name.to_owned(), callers, checks, settings, log, child: None };
        instance.restart()?;
        case.log(&format!("{name} is started at {callers}"));
        Ok(instance)
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CHESTNUTSTAGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", child.id())).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|c| c.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

/// Waits until an instance says that it is ready.
pub fn wait_ready(checks: SocketAddr, limit: Duration) -> bool {
    let request = Message { line: "GET /-/readiness HTTP/1.1".into(), ..Message::default() };
    let request = Message { headers: vec![("host".into(), "checks".into())], ..request };
    let start = Instant::now();
    while start.elapsed() < limit {
        if http::ask(checks, &request, Duration::from_millis(500)).is_ok_and(|a| a.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
