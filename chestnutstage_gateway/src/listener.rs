//! Connections of callers.
//!
//! A caller's connection can carry many requests. It is closed after the idle timeout set by the operators, if the headers
//! of a request are not complete within their timeout, and at shutdown. If the caller closes its connection, hyper drops
//! the future of the request, which closes the connection to the endpoint and thereby cancels the request.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, info, warn};
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use crate::exchange;
use crate::observed_stream::{ObservedStream, ReadObserver};
use crate::shared::Shared;

/// Idle timeout of a connection until the operators' limit is known.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);
/// Timeout for the headers of a request until the operators' limit is known.
const HEADER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(5);
/// Smallest buffer size that hyper accepts.
const BUFFER_BYTES_MIN: usize = 8_192;
/// Size limit for headers until the operators' limit is known.
const HEADER_BYTES_DEFAULT: usize = 16 << 10;
/// Backoff after an error from `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Progress of the requests on one connection.
#[derive(Debug)]
struct RequestProgress {
    busy: bool,
    ended: Instant,
    /// Idle timeout in force when the last request began; callers may go by it until they learn of a lower one.
    idle: Duration,
    /// Bytes read from the connection when the last request ended.
    read_before: u64,
    /// When bytes of the next request were first noticed, while its headers are incomplete.
    header_start: Option<Instant>,
}

/// State of a connection; shared by its stream, the request handler and the timeout loop.
struct ConnectionState {
    read: AtomicU64,
    progress: Mutex<RequestProgress>,
    /// Notified when the first bytes of a request arrive, from which on its headers have a time limit.
    request_begun: Notify,
}

/// Result of a check of a connection's timeouts.
enum Check {
    /// None has passed; the time until the next check.
    Wait(Duration),
    /// The connection has been idle for too long.
    Idle,
    /// The headers of a request are not complete in time.
    HeadersLate,
}

impl ConnectionState {
    fn new(idle: Duration) -> Self {
        let progress =
            RequestProgress { busy: false, ended: Instant::now(), idle, read_before: 0, header_start: None };
        Self { read: AtomicU64::new(0), progress: Mutex::new(progress), request_begun: Notify::new() }
    }

    fn begin(&self, idle: Duration) {
        let mut progress = self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        progress.busy = true;
        progress.idle = idle;
        progress.header_start = None;
    }

    fn end(&self) {
        let mut progress = self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        progress.busy = false;
        progress.ended = Instant::now();
        progress.read_before = self.read.load(Ordering::Relaxed);
    }

    fn check(&self, idle: Duration, header: Duration) -> Check {
        let mut progress = self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        if progress.busy {
            return Check::Wait(idle);
        }
        if self.read.load(Ordering::Relaxed) > progress.read_before {
            let since = *progress.header_start.get_or_insert_with(Instant::now);
            let remaining = header.saturating_sub(since.elapsed());
            return if remaining.is_zero() { Check::HeadersLate } else { Check::Wait(remaining) };
        }
        let remaining = idle.max(progress.idle).saturating_sub(progress.ended.elapsed());
        if remaining.is_zero() { Check::Idle } else { Check::Wait(remaining) }
    }
}

impl ReadObserver for Arc<ConnectionState> {
    fn record_read(&self, len: usize) -> io::Result<()> {
        let before = self.read.fetch_add(len as u64, Ordering::Relaxed);
        let progress = self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        if len > 0 && !progress.busy && before == progress.read_before {
            self.request_begun.notify_one();
        }
        Ok(())
    }
}

/// Accepts connections of callers until `closing` turns true. The port is closed then, so that new connections are refused
/// immediately and callers turn to another instance.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let mut stop = closing.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    counter!("chestnutstage_caller_connections_total").increment(1);
                    tokio::spawn(connection(shared.clone(), stream, closing.clone()));
                }
                Err(e) => {
                    warn!("failed to accept a caller's connection: {e}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            _ = stop.changed() => return,
        }
    }
}

/// Limits on a caller's connection.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Idle timeout.
    idle: Duration,
    /// Timeout for the headers of a request.
    header: Duration,
    /// Largest size of all headers of a request.
    header_bytes: usize,
}

impl Limits {
    /// Limits of the catalog in force.
    fn current(shared: &Shared) -> Self {
        shared.store_cache.directory().map_or(
            Self {
                idle: IDLE_TIMEOUT_DEFAULT,
                header: HEADER_TIMEOUT_DEFAULT,
                header_bytes: HEADER_BYTES_DEFAULT,
            },
            |directory| {
                let limits = directory.limits();
                Self { idle: limits.idle_time, header: limits.header_time, header_bytes: limits.headers }
            },
        )
    }
}

/// Counts an open connection until dropped.
struct OpenConnection(Arc<Shared>);

impl OpenConnection {
    fn new(shared: Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection(shared: Arc<Shared>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let _open = OpenConnection::new(shared.clone());
    if let Err(e) = stream.set_nodelay(true) {
        debug!("failed to set TCP_NODELAY: {e}");
    }
    let limits = Limits::current(&shared);
    let state = Arc::new(ConnectionState::new(limits.idle));
    let stream = ObservedStream::new(stream, state.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let (shared, state) = (shared.clone(), state.clone());
        async move {
            state.begin(Limits::current(&shared).idle);
            let mut response = exchange::serve(shared.clone(), request).await;
            if shared.is_draining() || shared.has_no_path() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let (head, body) = response.into_parts();
            Ok::<_, Infallible>(http::Response::from_parts(head, TrackedBody { body, state }))
        }
    });
    let connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(limits.header_bytes.max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut open = true;
    loop {
        let limits = Limits::current(&shared);
        let next_check = match state.check(limits.idle, limits.header) {
            Check::Wait(next_check) => next_check,
            Check::HeadersLate => {
                info!("caller's connection closed: headers not complete in time");
                count_closed("headers_late");
                return;
            }
            Check::Idle => {
                if open {
                    count_closed("idle");
                    connection.as_mut().graceful_shutdown();
                    open = false;
                }
                limits.idle
            }
        };
        tokio::select! {
            // The connection comes first: a request that has arrived is read before a timeout or the shutdown closes it.
            biased;
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    debug!("caller connection closed with an error: {e}");
                }
                return;
            }
            () = sleep(next_check) => {}
            () = state.request_begun.notified() => {}
            changed = closing.changed(), if open => {
                if changed.is_ok() && *closing.borrow() {
                    count_closed("shutdown");
                    connection.as_mut().graceful_shutdown();
                    open = false;
                }
            }
        }
    }
}

fn count_closed(reason: &'static str) {
    counter!("chestnutstage_caller_connections_closed_total", "reason" => reason).increment(1);
}

/// A response body that marks its request as ended when dropped.
struct TrackedBody {
    body: crate::response::ResponseBody,
    state: Arc<ConnectionState>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.end();
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
