//! Two measurements of a running deployment: the time that an instance adds to the first token, and the memory that it
//! uses for open streams.

use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use reqwest::{Client, RequestBuilder};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::world::{MODEL, World};

/// Requests of each kind in the comparison.
const COMPARED_REQUESTS: usize = 150;
/// Requests before the comparison, during which the instances open their connections to each other and to the engines.
const WARM_UP_REQUESTS: usize = 200;
/// Bound on the time that an instance adds to the first token at p95.
const ADDED_MAX: Duration = Duration::from_millis(3);
/// Bound on the memory of an instance.
const MEMORY_MAX_BYTES: u64 = 256_000_000;
/// Output of a request that is still running when the measurement ends.
const LONG_OUTPUT_TOKENS: u64 = 4_000;
/// Time for the streams to open.
const OPENING_TIME: Duration = Duration::from_secs(20);

fn completion(request: RequestBuilder, output_tokens: u64) -> RequestBuilder {
    request.json(&json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": output_tokens,
        "messages": [{"role": "user", "content": "how are the moulds?"}],
    }))
}

/// Time to the first chunk of a response; the response is read to its end.
async fn first_token(request: RequestBuilder) -> Result<Duration, String> {
    let sent_at = Instant::now();
    let response = request.send().await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(response.text().await.unwrap_or_default());
    }
    let mut stream = response.bytes_stream();
    stream.next().await.ok_or("response ended before its first chunk")?.map_err(|e| e.to_string())?;
    let first = sent_at.elapsed();
    while stream.next().await.is_some() {}
    Ok(first)
}

fn quantile(times: &mut [Duration], q: f64) -> Duration {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * q).round() as usize]
}

/// Compares the time to first token through an instance with that of direct requests to the engines, one request at a
/// time.
///
/// # Errors
///
/// A request failed, or the instances add more than the bound.
pub async fn overhead(world: &World) -> Result<(), String> {
    let client = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
    let engines: Vec<_> = world.listing.endpoints.iter().filter(|e| e.models[0].as_str() == MODEL).collect();
    let urls: Vec<_> = world.callers.values().collect();
    let key = world.customers.values().next().ok_or("no customer")?;
    let (mut direct, mut through, mut warm_up) = (Vec::new(), Vec::new(), Vec::new());
    let by_instance = |n: usize| {
        let url = urls[n % urls.len()];
        client.post(format!("{url}/v1/chat/completions")).bearer_auth(key)
    };
    for n in 0..WARM_UP_REQUESTS {
        warm_up.push(first_token(completion(by_instance(n), 1)).await?);
    }
    println!("while connections open, p95 through an instance: {:.2?}", quantile(&mut warm_up, 0.95));
    for n in 0..COMPARED_REQUESTS {
        let address = &engines[n % engines.len()].address;
        let request = client.post(format!("http://{address}/v1/chat/completions"));
        let request = request.header("x-request-id", format!("{:x}", n + 1));
        direct.push(first_token(completion(request, 1)).await?);
        through.push(first_token(completion(by_instance(n), 1)).await?);
    }
    let mut added = Duration::ZERO;
    for q in [0.5, 0.95, 0.99] {
        let (d, t) = (quantile(&mut direct, q), quantile(&mut through, q));
        println!(
            "p{:.0}: engine {d:.2?}, through an instance {t:.2?}, added {:.2?}",
            q * 100.0,
            t.saturating_sub(d)
        );
        if (q - 0.95).abs() < 0.01 {
            added = t.saturating_sub(d);
        }
    }
    if added > ADDED_MAX {
        return Err(format!("instances add {added:?} to the first token at p95, more than {ADDED_MAX:?}"));
    }
    Ok(())
}

/// Opens `count` streams on one instance, whose process id is `pid`, and measures its memory.
///
/// # Errors
///
/// The memory of the process can't be read, or exceeds the bound.
pub async fn streams(world: &World, pid: u32, count: usize) -> Result<(), String> {
    let client = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
    let url = world.callers.values().next().ok_or("no instance")?;
    let key = world.customers.values().next().ok_or("no customer")?;
    println!("before: {} kB", peak_memory(pid)? / 1_000);
    let streams = (0..count).map(|_| {
        let request = client.post(format!("{url}/v1/chat/completions")).bearer_auth(key);
        tokio::spawn(completion(request, LONG_OUTPUT_TOKENS).send())
    });
    let tasks: Vec<_> = streams.collect();
    sleep(OPENING_TIME).await;
    let used = peak_memory(pid)?;
    let answered = join_all(tasks.into_iter().map(|t| async move {
        let finished = t.is_finished();
        t.abort();
        finished && matches!(t.await, Ok(Ok(r)) if r.status().is_success())
    }));
    let opened = answered.await.into_iter().filter(|a| *a).count();
    println!("with {opened} of {count} streams open: {} kB", used / 1_000);
    if used > MEMORY_MAX_BYTES {
        return Err(format!("instance used {used} bytes, more than {MEMORY_MAX_BYTES}"));
    }
    Ok(())
}

/// Peak resident memory of a process, in bytes.
fn peak_memory(pid: u32) -> Result<u64, String> {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .ok_or_else(|| format!("{path} has no VmHWM line"))?;
    let kib: u64 = line
        .trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .map_err(|_| format!("malformed VmHWM line in {path}"))?;
    Ok(kib * 1_024)
}
