//! Connections of callers: a request that was sent whole on an open connection gets a response.

mod common;

use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, success};
use common::external::FakeStore;
use common::{HOST, Harness, KEY, catalog, listing};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for a response.
const RESPONSE_TIME_MAX: Duration = Duration::from_secs(5);

/// Starts a gateway whose connections may be idle for `idle`, and connects a caller.
async fn connect(idle: Duration) -> (Harness, TcpStream) {
    let backend = Backend::start(vec![success("done")]).await;
    let store = Arc::new(FakeStore::default());
    let mut first = catalog(1);
    first.limits.idle_time = idle;
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(first))]);
    store.publish(Topic::Endpoints, vec![Fact::Listed(listing("d1", "desk", backend.address))]);
    let harness = Harness::with_store("i1", store).await;
    harness.until_ready().await;
    let caller = TcpStream::connect(harness.gateway.listen_addresses().callers).await.unwrap();
    (harness, caller)
}

fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-key: {KEY}\r\nx-attempt: attempt-1\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads one response and returns its status line; empty if the connection was closed instead.
async fn read_status(caller: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = async {
        loop {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
                if body.len() >= length.map_or(0, |l| l.trim().parse().unwrap()) {
                    return head.lines().next().unwrap_or_default().to_owned();
                }
            }
            let mut part = [0; 4_096];
            match caller.read(&mut part).await {
                Ok(n) if n > 0 => bytes.extend_from_slice(&part[..n]),
                _ => return String::new(),
            }
        }
    };
    timeout(RESPONSE_TIME_MAX, read).await.expect("no response and no close")
}

/// The operators raise the idle timeout. Callers go by it on the connections that they have open.
#[tokio::test]
async fn raised_idle_timeout() {
    let (harness, mut caller) = connect(Duration::from_secs(1)).await;
    caller.write_all(head("/look/x", 0).as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 200 OK");
    let mut next = catalog(2);
    next.limits.idle_time = Duration::from_secs(10);
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    sleep(Duration::from_secs(2)).await;
    caller.write_all(head("/look/x", 0).as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 200 OK");
}

/// The operators lower the idle timeout. A connection that was used before may still be idle for the former one.
#[tokio::test]
async fn lowered_idle_timeout() {
    let (harness, mut caller) = connect(Duration::from_secs(4)).await;
    caller.write_all(head("/look/x", 0).as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 200 OK");
    let mut next = catalog(2);
    next.limits.idle_time = Duration::from_millis(500);
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    sleep(Duration::from_secs(2)).await;
    caller.write_all(head("/look/x", 0).as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 200 OK");
    let mut rest = [0; 1];
    let closed = timeout(Duration::from_secs(2), caller.read(&mut rest)).await;
    assert!(matches!(closed, Ok(Ok(0))), "the lower timeout holds from the next request on");
}

/// A request is refused before its body has arrived. The body must not end the connection, nor count as the next request's
/// headers.
#[tokio::test]
async fn body_after_refusal() {
    let (_harness, mut caller) = connect(Duration::from_secs(15)).await;
    for path in ["/gone/x", "/look/x"] {
        let key = if path == "/look/x" { "x-key: another\r\n" } else { "" };
        let refused = head(path, 3_000).replacen("x-key:", &format!("{key}x-former:"), 1);
        caller.write_all(refused.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        caller.write_all(&[b'x'; 1_500]).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        caller.write_all(&[b'x'; 1_500]).await.unwrap();
        let status = read_status(&mut caller).await;
        assert!(status == "HTTP/1.1 404 Not Found" || status == "HTTP/1.1 401 Unauthorized", "{status}");
        sleep(catalog(1).limits.header_time + Duration::from_millis(500)).await;
        caller.write_all(head("/look/x", 0).as_bytes()).await.unwrap();
        assert_eq!(read_status(&mut caller).await, "HTTP/1.1 200 OK");
    }
}

/// A refused request whose body does not arrive is answered soon all the same.
#[tokio::test]
async fn refusal_without_body() {
    let (_harness, mut caller) = connect(Duration::from_secs(15)).await;
    caller.write_all(head("/gone/x", 3_000).as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 404 Not Found");
    let mut rest = [0; 1];
    let closed = timeout(RESPONSE_TIME_MAX, caller.read(&mut rest)).await;
    assert!(matches!(closed, Ok(Ok(0))), "the connection can't be used for another request");
}

/// An instance shuts down while responses are still on their way to a slow caller. Several are needed to fill the buffers of
/// the sockets.
#[tokio::test]
async fn shutdown_before_flush() {
    let body = "x".repeat(1 << 20);
    let backend = Backend::start(vec![success(&body)]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let mut caller = TcpStream::connect(harness.gateway.listen_addresses().callers).await.unwrap();
    caller.write_all(head("/look/x", 0).repeat(12).as_bytes()).await.unwrap();
    let mut served = 0;
    while served == 0 || served < backend.requests().len() {
        served = backend.requests().len();
        sleep(Duration::from_millis(500)).await;
    }
    assert!(served < 12, "the buffers hold all responses");
    let stopping = tokio::spawn(harness.gateway.shutdown());
    sleep(Duration::from_secs(4)).await;
    assert!(!stopping.is_finished(), "a response has not left yet");
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.len() > served * body.len(), "all responses arrived whole");
    timeout(RESPONSE_TIME_MAX, stopping).await.expect("the instance stops").unwrap();
}

/// A caller that waits for permission to send its body gets the refusal, not the permission.
#[tokio::test]
async fn refusal_before_continue() {
    let (_harness, mut caller) = connect(Duration::from_secs(15)).await;
    let expecting = head("/gone/x", 3_000).replacen("x-key:", "expect: 100-continue\r\nx-key:", 1);
    caller.write_all(expecting.as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 404 Not Found");
}

/// A body that is not complete at the deadline of its request is not waited for any longer.
#[tokio::test]
async fn late_body() {
    let (_harness, mut caller) = connect(Duration::from_secs(15)).await;
    let begun = Instant::now();
    let late = head("/look/x", 3_000).replacen("x-key:", "x-remaining: 1000\r\nx-key:", 1);
    caller.write_all(late.as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut caller).await, "HTTP/1.1 503 Service Unavailable");
    assert!(begun.elapsed() < Duration::from_millis(1_800), "{:?}", begun.elapsed());
}
