//! The stand-in platform: objects with versions, conditional writes and watches, with its faults:
//! down, slow, replies lost after the write took effect, watches cut, history compacted, and the
//! rates that it allows. Every call is counted; a waiting watch counts as one.

use crate::http::{self, Reply};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tgw_platform::object::{LIMIT_BYTES, List, Object, Version};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// Changes that are kept for watches.
const HISTORY: usize = 10_000;
/// The longest that a watch waits.
const LONGEST_WATCH: Duration = Duration::from_secs(60);

/// What is wrong with the platform now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// It refuses every call.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The replies to this many writes to come are lost after the write took effect.
    pub lose_replies: u32,
    /// Watches end at once, and with an error.
    pub cut_watches: bool,
    /// Writes allowed in one second; zero for no limit.
    pub writes_per_s: u32,
}

/// Calls counted since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Single reads.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Watches, each wait counted as one.
    pub watches: u64,
    /// Writes and deletions that were tried.
    pub writes: u64,
    /// Calls refused while down or over the rate.
    pub refused: u64,
}

#[derive(Default)]
struct State {
    version: Version,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Object>,
    /// Changes up to this version are no longer kept.
    compacted: Version,
    faults: Faults,
    calls: Calls,
    window: Option<(Instant, u32)>,
}

/// A running stand-in platform.
#[derive(Clone, Default)]
pub struct Platform(Arc<(Mutex<State>, Notify)>);

impl Platform {
    /// Changes what is wrong.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.0.1.notify_waiters();
    }

    /// Forgets all history, so that watches from earlier versions are refused as gone.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.version;
        state.history.clear();
        self.0.1.notify_waiters();
    }

    /// Calls counted since the start.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Writes an object whatever its version, as the platform's owner does.
    pub fn write(&self, kind: &str, name: &str, value: Value) -> Version {
        let version = self.lock().write(kind, name, value);
        self.0.1.notify_waiters();
        version
    }

    /// Reads an object without counting a call.
    pub fn read(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().objects.get(&(kind.into(), name.into())).cloned()
    }

    /// All objects of a kind, without counting a call.
    pub fn all(&self, kind: &str) -> Vec<Object> {
        self.lock().of(kind)
    }

    /// Serves on `listener` within the current `LocalSet` for as long as it is polled.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let accept = http::accept(listener, |stream| {
            let this = self.clone();
            let handler = Rc::new(move |request| this.clone().handle(request));
            http::connection(stream, handler)
        });
        accept.await.map(|_| ())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, 2 * LIMIT_BYTES).collect().await.ok()?.to_bytes();
        let path = head.uri.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let query = Query::read(head.uri.query().unwrap_or_default());
        if parts == ["faults"] && head.method == Method::PUT {
            return Some(self.set_faults(&body));
        }
        if let Some(refusal) = self.admit(&head.method, parts.first() == Some(&"watch")) {
            return Some(refusal);
        }
        let slow = self.lock().faults.slow_ms;
        sleep(Duration::from_millis(slow)).await;
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["objects", kind]) => Some(self.list(kind)),
            (&Method::GET, ["objects", kind, name]) => Some(self.get(kind, name)),
            (&Method::GET, ["watch", kind]) => self.watch(kind, &query).await,
            (&Method::PUT, ["objects", kind, name]) => self.put(kind, name, &query, &body),
            (&Method::DELETE, ["objects", kind, name]) => self.delete(kind, name, &query),
            _ => Some(http::json(404, "{}")),
        }
    }

    fn set_faults(&self, body: &[u8]) -> hyper::Response<http_body_util::Full<Bytes>> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set(|f| *f = faults);
                http::json(200, "{}")
            }
            Err(e) => http::json(400, e.to_string()),
        }
    }

    /// Counts a call; a refusal if it may not be made now.
    fn admit(
        &self,
        method: &Method,
        watch: bool,
    ) -> Option<hyper::Response<http_body_util::Full<Bytes>>> {
        let mut state = self.lock();
        let write = *method != Method::GET;
        match (write, watch) {
            (true, _) => state.calls.writes += 1,
            (false, true) => state.calls.watches += 1,
            (false, false) => state.calls.gets += 1,
        }
        if state.faults.down {
            state.calls.refused += 1;
            return Some(http::json(503, "down"));
        }
        if write && !state.within_rate() {
            state.calls.refused += 1;
            return Some(http::json(429, "too many writes"));
        }
        None
    }

    fn list(&self, kind: &str) -> hyper::Response<http_body_util::Full<Bytes>> {
        let mut state = self.lock();
        state.calls.gets -= 1;
        state.calls.lists += 1;
        let list = List { version: state.version, objects: state.of(kind) };
        http::json(200, serde_json::to_string(&list).unwrap_or_default())
    }

    fn get(&self, kind: &str, name: &str) -> hyper::Response<http_body_util::Full<Bytes>> {
        match self.read(kind, name) {
            Some(object) => http::json(200, serde_json::to_string(&object).unwrap_or_default()),
            None => http::json(404, "{}"),
        }
    }

    async fn watch(&self, kind: &str, query: &Query) -> Reply {
        let until = Instant::now() + Duration::from_millis(query.wait_ms).min(LONGEST_WATCH);
        loop {
            let changed = self.0.1.notified();
            {
                let state = self.lock();
                if state.faults.cut_watches || state.faults.down {
                    return None;
                }
                if query.from < state.compacted {
                    return Some(http::json(410, "{}"));
                }
                let new = |o: &&Object| o.kind == kind && o.version > query.from;
                let objects: Vec<Object> = state.history.iter().filter(new).cloned().collect();
                if !objects.is_empty() || Instant::now() >= until {
                    let list = List { version: state.version, objects };
                    return Some(http::json(200, serde_json::to_string(&list).unwrap_or_default()));
                }
            }
            let _ = timeout_at(until, changed).await;
        }
    }

    fn put(&self, kind: &str, name: &str, query: &Query, body: &[u8]) -> Reply {
        if body.len() > LIMIT_BYTES {
            return Some(http::json(413, "{}"));
        }
        let Ok(value) = serde_json::from_slice(body) else {
            return Some(http::json(400, "{}"));
        };
        self.change(kind, name, query, value)
    }

    fn delete(&self, kind: &str, name: &str, query: &Query) -> Reply {
        self.change(kind, name, query, Value::Null)
    }

    fn change(&self, kind: &str, name: &str, query: &Query, value: Value) -> Reply {
        let mut state = self.lock();
        let current = state.objects.get(&(kind.into(), name.into())).map_or(0, |o| o.version);
        if current != query.expected {
            return Some(http::json(409, json!({ "version": current }).to_string()));
        }
        let version = state.write(kind, name, value);
        let lost = state.faults.lose_replies > 0;
        if lost {
            state.faults.lose_replies -= 1;
        }
        drop(state);
        self.0.1.notify_waiters();
        (!lost).then(|| http::json(200, json!({ "version": version }).to_string()))
    }
}

impl State {
    fn of(&self, kind: &str) -> Vec<Object> {
        self.objects.values().filter(|o| o.kind == kind).cloned().collect()
    }

    fn write(&mut self, kind: &str, name: &str, value: Value) -> Version {
        self.version += 1;
        let key = (kind.to_owned(), name.to_owned());
        let object = Object { kind: kind.into(), name: name.into(), version: self.version, value };
        if object.value.is_null() {
            self.objects.remove(&key);
        } else {
            self.objects.insert(key, object.clone());
        }
        self.history.push(object);
        if self.history.len() > HISTORY {
            let dropped = self.history.remove(0);
            self.compacted = dropped.version;
        }
        self.version
    }

    fn within_rate(&mut self) -> bool {
        if self.faults.writes_per_s == 0 {
            return true;
        }
        let now = Instant::now();
        let (start, used) = self.window.unwrap_or((now, 0));
        let fresh = now - start >= Duration::from_secs(1);
        let (start, used) = if fresh { (now, 0) } else { (start, used) };
        self.window = Some((start, used + 1));
        used < self.faults.writes_per_s
    }
}

/// The parameters of a call.
#[derive(Default)]
struct Query {
    expected: Version,
    from: Version,
    wait_ms: u64,
}

impl Query {
    fn read(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|p| p.split_once('=')) {
            let number = value.parse().unwrap_or(0);
            match name {
                "if" => query.expected = number,
                "from" => query.from = number,
                "wait_ms" => query.wait_ms = number,
                _ => {}
            }
        }
        query
    }
}
