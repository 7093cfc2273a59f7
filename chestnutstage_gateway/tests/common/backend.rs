//! Endpoints that send raw bytes, so that a test can violate the protocol at any point.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Pause in the middle of a stream, longer than the time without data after which the gateway probes an engine.
pub const PAUSE: Duration = Duration::from_millis(3_500);

/// Size of the buffer for bytes that the peer has not received.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// Bytes that an endless reply sends at once.
const ENDLESS_WRITE_BYTES: usize = 4_096;

/// Response of an endpoint to one request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends these bytes and keeps the connection open.
    Bytes(String),
    /// Sends these bytes and closes the connection.
    Truncate(String),
    /// Sends these bytes and closes the connection after a time without data.
    Abandon(Duration, String),
    /// Sends these bytes, then nothing, and keeps the connection open.
    Hang(String),
    /// Sends the first part, then the second part again and again until the connection is closed.
    Endless(String, String),
    /// Sends the first part, then the second part after a time without data.
    Pause(Duration, String, String),
    /// Sends the third part and closes the connection if the request contains the first; otherwise sends the second.
    CrashOn(&'static str, String, String),
    /// Sends the first part and closes the connection; sends the second part to a request with `last-event-id`.
    Resume(String, String),
}

/// Scripted endpoint.
#[derive(Debug)]
pub struct Backend {
    pub address: SocketAddr,
    /// Requests as received, with their bodies.
    pub requests: Mutex<Vec<String>>,
    /// Times at which they arrived.
    pub arrivals: Mutex<Vec<Instant>>,
    /// Number of connections accepted.
    pub accepted: AtomicUsize,
    /// Notified when the peer closes a connection on which the endpoint hangs or sends without end.
    pub closed: Notify,
    /// Bytes of endless replies that were accepted by the peer's side of the connection.
    pub sent: AtomicUsize,
    replies: Mutex<Vec<Reply>>,
}

/// A complete response with a body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-attempt: attempt-1\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn success(body: &str) -> Reply {
    Reply::Bytes(answer("200 OK", "x-seal: s\r\n", body))
}

/// Head of a chunked stream, and one chunk for each of these events.
pub fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    let head = "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
    ids.map(event).fold(head.to_owned(), |text, event| text + &format!("{:x}\r\n{event}\r\n", event.len()))
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Last chunk of a chunked response.
pub const END: &str = "0\r\n\r\n";

impl Backend {
    /// Starts an endpoint that gives these replies in order and repeats the last one.
    pub async fn start(replies: Vec<Reply>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        // Accepted connections inherit it; otherwise the system grows it to megabytes that count as sent.
        rustix::net::sockopt::set_socket_send_buffer_size(&listener, SEND_BUFFER_BYTES).unwrap();
        let backend = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            requests: Mutex::default(),
            arrivals: Mutex::default(),
            accepted: AtomicUsize::new(0),
            closed: Notify::new(),
            sent: AtomicUsize::new(0),
            replies: Mutex::new(replies),
        });
        let serving = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.accepted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        backend
    }

    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    fn next(&self) -> Reply {
        let mut replies = self.replies.lock().unwrap();
        if replies.len() > 1 { replies.remove(0) } else { replies[0].clone() }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let resumes = request.contains("last-event-id: ");
            let reply = match self.next() {
                Reply::CrashOn(text, _, head) if request.contains(text) => Reply::Truncate(head),
                Reply::CrashOn(_, bytes, _) => Reply::Bytes(bytes),
                reply => reply,
            };
            self.requests.lock().unwrap().push(request);
            self.arrivals.lock().unwrap().push(Instant::now());
            match reply {
                Reply::CrashOn(..) => unreachable!("resolved above"),
                Reply::Pause(time, bytes, rest) => {
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    tokio::time::sleep(time).await;
                    if stream.write_all(rest.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Reply::Abandon(time, bytes) => {
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    tokio::time::sleep(time).await;
                    return;
                }
                Reply::Resume(_, rest) if resumes => stream.write_all(rest.as_bytes()).await.unwrap(),
                Reply::Bytes(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
                Reply::Truncate(bytes) | Reply::Resume(bytes, _) => {
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    return;
                }
                Reply::Endless(bytes, rest) => {
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    let rest = rest.repeat(1 + ENDLESS_WRITE_BYTES / rest.len());
                    while stream.write_all(rest.as_bytes()).await.is_ok() {
                        self.sent.fetch_add(rest.len(), Ordering::SeqCst);
                    }
                    self.closed.notify_one();
                    return;
                }
                Reply::Hang(bytes) => {
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    let mut rest = [0; 64];
                    while matches!(stream.read(&mut rest).await, Ok(n) if n > 0) {}
                    self.closed.notify_one();
                    return;
                }
            }
        }
    }
}

/// Reads one request with its body; `None` when the connection is closed.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |l| l.trim().parse().unwrap()) {
                return Some(text);
            }
        }
        match stream.read(&mut part).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}
