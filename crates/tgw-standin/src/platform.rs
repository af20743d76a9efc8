//! The stand-in platform: versioned objects with conditional writes and watches. Injectable faults:
//! outage, delay, replies lost after the write took effect, failing watches, compacted history and a
//! limited write rate. Every call is counted; a waiting watch counts as one.

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
use tgw_platform::object::{List, MAX_VALUE_BYTES, Object, Version};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// Maximum number of changes retained for watches.
const MAX_HISTORY: usize = 10_000;
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Faults in effect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuses every call.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Drops the replies of the next writes, this many, after they have taken effect.
    pub lose_replies: u32,
    /// Fails every watch at once.
    pub cut_watches: bool,
    /// Writes allowed per second; zero for no limit.
    pub writes_per_s: u32,
}

/// Number of calls since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Single reads.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Watches, each wait counted as one.
    pub watches: u64,
    /// Attempted writes and deletions.
    pub writes: u64,
    /// Calls refused during an outage or above the write rate.
    pub refused: u64,
}

#[derive(Default)]
struct State {
    version: Version,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Object>,
    /// Changes up to this version have been dropped from the history.
    compacted: Version,
    faults: Faults,
    calls: Calls,
    rate_window: Option<(Instant, u32)>,
}

/// A running stand-in platform.
#[derive(Clone, Default)]
pub struct Platform(Arc<(Mutex<State>, Notify)>);

impl Platform {
    /// Changes the faults in effect.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.0.1.notify_waiters();
    }

    /// Drops all history, so that watches from earlier versions are refused with status 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.version;
        state.history.clear();
        self.0.1.notify_waiters();
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Writes an object unconditionally.
    pub fn write(&self, kind: &str, name: &str, value: Value) -> Version {
        let version = self.lock().write(kind, name, value);
        self.0.1.notify_waiters();
        version
    }

    /// Reads an object without counting a call.
    pub fn read(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().objects.get(&(kind.into(), name.into())).cloned()
    }

    /// Returns all objects of a kind without counting a call.
    pub fn objects_of_kind(&self, kind: &str) -> Vec<Object> {
        self.lock().objects_of_kind(kind)
    }

    /// Serves on `listener` within the current `LocalSet` for as long as it is polled.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let accept = http::accept(listener, |stream| {
            let platform = self.clone();
            let handler = Rc::new(move |request| platform.clone().handle(request));
            http::serve_connection(stream, handler)
        });
        accept.await.map(|_| ())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, 2 * MAX_VALUE_BYTES).collect().await.ok()?.to_bytes();
        let path = head.uri.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let params = Params::parse(head.uri.query().unwrap_or_default());
        if parts == ["faults"] && head.method == Method::PUT {
            return Some(self.replace_faults(&body));
        }
        if let Some(response) = self.check_call(&head.method, parts.first() == Some(&"watch")) {
            return Some(response);
        }
        let slow = self.lock().faults.slow_ms;
        sleep(Duration::from_millis(slow)).await;
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["objects", kind]) => Some(self.list(kind)),
            (&Method::GET, ["objects", kind, name]) => Some(self.get(kind, name)),
            (&Method::GET, ["watch", kind]) => self.watch(kind, &params).await,
            (&Method::PUT, ["objects", kind, name]) => self.put(kind, name, &params, &body),
            (&Method::DELETE, ["objects", kind, name]) => self.delete(kind, name, &params),
            _ => Some(http::json_response(404, "{}")),
        }
    }

    fn replace_faults(&self, body: &[u8]) -> hyper::Response<http_body_util::Full<Bytes>> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set(|f| *f = faults);
                http::json_response(200, "{}")
            }
            Err(e) => http::json_response(400, e.to_string()),
        }
    }

    /// Counts a call; returns a response if the call is refused.
    fn check_call(
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
            return Some(http::json_response(503, "down"));
        }
        if write && !state.count_write() {
            state.calls.refused += 1;
            return Some(http::json_response(429, "too many writes"));
        }
        None
    }

    fn list(&self, kind: &str) -> hyper::Response<http_body_util::Full<Bytes>> {
        let mut state = self.lock();
        state.calls.gets -= 1;
        state.calls.lists += 1;
        let list = List { version: state.version, objects: state.objects_of_kind(kind) };
        http::json_response(200, serde_json::to_string(&list).unwrap_or_default())
    }

    fn get(&self, kind: &str, name: &str) -> hyper::Response<http_body_util::Full<Bytes>> {
        match self.read(kind, name) {
            Some(object) => {
                http::json_response(200, serde_json::to_string(&object).unwrap_or_default())
            }
            None => http::json_response(404, "{}"),
        }
    }

    async fn watch(&self, kind: &str, params: &Params) -> Reply {
        let until = Instant::now() + Duration::from_millis(params.wait_ms).min(MAX_WATCH_WAIT);
        loop {
            let changed = self.0.1.notified();
            {
                let state = self.lock();
                if state.faults.cut_watches || state.faults.down {
                    return None;
                }
                if params.from < state.compacted {
                    return Some(http::json_response(410, "{}"));
                }
                let is_newer = |o: &&Object| o.kind == kind && o.version > params.from;
                let objects: Vec<Object> = state.history.iter().filter(is_newer).cloned().collect();
                if !objects.is_empty() || Instant::now() >= until {
                    let list = List { version: state.version, objects };
                    return Some(http::json_response(
                        200,
                        serde_json::to_string(&list).unwrap_or_default(),
                    ));
                }
            }
            let _ = timeout_at(until, changed).await;
        }
    }

    fn put(&self, kind: &str, name: &str, params: &Params, body: &[u8]) -> Reply {
        if body.len() > MAX_VALUE_BYTES {
            return Some(http::json_response(413, "{}"));
        }
        let Ok(value) = serde_json::from_slice(body) else {
            return Some(http::json_response(400, "{}"));
        };
        self.change(kind, name, params, value)
    }

    fn delete(&self, kind: &str, name: &str, params: &Params) -> Reply {
        self.change(kind, name, params, Value::Null)
    }

    fn change(&self, kind: &str, name: &str, params: &Params, value: Value) -> Reply {
        let mut state = self.lock();
        let current = state.objects.get(&(kind.into(), name.into())).map_or(0, |o| o.version);
        if current != params.expected {
            return Some(http::json_response(409, json!({ "version": current }).to_string()));
        }
        let version = state.write(kind, name, value);
        let reply_lost = state.faults.lose_replies > 0;
        if reply_lost {
            state.faults.lose_replies -= 1;
        }
        drop(state);
        self.0.1.notify_waiters();
        (!reply_lost).then(|| http::json_response(200, json!({ "version": version }).to_string()))
    }
}

impl State {
    fn objects_of_kind(&self, kind: &str) -> Vec<Object> {
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
        if self.history.len() > MAX_HISTORY {
            let dropped = self.history.remove(0);
            self.compacted = dropped.version;
        }
        self.version
    }

    /// Counts a write; returns whether it is within the write rate.
    fn count_write(&mut self) -> bool {
        if self.faults.writes_per_s == 0 {
            return true;
        }
        let now = Instant::now();
        let (start, used) = self.rate_window.unwrap_or((now, 0));
        let new_window = now - start >= Duration::from_secs(1);
        let (start, used) = if new_window { (now, 0) } else { (start, used) };
        self.rate_window = Some((start, used + 1));
        used < self.faults.writes_per_s
    }
}

/// Query parameters of a call.
#[derive(Default)]
struct Params {
    expected: Version,
    from: Version,
    wait_ms: u64,
}

impl Params {
    fn parse(text: &str) -> Self {
        let mut params = Self::default();
        for (name, value) in text.split('&').filter_map(|p| p.split_once('=')) {
            let number = value.parse().unwrap_or(0);
            match name {
                "if" => params.expected = number,
                "from" => params.from = number,
                "wait_ms" => params.wait_ms = number,
                _ => {}
            }
        }
        params
    }
}
