//! Connections to endpoints.
//!
//! One request at a time uses a connection. A connection goes back to the idle ones only after a whole answer that named
//! the request, so that bytes which belong to no request are never read as an answer. Dropping a connection closes it,
//! which tells the endpoint to stop.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::pool::Key;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::debug;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Time limit for a connection to open; an open one is confirmed within a round trip.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which a connection is no longer used, where the endpoint names no shorter one.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time by which an endpoint's own idle limit is undercut, so that no request crosses its close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time after which a connection isn't trusted with a request that may run only once.
const FRESH_LIMIT: Duration = Duration::from_millis(800);
/// Idle connections kept to one endpoint.
const IDLE_MAX: usize = 4;
/// Buffer of a connection, in bytes.
const BUFFER: usize = 64 << 10;

/// Closes the connection when dropped.
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
    _driver: Driver,
    idle_limit: Duration,
}

/// What became of a request on a connection.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of it left.
    NotSent(String),
    /// It may have run.
    Unknown(String),
}

impl Channel {
    async fn open(address: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(CONNECT_LIMIT, connecting).await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT.as_millis() as u32)?;
        let builder = http1::Builder::new().max_buf_size(BUFFER).to_owned();
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                debug!("connection to {address} ended: {e}");
            }
        });
        counter!("chestnutstage_endpoint_connections_total").increment(1);
        Ok(Self { sender, _driver: Driver(driver), idle_limit: IDLE_LIMIT })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if let Err(e) = self.sender.ready().await {
            return Err(SendFailure::NotSent(e.to_string()));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.idle_limit = idle_limit(response.headers());
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

/// Time for which an endpoint keeps the connection of this answer.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let named = seconds.and_then(|s| s.trim().parse().ok()).map(Duration::from_secs);
    named.map_or(IDLE_LIMIT, |limit| limit.saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT))
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

    /// An idle connection, or a new one. Requests that may run only once get one that was just used.
    ///
    /// # Errors
    ///
    /// The endpoint can't be reached; nothing was sent.
    pub(crate) async fn get(&self, key: Key, address: SocketAddr, once: bool) -> io::Result<Channel> {
        if let Some(channel) = self.take_idle(key, once) {
            return Ok(channel);
        }
        Channel::open(address).await
    }

    fn take_idle(&self, key: Key, once: bool) -> Option<Channel> {
        let mut idle = self.lock();
        let queue = idle.get_mut(&key)?;
        while let Some(Idle { channel, since }) = queue.pop() {
            let limit = if once { channel.idle_limit.min(FRESH_LIMIT) } else { channel.idle_limit };
            if since.elapsed() < limit && channel.sender.is_ready() && !channel.sender.is_closed() {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole, if `most` are not yet kept.
    pub(crate) fn put(&self, key: Key, channel: Channel, most: usize) {
        let mut idle = self.lock();
        let queue = idle.entry(key).or_default();
        if queue.len() < most.min(IDLE_MAX) && !channel.sender.is_closed() {
            queue.push(Idle { channel, since: Instant::now() });
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, queue| {
            queue.retain(|i| i.since.elapsed() < i.channel.idle_limit && !i.channel.sender.is_closed());
            !queue.is_empty()
        });
    }
}
