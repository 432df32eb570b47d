//! HTTP/1.1 over std sockets: a server with a thread for each connection, and a client for single calls.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// How often a connection looks whether its path was cut.
const LOOK: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// The path to a server. While it is cut nothing passes either way, and what was on its way is lost.
#[derive(Debug, Default)]
pub struct Link {
    is_cut: AtomicBool,
    /// Number of cuts so far: a connection that was open in one is dead.
    cuts: AtomicU64,
    /// Whether the process behind the path is gone: connections are closed and refused.
    is_down: AtomicBool,
}

impl Link {
    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.is_cut.store(false, Ordering::SeqCst);
    }

    pub fn take_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        self.cuts.fetch_add(1, Ordering::SeqCst);
    }

    pub fn bring_up(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }

    fn is_dead(&self, opened_at: u64) -> bool {
        self.is_cut.load(Ordering::SeqCst) || self.cuts.load(Ordering::SeqCst) != opened_at
    }
}

pub fn serve<H>(link: Arc<Link>, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            if link.is_down.load(Ordering::SeqCst) {
                continue;
            }
            let (link, handler) = (Arc::clone(&link), Arc::clone(&handler));
            thread::spawn(move || {
                let _ = connection(socket, &link, &*handler);
            });
        }
    });
    Ok(address)
}

fn connection(
    mut socket: TcpStream,
    link: &Link,
    handler: &(dyn Fn(Request) -> Response + Send + Sync),
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(LOOK))?;
    let opened_at = link.cuts.load(Ordering::SeqCst);
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let Some(request) = read_request(&mut socket, &mut buffer, &|| link.is_dead(opened_at))? else {
            break;
        };
        let response = handler(request);
        if link.is_dead(opened_at) {
            break;
        }
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        socket.write_all(text.as_bytes())?;
    }
    // A path that is cut stays silent: it neither answers nor closes.
    while link.is_cut.load(Ordering::SeqCst) {
        thread::sleep(LOOK);
    }
    Ok(())
}

/// Reads one request; none if the peer has closed or the path was cut.
fn read_request(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
    is_dead: &dyn Fn() -> bool,
) -> io::Result<Option<Request>> {
    let mut chunk = [0; 16 << 10];
    loop {
        if is_dead() {
            return Ok(None);
        }
        if let Some((request, used)) = parse_request(buffer) {
            buffer.drain(..used);
            return Ok(Some(request));
        }
        match socket.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
}

fn parse_request(buffer: &[u8]) -> Option<(Request, usize)> {
    let end = buffer.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let method = first.next()?.to_owned();
    let target = first.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = buffer.get(end + 4..end + 4 + length)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
        .collect();
    let request = Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8_lossy(body).into_owned(),
    };
    Some((request, end + 4 + length))
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one call over a connection of its own; the error text says why there is no answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<Response, String> {
    exchange(address, method, path, headers, body, timeout).map_err(|e| e.to_string())
}

fn exchange(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let invalid = |text: &str| io::Error::new(io::ErrorKind::InvalidData, text.to_owned());
    let address: SocketAddr = address.parse().map_err(|_| invalid("address"))?;
    let mut socket = TcpStream::connect_timeout(&address, timeout)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    socket.write_all(text.as_bytes())?;
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer)?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| invalid("no whole answer"))?;
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok(Response { status: status.ok_or_else(|| invalid("no status"))?, body: body.to_owned() })
}
