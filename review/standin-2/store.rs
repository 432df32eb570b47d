//! The platform's store: keys with revisions, leases, watches and transactions under conditions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, object};
use crate::record::Record;

const MAX_VALUE_BYTES: usize = 1_048_576;
const MAX_ENTRIES: usize = 32;
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const HISTORY: Duration = Duration::from_secs(20);
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Highest revision that is no longer in the history.
    forgotten: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

/// `Store` is the running store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn open(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            record,
        });
        let ticking = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.expire();
            }
        });
        store
    }

    pub fn serve(self: &Arc<Self>) -> std::io::Result<Server> {
        let store = Arc::clone(self);
        Server::bind(
            "127.0.0.1:0",
            Arc::new(move |request| store.answer(&request)),
        )
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        while state
            .history
            .front()
            .is_some_and(|change| change.at.elapsed() > HISTORY)
        {
            if let Some(change) = state.history.pop_front() {
                state.forgotten = state.forgotten.max(change.revision);
            }
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER);
        let last = request.path.rsplit('/').next().unwrap_or("");
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.txn(request),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(last),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(last),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn key(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let key = request.parameter("Key");
        let found = state.items.get(key);
        Some(found.map_or((404, "{}".to_owned()), |item| {
            (200, item_json(key, item).to_string())
        }))
    }

    fn range(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.parameter("Prefix"), request.parameter("After"));
        let matching = state.items.range(prefix.to_owned()..);
        let matching = matching.take_while(|(key, _)| key.starts_with(prefix));
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut is_truncated = false;
        for (key, item) in matching.filter(|(key, _)| key.as_str() > after) {
            if items.len() >= MAX_PAGE_ITEMS
                || (bytes > 0 && bytes + item.value.len() > MAX_PAGE_BYTES)
            {
                is_truncated = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let page = object([
            ("items", items.into()),
            ("Truncated", is_truncated.into()),
            ("AsOf", state.revision.into()),
        ]);
        Some((200, page.to_string()))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("Prefix");
        let after: u64 = request.parameter("After").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.forgotten {
                return Some((410, "{}".to_owned()));
            }
            let newer = state
                .history
                .iter()
                .filter(|change| change.revision > after);
            let events = newer.filter(|change| change.key.starts_with(prefix));
            let events: Vec<Json> = events.map(change_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let reply = object([("events", events.into()), ("AsOf", state.revision.into())]);
                return Some((200, reply.to_string()));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, request: &Request) -> Reply {
        let refused = |why: String| {
            self.record
                .line(&format!("store refuses a transaction: {why}"));
            Some((400, object([("Problem", why.into())]).to_string()))
        };
        let Some(body) = Json::parse(&request.body) else {
            return refused("no JSON".to_owned());
        };
        let (expect, puts, removes) = (
            body.get("Expect").list(),
            body.get("Puts").list(),
            body.get("Remove").list(),
        );
        if expect.len() + puts.len() + removes.len() > MAX_ENTRIES {
            return refused("more than 32 entries".to_owned());
        }
        for put in puts {
            let (key, value) = (
                put.get("Key").text().unwrap_or(""),
                put.get("Value").text().unwrap_or(""),
            );
            let bytes =
                value.len() / 4 * 3 - value.bytes().rev().take_while(|byte| *byte == b'=').count();
            if bytes > MAX_VALUE_BYTES {
                return refused(format!(
                    "{key} has {bytes} bytes, ValueBytes is {MAX_VALUE_BYTES}"
                ));
            }
            if key.starts_with("op/") || key.starts_with("servers/") {
                return Some((403, "{}".to_owned()));
            }
        }
        let mut state = self.state.lock().unwrap();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let key_of = |row: &Json| row.get("Key").text().unwrap_or("").to_owned();
        let holds = expect.iter().all(|row| {
            revision_of(&state, &key_of(row)) == row.get("Revision").int().unwrap_or(0) as u64
        });
        if !holds {
            let items = expect.iter().filter_map(|row| {
                let key = key_of(row);
                state.items.get(&key).map(|item| item_json(&key, item))
            });
            return Some((
                412,
                object([("items", items.collect::<Vec<_>>().into())]).to_string(),
            ));
        }
        let leases = puts
            .iter()
            .map(|put| put.get("Lease").int().unwrap_or(0) as u64);
        if leases
            .filter(|id| *id != 0)
            .any(|id| !state.leases.contains_key(&id))
        {
            return Some((404, "{}".to_owned()));
        }
        state.revision += 1;
        for put in puts {
            let value = put.get("Value").text().unwrap_or("").to_owned();
            state.write(
                &key_of(put),
                value,
                put.get("Lease").int().unwrap_or(0) as u64,
            );
        }
        for key in removes {
            state.delete(key.text().unwrap_or(""));
        }
        self.changed.notify_all();
        Some((
            200,
            object([("Revision", state.revision.into())]).to_string(),
        ))
    }

    fn grant(&self, request: &Request) -> Reply {
        let ttl_ms = Json::parse(&request.body).and_then(|body| body.get("TtlMs").int());
        let ttl_ms = ttl_ms.unwrap_or(1_000).clamp(1_000, 600_000) as u64;
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let id = state.last_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(
            id,
            Lease {
                ttl,
                ends_at: Instant::now() + ttl,
            },
        );
        Some((
            200,
            object([("Lease", id.into()), ("TtlMs", ttl_ms.into())]).to_string(),
        ))
    }

    fn keep(&self, id: &str) -> Reply {
        let mut state = self.state.lock().unwrap();
        let lease = id
            .parse()
            .ok()
            .and_then(|id: u64| state.leases.get_mut(&id));
        let Some(lease) = lease else {
            return Some((404, "{}".to_owned()));
        };
        lease.ends_at = Instant::now() + lease.ttl;
        Some((
            200,
            object([("TtlMs", (lease.ttl.as_millis() as u64).into())]).to_string(),
        ))
    }

    fn end(&self, id: &str) -> Reply {
        let mut state = self.state.lock().unwrap();
        if let Ok(id) = id.parse() {
            state.end_lease(id);
        }
        self.changed.notify_all();
        Some((200, "{}".to_owned()))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>) {
        let (at, revision) = (Instant::now(), self.revision);
        self.history.push_back(Change {
            at,
            revision,
            key: key.to_owned(),
            item,
        });
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !bound.is_empty() {
            self.revision += 1;
        }
        for key in bound {
            self.delete(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("Key", key.into()),
        ("Value", item.value.as_str().into()),
        ("Revision", item.revision.into()),
        ("Created", item.created.into()),
        ("Lease", item.lease.into()),
    ])
}

fn change_json(change: &Change) -> Json {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => object([
            ("Key", change.key.as_str().into()),
            ("Revision", change.revision.into()),
            ("Deleted", true.into()),
        ]),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit > chunk.len() {
                '='
            } else {
                DIGITS[index] as char
            });
        }
    }
    text
}
