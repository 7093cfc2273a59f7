//! HTTP/1.1 on blocking sockets: a server with a thread for each connection, and single requests.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message with the first line split at spaces, headers in lower case and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let target = self.first.get(1).map_or("", String::as_str);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name));
        found.map_or(String::new(), |(_, value)| unescape(value))
    }

    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(if byte == b'+' { b' ' } else { byte });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message; `None` at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message =
        Message { first: line.trim_end().splitn(3, ' ').map(str::to_owned).collect(), ..Message::default() };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            line.clear();
            stream.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; len + 2];
            stream.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..len]);
            if len == 0 {
                break;
            }
        }
    } else if let Some(len) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        message.body = vec![0; len];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Status, headers and body of an answer.
pub type Answer = (u16, Vec<(String, String)>, Vec<u8>);

/// Serves connections until the process ends.
pub fn serve(address: SocketAddr, handle: impl Fn(Message) -> Answer + Send + Sync + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader) {
                    let (status, headers, body) = handle(request);
                    let mut head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
                    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
                    head.push_str("\r\n");
                    if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let request = format!("{head}Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    stream.write_all(&[request.as_bytes(), body].concat())?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
