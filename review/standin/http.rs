//! An HTTP/1.1 server with keep-alive, one thread a connection, and a client for single requests.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Value of `X-Geraniumpost-Expect-Instance`; empty if missing.
    pub instance: String,
    pub body: String,
    /// Address of the client.
    pub from: SocketAddr,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// A status with a JSON body; `None` closes the connection without a response.
pub type Response = Option<(u16, String)>;

/// Serves requests on an address until the process ends.
pub fn serve<H>(address: SocketAddr, handle: H) -> std::io::Result<()>
where
    H: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    handle: &dyn Fn(Request) -> Response,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let from = stream.peer_addr()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let Some(request) = read_request(&mut reader, from)? else { return Ok(()) };
        let Some((status, body)) = handle(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice())?;
    }
}

/// Reads the lines of a head up to the empty line; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

fn header<'a>(lines: &'a [String], name: &str) -> &'a str {
    let find = |line: &'a String| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    };
    lines.iter().find_map(find).unwrap_or("")
}

fn read_body(reader: &mut impl BufRead, lines: &[String]) -> std::io::Result<String> {
    let length: usize = header(lines, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead, from: SocketAddr) -> std::io::Result<Option<Request>> {
    let Some(lines) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &lines)?;
    let mut words = lines.first().map_or("", |line| line).split(' ');
    let target = words.nth(1).unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        path: path.to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), decode_percent(value))).collect(),
        instance: header(&lines, "x-geraniumpost-expect-instance").to_owned(),
        body,
        from,
    }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request over a new connection. Returns the status and the body, or 0 if there is no
/// complete response in time.
pub fn call(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    let deadline = Instant::now() + timeout;
    let exchange = || -> std::io::Result<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Connection: close\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice())?;
        let mut reader = BufReader::new(stream);
        let lines = read_head(&mut reader)?.unwrap_or_default();
        let status = lines.first().and_then(|line| line.split(' ').nth(1));
        let status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok((status, read_body(&mut reader, &lines)?))
    };
    exchange().unwrap_or((0, String::new()))
}
