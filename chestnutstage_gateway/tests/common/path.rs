//! The network path of one instance to one endpoint, which a test can cut.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_gateway::external::{Fact, Member, Registry, Revision, Topic, Updates};
use futures::FutureExt;
use futures::future::BoxFuture;
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketType, bind, getsockname, listen, socket};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::external::{ExternalResult, FakeStore};

/// Time within which a connection over loopback is open, unless the path hangs.
const LOOPBACK_CONNECT: Duration = Duration::from_millis(200);

/// What a path does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    Open,
    /// Connections are reset, and new ones refused.
    Refused,
    /// Open connections carry nothing in either direction, and new ones hang.
    Hung,
    /// Open connections go on, and new ones hang.
    HungForNew,
}

/// Path from one instance to one endpoint.
#[derive(Debug)]
pub struct Path {
    pub address: SocketAddr,
    state: watch::Sender<PathState>,
    accepting: JoinHandle<()>,
}

impl Path {
    /// Opens a path to an endpoint.
    pub fn open(endpoint: SocketAddr) -> Self {
        let port = ReservedPort::bind();
        let address = port.address;
        let listener = port.listen();
        let (state, states) = watch::channel(PathState::Open);
        let accepting = tokio::spawn(accept(port, listener, endpoint, states));
        Self { address, state, accepting }
    }

    /// Cuts or restores the path.
    pub async fn set(&self, state: PathState) {
        self.state.send_replace(state);
        if matches!(state, PathState::Hung | PathState::HungForNew) {
            // The queue of connections that nobody accepts is filled, so that further ones hang.
            let mut filled = Vec::new();
            while let Ok(Ok(stream)) = timeout(LOOPBACK_CONNECT, TcpStream::connect(self.address)).await {
                filled.push(stream);
            }
            tokio::spawn(async move {
                let _filled = filled;
                std::future::pending::<()>().await;
            });
        }
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// A port that nobody else is given, also while nothing listens there and connections are refused.
struct ReservedPort {
    address: SocketAddr,
    holder: OwnedFd,
}

impl ReservedPort {
    fn bind() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let holder = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&holder, &any).unwrap();
        let address = SocketAddr::try_from(getsockname(&holder).unwrap()).unwrap();
        Self { address, holder }
    }

    /// Listens at the port, with a queue for few connections.
    fn listen(&self) -> TcpListener {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        set_socket_reuseaddr(&socket, true).unwrap();
        // The holder shares the port with this socket alone.
        set_socket_reuseaddr(&self.holder, true).unwrap();
        bind(&socket, &self.address).unwrap();
        listen(&socket, 8).unwrap();
        set_socket_reuseaddr(&self.holder, false).unwrap();
        let listener = std::net::TcpListener::from(socket);
        listener.set_nonblocking(true).unwrap();
        TcpListener::from_std(listener).unwrap()
    }
}

async fn accept(
    port: ReservedPort,
    listener: TcpListener,
    endpoint: SocketAddr,
    mut states: watch::Receiver<PathState>,
) {
    let mut listener = Some(listener);
    loop {
        let state = *states.borrow_and_update();
        match state {
            PathState::Refused => listener = None,
            PathState::Open if listener.is_none() => listener = Some(port.listen()),
            _ => {}
        }
        let accepting = async {
            match &listener {
                Some(listener) if state == PathState::Open => listener.accept().await.unwrap().0,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            stream = accepting => drop(tokio::spawn(forward(stream, endpoint, states.clone()))),
            changed = states.changed() => if changed.is_err() { return },
        }
    }
}

/// Forwards a connection; while the path hangs, nothing is read on either side.
async fn forward(mut near: TcpStream, endpoint: SocketAddr, mut states: watch::Receiver<PathState>) {
    let Ok(mut far) = TcpStream::connect(endpoint).await else { return };
    loop {
        let state = *states.borrow_and_update();
        match state {
            PathState::Open | PathState::HungForNew => tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
                changed = states.changed() => if changed.is_err() { return },
            },
            PathState::Refused => {
                near.set_zero_linger().unwrap();
                return;
            }
            PathState::Hung => {
                if states.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

/// The store as one instance sees it, which reaches the endpoints over paths of its own.
#[derive(Debug)]
pub struct StoreView {
    store: Arc<FakeStore>,
    addresses: HashMap<SocketAddr, SocketAddr>,
}

impl StoreView {
    /// A view in which each endpoint is listed with the address of its path.
    pub fn new(store: Arc<FakeStore>, paths: &[(SocketAddr, &Path)]) -> Arc<Self> {
        let addresses = paths.iter().map(|(endpoint, path)| (*endpoint, path.address)).collect();
        Arc::new(Self { store, addresses })
    }

    fn translate(&self, mut updates: Updates) -> Updates {
        for fact in &mut updates.facts {
            if let Fact::Listed(listing) = fact
                && let Some(address) = self.addresses.get(&listing.address)
            {
                listing.address = *address;
            }
        }
        updates
    }
}

impl Registry for StoreView {
    fn read(&self, topic: Topic) -> BoxFuture<'_, ExternalResult<Updates>> {
        self.store.read(topic).map(|read| read.map(|updates| self.translate(updates))).boxed()
    }

    fn follow(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, ExternalResult<Updates>> {
        let following = self.store.follow(topic, after, wait);
        following.map(|read| read.map(|updates| self.translate(updates))).boxed()
    }

    fn join<'a>(&'a self, member: &'a Member) -> BoxFuture<'a, ExternalResult<()>> {
        self.store.join(member)
    }

    fn leave<'a>(&'a self, id: &'a InstanceId) -> BoxFuture<'a, ExternalResult<()>> {
        self.store.leave(id)
    }

    fn secret<'a>(&'a self, fresh: &'a str) -> BoxFuture<'a, ExternalResult<String>> {
        self.store.secret(fresh)
    }
}
