//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and one request on a new connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// A message: the first line, the headers (names in lower case), and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Value of a query field of the target.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let field = query.split('&').find_map(|f| f.split_once('=').filter(|(n, _)| *n == name));
        decode(field.map_or("", |(_, v)| v))
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads bytes until `count` are in the buffer; `false` at the end of the connection.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> io::Result<bool> {
    let mut chunk = [0; 16 << 10];
    while buffer.len() < count {
        match stream.read(&mut chunk)? {
            0 => return Ok(false),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    Ok(true)
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended inside a message")
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let wanted = buffer.len() + 1;
        if !fill(stream, buffer, wanted)? {
            return if buffer.is_empty() { Ok(None) } else { Err(cut()) };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    let mut message = Message { line, headers, body: Vec::new() };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size_end = loop {
                if let Some(at) = buffer.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                let wanted = buffer.len() + 1;
                if !fill(stream, buffer, wanted)? {
                    return Err(cut());
                }
            };
            let size = String::from_utf8_lossy(&buffer[..size_end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            buffer.drain(..size_end + 2);
            if !fill(stream, buffer, size + 2)? {
                return Err(cut());
            }
            message.body.extend(buffer.drain(..size));
            buffer.drain(..2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    if !fill(stream, buffer, length)? {
        return Err(cut());
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// An answer of a server; `None` closes the connection without one.
pub type Answer = Option<Message>;

pub fn answer(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Answer {
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    Some(Message { line: format!("HTTP/1.1 {status} Status"), headers, body: body.into() })
}

fn write(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let mut bytes = format!("{}\r\n", message.line).into_bytes();
    for (name, value) in &message.headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", message.body.len()).as_bytes());
    bytes.extend_from_slice(&message.body);
    stream.write_all(&bytes)
}

/// Serves each request on a listener with `handle`.
pub fn serve(listener: TcpListener, handle: impl Fn(&Message) -> Answer + Send + Sync + 'static) {
    serve_channels(listener, move |request, _| handle(request));
}

/// The same; `handle` also gets the time by [`clock`] at which the channel was opened.
pub fn serve_channels(
    listener: TcpListener,
    handle: impl Fn(&Message, Duration) -> Answer + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let (handle, opened) = (handle.clone(), clock());
            std::thread::spawn(move || {
                _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = read(&mut stream, &mut buffer) {
                    let Some(answer) = handle(&request, opened) else { break };
                    if write(&mut stream, &answer).is_err() {
                        break;
                    }
                }
                _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

/// Time since the first call, by the clock that all stand-ins share.
pub fn clock() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// Sends one request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, message: &Message, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write(&mut stream, message)?;
    read(&mut stream, &mut Vec::new())?.ok_or_else(cut)
}
