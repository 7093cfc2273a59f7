//! Connections of callers.
//!
//! A caller's connection may carry many requests. It is closed when it was unused for as long as the operators allow, when
//! headers do not come to an end in time, and at a shutdown. A caller that closes ends its request: the library drops the
//! request's future, and with it the connection to the endpoint.

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
use log::{debug, warn};
use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::exchange;
use crate::shared::Shared;

/// Idle time of a connection before the operators' limit is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);
/// Time for headers before the operators' limit is known.
const HEADER_DEFAULT: Duration = Duration::from_secs(5);
/// Smallest buffer that the library takes, in bytes.
const BUFFER_MIN: usize = 8_192;
/// Size of headers before the operators' limit is known, in bytes.
const HEADERS_DEFAULT: usize = 16 << 10;
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Course of one connection.
#[derive(Debug)]
struct Course {
    busy: bool,
    ended: Instant,
    /// Bytes read when the last request began.
    taken: u64,
    /// When bytes came first that belong to no request yet.
    heading: Option<Instant>,
}

/// What a connection's parts share.
struct Track {
    read: AtomicU64,
    course: Mutex<Course>,
}

impl Track {
    fn new() -> Self {
        let course = Course { busy: false, ended: Instant::now(), taken: 0, heading: None };
        Self { read: AtomicU64::new(0), course: Mutex::new(course) }
    }

    fn begin(&self) {
        let mut course = self.course.lock().unwrap_or_else(PoisonError::into_inner);
        course.busy = true;
        course.heading = None;
    }

    fn end(&self) {
        let mut course = self.course.lock().unwrap_or_else(PoisonError::into_inner);
        course.busy = false;
        course.ended = Instant::now();
        course.taken = self.read.load(Ordering::Relaxed);
    }

    /// Time until the connection has to be looked at again; none if it is to be closed.
    fn rest(&self, idle: Duration, header: Duration) -> Option<Duration> {
        let mut course = self.course.lock().unwrap_or_else(PoisonError::into_inner);
        if course.busy {
            return Some(idle);
        }
        if self.read.load(Ordering::Relaxed) > course.taken {
            let since = *course.heading.get_or_insert_with(Instant::now);
            return header.checked_sub(since.elapsed()).filter(|rest| !rest.is_zero());
        }
        idle.checked_sub(course.ended.elapsed()).filter(|rest| !rest.is_zero())
    }
}

/// A caller's connection that counts the bytes that come.
struct Counted {
    stream: TcpStream,
    track: Arc<Track>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = (buf.filled().len() - before) as u64;
        self.track.read.fetch_add(read, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Takes callers' connections until `closing` turns true; then the port is closed, so that callers who still come find
/// out at once and go elsewhere.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let mut stop = closing.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    counter!("chestnutstage_caller_connections_total").increment(1);
                    tokio::spawn(connection(shared.clone(), stream, closing.clone()));
                }
                Err(e) => {
                    warn!("a caller's connection can't be accepted: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = stop.changed() => return,
        }
    }
}

async fn connection(shared: Arc<Shared>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if let Err(e) = stream.set_nodelay(true) {
        debug!("no-delay can't be set: {e}");
    }
    let limits = shared.store_cache.directory().map(|d| *d.limits());
    let idle = limits.map_or(IDLE_DEFAULT, |l| l.idle_time);
    let header = limits.map_or(HEADER_DEFAULT, |l| l.header_time);
    let headers = limits.map_or(HEADERS_DEFAULT, |l| l.headers);
    let track = Arc::new(Track::new());
    let counted = Counted { stream, track: track.clone() };
    let service = service_fn(|request: Request<Incoming>| {
        let (shared, track) = (shared.clone(), track.clone());
        async move {
            track.begin();
            let mut answer = exchange::serve(shared.clone(), request).await;
            if shared.is_draining() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let (head, body) = answer.into_parts();
            Ok::<_, Infallible>(http::Response::from_parts(head, Ending { body, track }))
        }
    });
    let connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(headers.max(BUFFER_MIN))
        .serve_connection(TokioIo::new(counted), service);
    let mut connection = pin!(connection);
    let mut open = true;
    loop {
        let rest = track.rest(idle, header);
        if rest.is_none() && open {
            connection.as_mut().graceful_shutdown();
            open = false;
        }
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    debug!("a caller's connection ended: {e}");
                }
                return;
            }
            () = sleep(rest.unwrap_or(idle)) => {}
            changed = closing.changed(), if open => {
                if changed.is_ok() && *closing.borrow() {
                    connection.as_mut().graceful_shutdown();
                    open = false;
                }
            }
        }
    }
}

/// A body that marks the end of its request.
struct Ending {
    body: crate::answer::Body,
    track: Arc<Track>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.track.end();
    }
}

impl hyper::body::Body for Ending {
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
