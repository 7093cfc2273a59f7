//! Connections to endpoints.
//!
//! A connection is direct or, where the path to the endpoint is lost, relayed by a peer. It carries one request at a time. It is reused only after a complete response that identified its request,
//! so that stray bytes are never read as the response to another request. Dropping a connection closes it, which makes
//! the endpoint cancel the request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::pool::Key;
use derive_more::Display;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::debug;
use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::observed_stream::ObservedStream;
use crate::read_budget::ReadBudget;

/// Connect timeout; connecting normally takes one round trip.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a connection with unacknowledged data is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which a connection is closed, unless the endpoint states a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin subtracted from the idle timeout that an endpoint states, so that no request is sent while it closes the
/// connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time after which a connection is not reused for a request that may run only once.
const ONCE_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle time after which a relayed connection is closed; a peer that shuts down waits for it.
const RELAYED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of idle connections kept to one endpoint.
const IDLE_CONNECTIONS_MAX: usize = 4;
/// Size of the buffer of a connection.
const BUFFER_BYTES: usize = 64 << 10;

/// Stream of bytes to an endpoint.
pub(crate) trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// How a connection reaches its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Via {
    /// Over the network.
    #[display("direct")]
    Direct,
    /// Through a peer.
    #[display("peer")]
    Peer,
}

/// Task that drives a connection; closes the connection when dropped.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    pub(crate) budget: ReadBudget,
    _driver: Driver,
    idle_timeout: Duration,
    via: Via,
    /// Requests that were sent on it.
    sent: u64,
}

/// Failure to send a request on a connection.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// Opens a TCP connection to an endpoint.
pub(crate) async fn open_direct(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT.as_millis() as u32)?;
    Ok(stream)
}

impl Channel {
    /// Wraps a stream of bytes to an endpoint.
    pub(crate) async fn new(stream: Box<dyn ByteStream>, via: Via, address: SocketAddr) -> io::Result<Self> {
        let builder = http1::Builder::new().max_buf_size(BUFFER_BYTES).to_owned();
        let budget = ReadBudget::default();
        let stream = ObservedStream::new(stream, budget.clone());
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                debug!("connection to {address} ended: {e}");
            }
        });
        counter!("chestnutstage_endpoint_connections_total", "via" => via.to_string()).increment(1);
        Ok(Self { sender, budget, _driver: Driver(driver), idle_timeout: IDLE_TIMEOUT, via, sent: 0 })
    }

    /// Time after which the connection is closed if it is idle.
    fn idle_limit(&self) -> Duration {
        match self.via {
            Via::Direct => self.idle_timeout,
            Via::Peer => self.idle_timeout.min(RELAYED_IDLE_TIMEOUT),
        }
    }

    /// Whether a peer relays it.
    pub(crate) const fn is_relayed(&self) -> bool {
        matches!(self.via, Via::Peer)
    }

    /// Whether it carried other requests before the latest one.
    pub(crate) const fn is_reused(&self) -> bool {
        self.sent > 1
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if let Err(e) = self.sender.ready().await {
            return Err(SendFailure::NotSent(e.to_string()));
        }
        self.budget.start_request();
        self.sent += 1;
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.idle_timeout = idle_timeout(response.headers());
                Ok(response)
            }
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let text = e.into_error().to_string();
                Err(if unsent { SendFailure::NotSent(text) } else { SendFailure::Unknown(text) })
            }
        }
    }
}

/// Idle timeout of a connection, from the `keep-alive` header of a response.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let stated = seconds.and_then(|s| s.trim().parse().ok()).map(Duration::from_secs);
    stated.map_or(IDLE_TIMEOUT, |timeout| timeout.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT))
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Channels {
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
}

impl Channels {
    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection. A request that may run only once gets one only if that was in use within
    /// [`ONCE_IDLE_TIMEOUT`]. If the path to the endpoint is lost, direct connections are closed: they may hang.
    pub(crate) fn take_idle(&self, key: Key, once: bool, lost: bool) -> Option<Channel> {
        let mut idle = self.lock();
        let queue = idle.get_mut(&key)?;
        while let Some(Idle { channel, since }) = queue.pop() {
            let limit = channel.idle_limit();
            let limit = if once { limit.min(ONCE_IDLE_TIMEOUT) } else { limit };
            let usable = !lost || channel.via == Via::Peer;
            if usable && since.elapsed() < limit && channel.sender.is_ready() && !channel.sender.is_closed() {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection whose response was read completely, unless `idle_max` connections are already kept.
    pub(crate) fn put(&self, key: Key, channel: Channel, idle_max: usize) {
        let mut idle = self.lock();
        let queue = idle.entry(key).or_default();
        if queue.len() < idle_max.min(IDLE_CONNECTIONS_MAX) && !channel.sender.is_closed() {
            queue.push(Idle { channel, since: Instant::now() });
        }
    }

    /// Closes connections that exceeded their idle timeout or were closed by the endpoint.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, queue| {
            queue.retain(|i| i.since.elapsed() < i.channel.idle_limit() && !i.channel.sender.is_closed());
            !queue.is_empty()
        });
    }
}
