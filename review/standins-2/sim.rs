//! Stand-ins for the scripts in `review/`: the platform's store, leafs, requesters, and the start of gateway processes.
//! Only the standard library is used; `review/build-2.sh` builds it with `rustc`.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod cases;

/// Time since the start of the script.
pub fn clock() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

pub fn wait_until(at: f64) {
    let at = Duration::from_secs_f64(at);
    let now = clock();
    if at > now {
        thread::sleep(at - now);
    }
}

/// Lines for `record.txt`, each with its time.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<(Duration, String)>>>);

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        self.0.lock().unwrap().push((clock(), line.into()));
    }
    /// Adds each request at the time at which it was sent: its answer (0 for a connection that ended without one), and the
    /// leafs that ran it.
    pub fn requests(&self, answers: &[Answered], runs: &[Run]) {
        let mut ran: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            ran.entry(&run.id).or_default().push(run);
        }
        let mut lines = self.0.lock().unwrap();
        for a in answers {
            let after = |at: Duration| at.saturating_sub(a.sent).as_millis();
            let runs = ran.get(a.id.as_str()).into_iter().flatten();
            let by: Vec<String> = runs
                .map(|r| format!("{} ({}) after {} ms", r.leaf, r.service, after(r.at)))
                .collect();
            let by = if by.is_empty() { "nobody".to_owned() } else { by.join(", ") };
            let (id, vm, status) = (a.id.trim_start_matches('0'), &a.vm, a.status);
            let answered = after(a.answered);
            let line = format!("{id} to {vm}: {status} after {answered} ms, run by {by}");
            lines.push((a.sent, line));
        }
    }
    pub fn write(&self, path: &str) {
        let mut lines = self.0.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, l)| format!("{:9.3} s  {l}\n", at.as_secs_f64())).collect();
        fs::write(path, text).expect("record.txt is writable");
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

// ---------------------------------------------------------------- JSON, as far as the gateway's writes need it

/// The text of the value of `key` in an object, found at any depth.
pub fn json_field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = text[at..].trim_start();
    let mut depth = 0;
    let mut quoted = false;
    let mut escaped = false;
    for (i, c) in rest.char_indices() {
        if quoted {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => {
                    quoted = false;
                    if depth == 0 {
                        return Some(&rest[..=i]);
                    }
                }
                _ => {}
            }
            continue;
        }
        match c {
            '"' => quoted = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return Some(rest[..i].trim_end()),
            '}' | ']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=i]);
                }
            }
            ',' if depth == 0 => return Some(rest[..i].trim_end()),
            _ => {}
        }
    }
    Some(rest)
}

pub fn unquote(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Change {
    at: Duration,
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was removed.
    spec: Option<String>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    writes: Vec<Change>,
}

impl StoreState {
    /// The objects of a kind as of a time.
    fn objects(&self, kind: &str, at: Duration) -> BTreeMap<String, (u64, String)> {
        let mut objects = BTreeMap::new();
        for w in self.writes.iter().filter(|w| w.kind == kind && w.at <= at) {
            match &w.spec {
                Some(spec) => objects.insert(w.name.clone(), (w.revision, spec.clone())),
                None => objects.remove(&w.name),
            };
        }
        objects
    }
    fn write(&mut self, kind: &str, name: &str, spec: Option<&str>) -> u64 {
        self.revision += 1;
        let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.map(str::to_owned));
        self.writes.push(Change { at: clock(), revision: self.revision, kind, name, spec });
        self.revision
    }
}

/// The store: linearizable, but for reads with `stale_ok`, which are `stale` old.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: String,
    stale: Duration,
    record: Record,
    /// Each call is answered with 503, which means that nothing was done.
    down: Arc<AtomicBool>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"delete_requested\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(record: &Record, stale: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap().to_string();
        let store = Self {
            state: Arc::default(),
            addr,
            stale,
            record: record.clone(),
            down: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.state.1.notify_all();
        self.record.add(if down { "the store is down (503)" } else { "the store is back" });
    }

    /// Writes an object as the operator or a leaf does; the return is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().unwrap().write(kind, name, Some(spec));
        self.state.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().write(kind, name, None);
        self.state.1.notify_all();
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        self.state.0.lock().unwrap().objects(kind, clock()).into_keys().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            if !respond(&mut out, status, "Content-Type: application/json\r\n", body.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        thread::sleep(Duration::from_millis(4));
        if self.down.load(Ordering::SeqCst) {
            return (503, "null".into());
        }
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/api/objects/") else { return (404, "null".into()) };
        let path = path.replace("%2D", "-").replace("%5F", "_").replace("%2E", ".");
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let now = clock();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, path.split_once('/')) {
            ("GET", None) if query.contains_key("watch") => {
                let from: u64 = query["watch"].parse().unwrap_or(0);
                let wait = query.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                let until = now + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .writes
                        .iter()
                        .filter(|w| w.kind == path && w.revision > from)
                        .map(|w| {
                            let spec = w.spec.as_deref().unwrap_or("{}");
                            let object = object(&w.name, w.revision, spec);
                            format!("{{\"object\":{object},\"removed\":{}}}", w.spec.is_none())
                        })
                        .collect();
                    let now = clock();
                    if self.down.load(Ordering::SeqCst) {
                        return (503, "null".into());
                    }
                    if !events.is_empty() || now >= until {
                        let as_of = state.revision;
                        return (
                            200,
                            format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")),
                        );
                    }
                    state = changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("GET", None) => {
                let stale = query.contains_key("stale_ok");
                let at = if stale { now.saturating_sub(self.stale) } else { now };
                let as_of = state.writes.iter().filter(|w| w.at <= at).map(|w| w.revision).max();
                let objects = state.objects(&path, at);
                let items: Vec<String> =
                    objects.iter().map(|(n, (r, s))| object(n, *r, s)).collect();
                let as_of = as_of.unwrap_or(0);
                self.record.add(format!(
                    "store: list of {path}{}: {} objects as of {as_of}",
                    if stale { " (stale_ok)" } else { "" },
                    items.len()
                ));
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"))
            }
            ("GET", Some((kind, name))) => match state.objects(kind, now).get(name) {
                Some((revision, spec)) => (200, object(name, *revision, spec)),
                None => (404, "null".into()),
            },
            ("POST", None) => {
                let name = unquote(json_field(&body, "name").unwrap_or(""));
                if let Some((revision, spec)) = state.objects(&path, now).get(&name) {
                    return (409, object(&name, *revision, spec));
                }
                let spec = json_field(&body, "spec").unwrap_or("null").to_owned();
                let revision = state.write(&path, &name, Some(&spec));
                changed.notify_all();
                self.record.add(format!("store: {path}/{name} created: {spec}"));
                (200, object(&name, revision, &spec))
            }
            _ => (405, "null".into()),
        }
    }
}

// ---------------------------------------------------------------- the way from one machine to the store

/// A proxy between one machine and the store. While it is cut, it passes nothing on in either direction; the connections of
/// that time are reset at its end.
#[derive(Clone)]
pub struct Link {
    pub addr: String,
    cut: Arc<AtomicBool>,
    /// When the machine last sent something.
    sent: Arc<Mutex<Vec<Duration>>>,
    /// Both ends of the open connections.
    open: Arc<Mutex<Vec<(TcpStream, TcpStream)>>>,
}

impl Link {
    pub fn start(store: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap().to_string();
        let link = Self { addr, cut: Arc::default(), sent: Arc::default(), open: Arc::default() };
        let (serving, store) = (link.clone(), store.to_owned());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(&store) else { continue };
                let ends = [&near, &far].map(|end| end.try_clone().unwrap());
                ends.iter().for_each(|end| drop(end.set_nodelay(true)));
                let [near_too, far_too] = ends;
                for (from, to, count) in [(&near, &far, true), (&far, &near, false)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let (cut, sent) = (serving.cut.clone(), serving.sent.clone());
                    thread::spawn(move || forward(from, to, &cut, count.then_some(&*sent)));
                }
                serving.open.lock().unwrap().push((near_too, far_too));
            }
        });
        link
    }

    /// The number of calls that the machine has made in the last 3 s.
    pub fn calls_of_late(&self) -> usize {
        let since = clock().saturating_sub(Duration::from_secs(3));
        self.sent.lock().unwrap().iter().filter(|at| **at >= since).count()
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if !cut {
            for (near, far) in self.open.lock().unwrap().drain(..) {
                let _ = near.shutdown(std::net::Shutdown::Both);
                let _ = far.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &AtomicBool,
    sent: Option<&Mutex<Vec<Duration>>>,
) {
    let mut buffer = [0; 16 << 10];
    while let Ok(length) = from.read(&mut buffer) {
        if let Some(sent) = sent {
            sent.lock().unwrap().push(clock());
        }
        while cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

// ---------------------------------------------------------------- leafs

#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    /// The leaf that ran it.
    pub leaf: String,
    pub id: String,
    pub service: String,
    pub tenant: String,
    pub target: String,
}

/// A sound leaf: runs what is meant for it, and answers with its seal.
#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub addr: String,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Leaf {
    pub fn start(service: &str, id: &str, work: Duration, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap().to_string();
        let leaf = Self { id: id.into(), service: service.into(), addr, work, runs: runs.clone() };
        let serving = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = serving.clone();
                thread::spawn(move || leaf.serve(stream));
            }
        });
        leaf
    }

    /// The leaf's entry in the store.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"config_version\":\"v1\",\
             \"max_concurrency\":16,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1}}",
            self.service, self.addr
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let text = |name| request.header(name).unwrap_or("").to_owned();
            let id = text("Tanagergw-Attempt-Id");
            let expected = request.header("Tanagergw-Expected-Instance");
            if expected.is_some_and(|expected| expected != self.id) || id.is_empty() {
                let status = if id.is_empty() { 400 } else { 421 };
                if !respond(&mut out, status, "Tanagergw-Not-Executed: 1\r\n", b"") {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                at: clock(),
                leaf: self.id.clone(),
                id: id.clone(),
                service: self.service.clone(),
                tenant: text("Tanagergw-Tenant-Id"),
                target: request.first.split(' ').nth(1).unwrap_or("").to_owned(),
            });
            thread::sleep(self.work);
            let headers = format!(
                "Tanagergw-Attempt-Id: {id}\r\nTanagergw-Response-Seal: {}.{id}\r\n\
                 Keep-Alive: timeout=10\r\n",
                self.id
            );
            if !respond(&mut out, 200, &headers, b"answer") {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- gateway processes

/// The ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub peers: u16,
}

impl Ports {
    /// Ports that are free on the given addresses.
    pub fn find(ips: &[String]) -> Self {
        let mut base = 21_000 + (std::process::id() % 2_000) as u16 * 10;
        loop {
            let free = |port: u16| {
                ips.iter().all(|ip| {
                    TcpListener::bind((ip.as_str(), port)).is_ok()
                        && UdpSocket::bind((ip.as_str(), port)).is_ok()
                })
            };
            if (base..base + 4).all(free) {
                return Self { front: base, ready: base + 1, control: base + 2, peers: base + 3 };
            }
            base = if base > 45_000 { 21_000 } else { base + 10 };
        }
    }
}

pub struct Fleet {
    pub ports: Ports,
    pub store: String,
    pub seeds: Vec<String>,
    pub zones: Vec<(String, String)>,
    pub params: String,
    pub binary: String,
    pub dir: PathBuf,
    pub record: Record,
}

/// A gateway process; it is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    child: Child,
    record: Record,
}

impl Fleet {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(&self, name: &str, ip: &str, zone: &str, bootstrap: bool) -> Gateway {
        self.start_behind(&self.store, name, ip, zone, bootstrap)
    }

    /// The same, with the address at which this machine reaches the store.
    pub fn start_behind(
        &self,
        store: &str,
        name: &str,
        ip: &str,
        zone: &str,
        bootstrap: bool,
    ) -> Gateway {
        let Ports { front, ready, control, peers } = self.ports;
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{seed}:{control}\"")).collect();
        let zones: String = self.zones.iter().map(|(z, r)| format!("{z} = \"{r}\"\n")).collect();
        let region = &self.zones.iter().find(|(z, _)| z == zone).expect("a known zone").1;
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"{region}\"\ninternal_port_range = [{peers},{peers}]\n\
             seed_nodes = [{}]\nbootstrap = {bootstrap}\nheartbeat_ms = 1200\n\
             [zones]\n{zones}[listen_addrs]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\n[limits]\ncpu_share = 0.25\ncpu_cores = 1\n\
             memory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [contract_params]\n{}\n[platform]\naddress = \"{}\"\nform = \"objects\"\n\
             writes_per_s = 400\nreads_per_s = 2000\nretention_s = 20\n",
            seeds.join(","),
            self.params,
            store
        );
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the temporary folder is writable");
        let log = fs::File::create(self.dir.join(format!("{name}.log"))).unwrap();
        let child = Command::new(&self.binary)
            .arg("gateway")
            .env_clear()
            .env("TANAGERGW_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("cannot start the gateway: {error}")));
        STARTED.lock().unwrap().push(child.id());
        self.record.add(format!("{name} ({ip}) is started, pid {}", child.id()));
        Gateway { name: name.into(), ip: ip.into(), child, record: self.record.clone() }
    }
}

impl Gateway {
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        self.record.add(format!("{} gets SIG{signal}", self.name));
    }
    /// Kills it for good.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        self.record.add(format!("{} is killed", self.name));
    }
    pub fn is_ready(&self, ports: Ports) -> bool {
        let Ok(stream) = TcpStream::connect((self.ip.as_str(), ports.ready)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut out = stream.try_clone().unwrap();
        let text = format!("GET /api/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
        let mut reader = BufReader::new(stream);
        out.write_all(text.as_bytes()).is_ok()
            && read_message(&mut reader).is_some_and(|m| m.status() == 200)
    }
    pub fn wait_ready(&self, ports: Ports, until: f64) {
        while !self.is_ready(ports) {
            if clock().as_secs_f64() > until {
                cannot_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add(format!("{} is ready", self.name));
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

// ---------------------------------------------------------------- requesters

#[derive(Clone, Debug)]
pub struct Answered {
    pub id: String,
    pub vm: String,
    pub sent: Duration,
    pub answered: Duration,
    /// The status; zero if the connection ended without an answer.
    pub status: u16,
    pub seal: String,
}

/// Requesters that send `per_s` requests a second to one machine, on kept connections.
pub struct Requesters {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Traffic {
    pub vm: String,
    pub addr: String,
    pub host: String,
    pub target: String,
    pub key: Option<String>,
    pub per_s: f64,
    pub workers: usize,
}

impl Requesters {
    pub fn start(traffic: Traffic, answers: &Arc<Mutex<Vec<Answered>>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let traffic = Arc::new(traffic);
        let pause = Duration::from_secs_f64(traffic.workers as f64 / traffic.per_s);
        let threads = (0..traffic.workers).map(|worker| {
            let (stop, traffic, answers) = (stop.clone(), traffic.clone(), answers.clone());
            thread::spawn(move || {
                thread::sleep(pause.mul_f64(worker as f64 / traffic.workers as f64));
                let mut next = clock();
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let answered = request(&traffic, &mut connection);
                    answers.lock().unwrap().push(answered);
                    next += pause;
                    let now = clock();
                    if next > now {
                        thread::sleep(next - now);
                    } else {
                        next = now;
                    }
                }
            })
        });
        Self { stop: stop.clone(), threads: threads.collect() }
    }
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for t in self.threads {
            let _ = t.join();
        }
    }
}

type Connection = Option<(TcpStream, BufReader<TcpStream>)>;

pub fn request(traffic: &Traffic, connection: &mut Connection) -> Answered {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let sent = clock();
    let failed = |id: String| Answered {
        id,
        vm: traffic.vm.clone(),
        sent,
        answered: clock(),
        status: 0,
        seal: String::new(),
    };
    if connection.is_none() {
        let Ok(stream) = TcpStream::connect(&traffic.addr) else { return failed(id) };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let reader = BufReader::new(stream.try_clone().unwrap());
        *connection = Some((stream, reader));
    }
    let (out, reader) = connection.as_mut().unwrap();
    let key = traffic.key.as_ref().map(|k| format!("Authorization: Token {k}\r\n"));
    let text = format!(
        "GET {} HTTP/1.1\r\nHost: {}\r\nTanagergw-Attempt-Id: {id}\r\n\
         Tanagergw-Deadline-Ms: 2000\r\n{}\r\n",
        traffic.target,
        traffic.host,
        key.unwrap_or_default()
    );
    let answer = out.write_all(text.as_bytes()).ok().and_then(|()| read_message(reader));
    let Some(answer) = answer else {
        *connection = None;
        return failed(id);
    };
    if answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        *connection = None;
    }
    Answered {
        id,
        vm: traffic.vm.clone(),
        sent,
        answered: clock(),
        status: answer.status(),
        seal: answer.header("Tanagergw-Response-Seal").unwrap_or("").to_owned(),
    }
}

// ---------------------------------------------------------------- ends

/// The processes that this script has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script because the case could not run, and all processes that it has started.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    for pid in STARTED.lock().unwrap().iter() {
        let _ =
            Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    std::process::exit(2)
}

/// Longest time that a script takes.
const LIMIT: Duration = Duration::from_secs(118);

/// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
pub fn main() {
    clock();
    let args: Vec<String> = std::env::args().collect();
    let [_, case, binary, record_path] = &args[..] else {
        cannot_run("usage: sim CASE GATEWAY RECORD");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let dir = std::env::temp_dir().join(format!("tanagergw-review-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap_or_else(|e| cannot_run(&e.to_string()));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        cannot_run("it took too long");
    });
    let record = Record::default();
    record.add(format!("case {case}, trouble {trouble}"));
    let broken = cases::run(case, binary, &dir, &record, trouble);
    record.add(if broken { "the rule was broken" } else { "the rule held" });
    record.write(record_path);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&dir);
    } else {
        eprintln!("logs are in {}", dir.display());
    }
    std::process::exit(i32::from(broken));
}
