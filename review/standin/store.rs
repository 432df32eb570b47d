//! A stand-in for the platform's store: keys with revisions, leases and watches, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Link, Request, Response, serve};
use crate::json::{Json, quoted};

/// Time that an answer takes, as on the sheets of the small sites.
const ANSWER: Duration = Duration::from_millis(4);

/// Items in one page of a range.
const PAGE_ITEMS: usize = 500;

/// Entries in one transaction.
const MAX_ENTRIES: usize = 32;

#[derive(Clone, Debug)]
struct Item {
    /// As sent: base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Changes in order; a removal has no item.
    history: Vec<(u64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, revision: u64, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(revision, |old| old.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(self.revision, &key);
            }
        }
    }

    fn end_expired_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn open() -> std::io::Result<Self> {
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = Arc::clone(&shared);
        let address = serve(Arc::new(Link::default()), move |request| answer(&served, &request))?;
        let expiry = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = expiry.0.lock().unwrap();
                let before = state.revision;
                state.end_expired_leases();
                if state.revision != before {
                    expiry.1.notify_all();
                }
            }
        });
        Ok(Self { shared, address })
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(revision, key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(revision, key);
        self.shared.1.notify_all();
    }

    /// The value of a key, decoded.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.get(key).map(|item| from_base64(&item.value))
    }
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Request) -> Response {
    thread::sleep(ANSWER);
    let (status, body) = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/kv-key") => key(&shared.0.lock().unwrap(), request),
        ("GET", "/kv-range") => range(&shared.0.lock().unwrap(), request),
        ("GET", "/kv-watch") => watch(shared, request),
        ("POST", "/kv-txn") => {
            let result = txn(&mut shared.0.lock().unwrap(), &request.body);
            shared.1.notify_all();
            result
        }
        ("POST", "/kv-lease") => grant(&mut shared.0.lock().unwrap(), &request.body),
        ("POST", path) if path.starts_with("/kv-keep/") => {
            renew(&mut shared.0.lock().unwrap(), last_number(path))
        }
        ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
            let mut state = shared.0.lock().unwrap();
            state.end_lease(last_number(path));
            shared.1.notify_all();
            (200, "{}".to_owned())
        }
        _ => (400, "{}".to_owned()),
    };
    Response { status, body }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":{},\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        quoted(key),
        quoted(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn parameter<'a>(request: &'a Request, name: &str) -> &'a str {
    request.query.get(name).map_or("", String::as_str)
}

fn key(state: &State, request: &Request) -> (u16, String) {
    let key = parameter(request, "Key");
    match state.items.get(key) {
        Some(item) => (200, item_json(key, item)),
        None => (404, "{}".to_owned()),
    }
}

fn range(state: &State, request: &Request) -> (u16, String) {
    let (prefix, after) = (parameter(request, "Prefix"), parameter(request, "After"));
    let matching: Vec<_> = state
        .items
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .filter(|(key, _)| key.as_str() > after)
        .collect();
    let page = matching.iter().take(PAGE_ITEMS);
    let items: Vec<String> = page.map(|(key, item)| item_json(key, item)).collect();
    let is_truncated = matching.len() > PAGE_ITEMS;
    let body = format!(
        "{{\"items\":[{}],\"Truncated\":{is_truncated},\"AsOf\":{}}}",
        items.join(","),
        state.revision
    );
    (200, body)
}

fn watch(shared: &(Mutex<State>, Condvar), request: &Request) -> (u16, String) {
    let prefix = parameter(request, "Prefix");
    let after: u64 = parameter(request, "After").parse().unwrap_or(0);
    let wait_ms: u64 = parameter(request, "WaitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut state = shared.0.lock().unwrap();
    loop {
        let first = state.history.partition_point(|(revision, _, _)| *revision <= after);
        let events: Vec<String> = state.history[first..]
            .iter()
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!(
                    "{{\"Key\":{},\"Revision\":{revision},\"Deleted\":true}}",
                    quoted(key)
                ),
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let body = format!("{{\"events\":[{}],\"AsOf\":{}}}", events.join(","), state.revision);
            return (200, body);
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}

fn txn(state: &mut State, body: &str) -> (u16, String) {
    let Some(body) = Json::parse(body) else {
        return (400, "{}".to_owned());
    };
    let (expect, puts, removes) = (body.get("Expect"), body.get("Puts"), body.get("Remove"));
    if expect.list().len() + puts.list().len() + removes.list().len() > MAX_ENTRIES {
        return (400, "{}".to_owned());
    }
    state.end_expired_leases();
    let is_met = expect.list().iter().all(|row| {
        let item = state.items.get(row.get("Key").text());
        item.map_or(0, |item| item.revision) == row.get("Revision").number().unwrap_or(0)
    });
    if !is_met {
        let keys = expect.list().iter().map(|row| row.get("Key").text());
        let items = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
        let items: Vec<String> = items.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let lease_of = |row: &Json| row.get("Lease").number().unwrap_or(0);
    let has_leases = puts.list().iter().map(lease_of).all(|id| id == 0 || state.leases.contains_key(&id));
    if !has_leases {
        return (404, "{}".to_owned());
    }
    state.revision += 1;
    let revision = state.revision;
    for row in puts.list() {
        state.put(revision, row.get("Key").text(), row.get("Value").text(), lease_of(row));
    }
    for row in removes.list() {
        state.remove(revision, row.text());
    }
    (200, format!("{{\"Revision\":{revision}}}"))
}

fn grant(state: &mut State, body: &str) -> (u16, String) {
    let ttl_ms = Json::parse(body).and_then(|body| body.get("TtlMs").number()).unwrap_or(1_000);
    let ttl_ms = ttl_ms.clamp(1_000, 600_000);
    let ttl = Duration::from_millis(ttl_ms);
    state.last_lease += 1;
    state.leases.insert(state.last_lease, (ttl, Instant::now() + ttl));
    (200, format!("{{\"Lease\":{},\"TtlMs\":{ttl_ms}}}", state.last_lease))
}

fn renew(state: &mut State, lease: u64) -> (u16, String) {
    state.end_expired_leases();
    match state.leases.get_mut(&lease) {
        Some((ttl, end)) => {
            *end = Instant::now() + *ttl;
            (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
        }
        None => (404, "{}".to_owned()),
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, byte| (sum << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(ALPHABET[(group >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn from_base64(text: &str) -> String {
    let digits = text.bytes().filter_map(|byte| ALPHABET.iter().position(|&digit| digit == byte));
    let digits: Vec<usize> = digits.collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let group = chunk.iter().fold(0, |sum, digit| (sum << 6) | digit) << (6 * (4 - chunk.len()));
        out.extend((0..chunk.len().saturating_sub(1)).map(|place| (group >> (16 - 8 * place)) as u8));
    }
    String::from_utf8_lossy(&out).into_owned()
}
