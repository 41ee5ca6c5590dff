//! The platform's key-value store: keys, pages, watches and transactions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::{Json, from_base64, to_base64};

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key, revision and encoded event of each change.
    history: Vec<(String, u64, String)>,
}

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// All calls get 503.
    Busy,
    /// No call gets an answer.
    Silent,
    /// A third of the writes is done and gets no answer.
    Lost,
    /// A third of the writes gets no answer and is done 1 to 6 s later, if its condition still holds.
    Late,
    /// Answers take 240 ms.
    Slow,
}

#[derive(Debug, Default)]
pub struct Store {
    pub fault: Mutex<Fault>,
    writes: AtomicU64,
    state: Mutex<State>,
    changed: Condvar,
}

/// Replaces bytes in the values that are read through one listener, so that addresses of entries
/// lead through a proxy.
pub type Replacements = Vec<(Vec<u8>, Vec<u8>)>;

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 1;
        store
    }

    /// Answers through a fault.
    fn answer(self: &Arc<Self>, request: &Request, replace: &Replacements) -> Response {
        let fault = *self.fault.lock().unwrap();
        let is_third =
            request.path == "/v1/kv-txn" && self.writes.fetch_add(1, Ordering::SeqCst) % 3 == 0;
        match fault {
            Fault::Busy => return Some((503, "{}".to_owned())),
            Fault::Silent => {
                while *self.fault.lock().unwrap() == Fault::Silent {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return None;
            }
            Fault::Lost if is_third => {
                self.respond(request, replace);
                std::thread::sleep(Duration::from_secs(2));
                return None;
            }
            Fault::Late if is_third => {
                let (store, request) = (Arc::clone(self), request.clone());
                let delay = 1_000 + crate::record::now_ms() * 7_919 % 5_000;
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(delay));
                    store.respond(&request, &Vec::new());
                });
                std::thread::sleep(Duration::from_secs(2));
                return None;
            }
            Fault::Slow => std::thread::sleep(Duration::from_millis(240)),
            _ => std::thread::sleep(Duration::from_millis(4)),
        }
        self.respond(request, replace)
    }

    pub fn listen(
        self: &Arc<Self>,
        address: SocketAddr,
        replace: Replacements,
    ) -> std::io::Result<()> {
        let store = Arc::clone(self);
        serve(address, move |request| store.answer(&request, &replace))
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, to_base64(value.as_bytes()));
        self.changed.notify_all();
    }

    /// Returns the decoded value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state.lock().unwrap().items.get(key).map(|item| from_base64(&item.value))
    }

    fn respond(&self, request: &Request, replace: &Replacements) -> Response {
        match &*request.path {
            "/v1/kv-key" => Some(self.read_key(request.param("key"), replace)),
            "/v1/kv-range" => Some(self.read_range(request, replace)),
            "/v1/kv-watch" => Some(self.watch(request, replace)),
            "/v1/kv-txn" => Some(self.commit(&Json::parse(&request.body).unwrap_or(Json::Null))),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn read_key(&self, key: &str, replace: &Replacements) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let revision = state.revision;
        match state.items.get(key) {
            Some(item) => {
                (200, item.encode(key, &format!(",\"storeRevision\":{revision}"), replace))
            }
            None => (404, format!("{{\"storeRevision\":{revision}}}")),
        }
    }

    fn read_range(&self, request: &Request, replace: &Replacements) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.param("prefix"), request.param("after"));
        let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if page.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            bytes += item.value.len();
            page.push(item.encode(key, "", replace));
        }
        let revision = state.revision;
        let items = page.join(",");
        (200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"storeRevision\":{revision}}}"))
    }

    fn watch(&self, request: &Request, _replace: &Replacements) -> (u16, String) {
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let start = state.history.partition_point(|(_, revision, _)| *revision <= after);
            let events = state.history[start..].iter();
            let events: Vec<&str> = events
                .filter(|(key, ..)| key.starts_with(request.param("prefix")))
                .map(|(.., event)| event.as_str())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let rows = ["expectRev", "setKeys", "remove"].map(|name| body.get(name).list());
        if rows.iter().map(|rows| rows.len()).sum::<usize>() > 32 {
            return (400, "{}".to_owned());
        }
        let mut conflicts = BTreeSet::new();
        for row in rows[0] {
            let key = row.get("key").text();
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            if revision != row.get("revision").number() {
                conflicts.insert(key.to_owned());
            }
        }
        if !conflicts.is_empty() {
            let known = conflicts.iter().filter_map(|key| Some((key, state.items.get(key)?)));
            let items: Vec<_> = known.map(|(k, i)| i.encode(k, "", &Vec::new())).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        // `valueBytes` limits the value itself, not its encoding.
        let too_long = |row: &Json| row.get("value").text().len() / 4 * 3 > (1 << 20) + 2;
        if rows[1].iter().any(too_long) {
            return (400, "{}".to_owned());
        }
        state.revision += 1;
        for row in rows[1] {
            state.write(row.get("key").text(), row.get("value").text().to_owned());
        }
        let revision = state.revision;
        for key in rows[2] {
            state.items.remove(key.text());
            let event = format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}");
            state.history.push((key.text().to_owned(), revision, event));
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        // Only the operator's keys are watched.
        if key.starts_with("op/") {
            let event = item.encode(key, "", &Vec::new());
            self.history.push((key.to_owned(), revision, event));
        }
        self.items.insert(key.to_owned(), item);
    }
}

impl Item {
    fn encode(&self, key: &str, more: &str, replace: &Replacements) -> String {
        let mut value = self.value.clone();
        if !replace.is_empty() && !key.starts_with("op/") {
            let mut bytes = from_base64(&value);
            for (from, to) in replace {
                for at in 0..bytes.len().saturating_sub(from.len() - 1) {
                    if bytes[at..].starts_with(from) {
                        bytes[at..at + from.len()].copy_from_slice(to);
                    }
                }
            }
            value = to_base64(&bytes);
        }
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{},\"created\":{},\
             \"lease\":0{more}}}",
            self.revision, self.created
        )
    }
}
