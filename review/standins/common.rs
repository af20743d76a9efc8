//! Stand-ins for the users' platform, on loopback: the metadata store, leafs, and requesters. They follow
//! PROTOCOL.md and the news pages. Only the standard library is used.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Locks a mutex; a panic elsewhere ends the whole program, so a poisoned lock is not expected.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{at:>7} ms  {text}");
    }
}

/// The head of an HTTP/1.1 message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.word(1)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, spare: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 4096];
    let end = loop {
        if let Some(at) = spare.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            let clean = spare.is_empty();
            return if clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        spare.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&spare[..end]).into_owned();
    spare.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message =
        Message { first: lines.next().unwrap_or_default().into(), ..Message::default() };
    let fields = lines.filter_map(|line| line.split_once(':'));
    message.headers = fields.map(|(name, value)| (name.into(), value.trim().into())).collect();
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while spare.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        spare.extend_from_slice(&chunk[..count]);
    }
    message.body = spare.drain(..length).collect();
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(&[text.as_bytes(), body].concat())
}

/// Serves connections with one thread each.
fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // Requesters and gateways close connections at any time.
                let _ = handler(stream);
            });
        }
    });
}

struct Change {
    kind: String,
    revision: u64,
    event: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Objects as JSON by kind and name.
    objects: BTreeMap<(String, String), String>,
    history: Vec<Change>,
}

/// The platform's metadata store. Its answers are linearizable, and it loses nothing.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = Self { state: Arc::default(), addr };
        let handler = store.clone();
        serve(listener, move |stream| handler.connection(stream));
        Ok(store)
    }

    /// Writes an object, as the operator or a leaf does. Returns its revision: the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
             \"delete_requested\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"object\":{object},\"removed\":false}}");
        state.objects.insert((kind.into(), name.into()), object);
        state.history.push(Change { kind: kind.into(), revision, event });
        changed.notify_all();
        revision
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.state.0);
        let keys = state.objects.keys().filter(|(of, _)| of == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut spare = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut spare)? {
            let (status, body) = self.answer(&request);
            let kind = [("Content-Type", "application/json")];
            write_response(&mut stream, status, &kind, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "null".into());
        };
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .clone()
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match (request.method(), path.split_once('/')) {
            ("GET", None) => match number("watch") {
                Some(from) => ("200 OK", self.watch(path, from, number("wait_ms").unwrap_or(0))),
                None => ("200 OK", self.list(path)),
            },
            ("GET", Some((kind, name))) => {
                let state = lock(&self.state.0);
                match state.objects.get(&(kind.into(), name.replace("%2D", "-"))) {
                    Some(object) => ("200 OK", object.clone()),
                    None => ("404 Not Found", "null".into()),
                }
            }
            ("POST", None) => self.create(path, &request.body),
            _ => ("405 Method Not Allowed", "null".into()),
        }
    }

    fn create(&self, kind: &str, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body).into_owned();
        let after = |mark: &str| text.split_once(mark).map(|(_, rest)| rest.to_owned());
        let name = after("\"name\":\"").and_then(|rest| rest.split('"').next().map(str::to_owned));
        let spec = after("\"spec\":").map(|rest| rest[..rest.len() - 1].to_owned());
        let (Some(name), Some(spec)) = (name, spec) else {
            return ("400 Bad Request", "null".into());
        };
        let key = (kind.to_owned(), name.clone());
        if let Some(object) = lock(&self.state.0).objects.get(&key) {
            return ("409 Conflict", object.clone());
        }
        self.put(kind, &name, &spec);
        let object = lock(&self.state.0).objects.get(&key).cloned();
        ("200 OK", object.unwrap_or_default())
    }

    fn list(&self, kind: &str) -> String {
        let state = lock(&self.state.0);
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<&str> = objects.map(|(_, object)| object.as_str()).collect();
        let (items, as_of) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}")
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        loop {
            let newer = state.history.iter().filter(|c| c.kind == kind && c.revision > from);
            let events: Vec<&str> = newer.map(|change| change.event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
            }
            let waited = changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }
}

/// One execution of a request at a leaf.
#[derive(Clone, Debug)]
pub struct Run {
    pub leaf: String,
    pub service: String,
    pub attempt: String,
    /// Method, path and query.
    pub line: String,
    /// The tenant that the leaf was told, if any.
    pub tenant: Option<String>,
    /// Whether the requester's key reached the leaf.
    pub has_key: bool,
    pub at: Instant,
}

/// A sound leaf of one service.
#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    seals: Arc<AtomicU64>,
    beats: Arc<AtomicU64>,
    /// Until when it is cold.
    cold_until: Arc<Mutex<Option<Instant>>>,
}

impl Leaf {
    pub fn start(id: &str, service: &str, zone: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr()?,
            runs: Arc::default(),
            seals: Arc::default(),
            beats: Arc::default(),
            cold_until: Arc::default(),
        };
        let handler = leaf.clone();
        serve(listener, move |stream| handler.connection(stream));
        Ok(leaf)
    }

    /// Makes the leaf cold for `span`.
    pub fn make_cold(&self, span: Duration) {
        *lock(&self.cold_until) = Some(Instant::now() + span);
    }

    /// The leaf's next entry in the store.
    pub fn entry(&self) -> String {
        let left = lock(&self.cold_until)
            .map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis());
        let sequence = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        let Self { service, addr, zone, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"config_version\":\"v1\",\"max_concurrency\":4,\"state\":\"ready\",\
             \"warmup_left_ms\":{left},\"sequence\":{sequence}}}"
        )
    }

    /// All executions so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut spare = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut spare)? {
            self.answer(&mut stream, &request)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        const NOT_EXECUTED: (&str, &str) = ("Tanagergw-Not-Executed", "1");
        if request.target() == "/health" {
            return write_response(stream, "200 OK", &[("Tanagergw-Instance-Id", &self.id)], b"");
        }
        if request.header("Tanagergw-Expected-Instance").is_some_and(|id| id != self.id) {
            return write_response(stream, "421 Misdirected Request", &[NOT_EXECUTED], b"");
        }
        let Some(attempt) = request.header("Tanagergw-Attempt-Id") else {
            return write_response(stream, "400 Bad Request", &[NOT_EXECUTED], b"");
        };
        lock(&self.runs).push(Run {
            leaf: self.id.clone(),
            service: self.service.clone(),
            attempt: attempt.into(),
            line: format!("{} {}", request.method(), request.target()),
            tenant: request.header("Tanagergw-Tenant-Id").map(str::to_owned),
            has_key: request.header("Authorization").is_some(),
            at: Instant::now(),
        });
        thread::sleep(Duration::from_millis(2));
        let number = self.seals.fetch_add(1, Ordering::Relaxed);
        let seal = format!("{}.{number}", self.id);
        let headers =
            [("Tanagergw-Response-Seal", seal.as_str()), ("Tanagergw-Attempt-Id", attempt)];
        let body = format!("{} of {} answers {attempt}", self.id, self.service);
        write_response(stream, "200 OK", &headers, body.as_bytes())
    }
}

/// Has leafs write their entries each `beat`, as long as the program runs.
pub fn keep_registered(store: &Store, leafs: &[Leaf], beat: Duration) {
    let (store, leafs) = (store.clone(), leafs.to_vec());
    for leaf in &leafs {
        store.put("servers", &leaf.id, &leaf.entry());
    }
    thread::spawn(move || {
        loop {
            thread::sleep(beat);
            for leaf in &leafs {
                store.put("servers", &leaf.id, &leaf.entry());
            }
        }
    });
}

/// A front VM of the deployment: one process of the deploy file, at an address of its own.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// The ports of all VMs, which are the same on each.
#[derive(Copy, Clone)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

impl Ports {
    /// Ports that are free on all of `ips`.
    pub fn free(ips: &[Ipv4Addr]) -> io::Result<Self> {
        let mut found = Vec::new();
        let mut held = Vec::new();
        for _ in 0..200 {
            let probe = TcpListener::bind("127.0.0.1:0")?;
            let port = probe.local_addr()?.port();
            held.push(probe);
            let is_free = |ip: &Ipv4Addr| {
                let at = SocketAddrV4::new(*ip, port);
                TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
            };
            if ips.iter().all(is_free) {
                found.push(port);
            }
            if let [front, ready, control, internal] = found[..] {
                return Ok(Self { front, ready, control, internal });
            }
        }
        Err(io::Error::other("no free ports"))
    }
}

/// A zone and its region.
pub type Zone = (&'static str, &'static str);

/// What the platform's settings files of a deployment have in common.
pub struct Deployment {
    pub dir: PathBuf,
    pub gateway: PathBuf,
    pub ips: Vec<Ipv4Addr>,
    /// The VMs that the settings name as seeds.
    pub seeds: Vec<usize>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    pub ports: Ports,
    pub zones: Vec<Zone>,
    pub store: SocketAddr,
    pub active_contracts: &'static str,
}

impl Deployment {
    /// Starts the process of VM `index` with a settings file as the platform writes it.
    pub fn start(&self, index: usize) -> io::Result<Vm> {
        let Self { dir, gateway, ips, seeds, bootstrap, ports, zones, store, active_contracts } =
            self;
        let (ip, (zone, region)) = (ips[index], zones[index % zones.len()]);
        let name = format!("front-{zone}-{}", index / zones.len() + 1);
        let Ports { front, ready, control, internal } = *ports;
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}:{control}\"", ips[*seed])).collect();
        let places: String = zones.iter().map(|(z, r)| format!("{z} = \"{r}\"\n")).collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internal_port_range = [{internal},{internal}]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             loss_counted = false\ndiscovery_source = \"platform\"\nentry_type = \"vip\"\n\
             heartbeat_ms = 1200\nactive_contracts = [{active_contracts}]\n[zones]\n{places}\
             [listen_addrs]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\n[limits]\ncpu_share = 0.25\ncpu_cores = 1\n\
             memory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[contract_params]\n\
             seed_delay_s = 3\naddr_reuse_s = 2\ncontact_ms = 5000\nack_ms = 6000\nsync_s = 4\n\
             drain_ms = 4000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 4000\n\
             rollback_slack_ms = 250\nmax_stretch_ms = 15000\nretry_budget_ratio = 0.2\n\
             retry_window_s = 10\nwarmup_excess = 1.5\nwarmup_slack = 5\nretry_budget_extra = 54\nrecovery_s = 12\nquota_window_s = 5\n\
             quota_excess = 0.1\nquota_slack = 20\n[platform]\naddress = \"{store}\"\n\
             form = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nretention_s = 20\n\
             value_bytes = 1048576\nttl_min_ms = 1000\n",
            seeds.join(",")
        );
        let path = dir.join(format!("{name}.toml"));
        std::fs::write(&path, text)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new(gateway)
            .arg("gateway")
            .env("TANAGERGW_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let at = |port| SocketAddr::from((ip, port));
        Ok(Vm { name, front: at(front), ready: at(ready), child })
    }
}

impl Vm {
    /// Sends a signal, such as `STOP`, to the process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    /// Kills the process, as a loss of power does, and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the balancer's check is answered with 200.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let check = Request { host: "ready.example", ..Request::new("/api/readiness") };
            if check.send(self.ready).is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A requester's request, on a connection of its own.
pub struct Request<'a> {
    pub host: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub headers: Vec<(&'a str, String)>,
}

impl<'a> Request<'a> {
    pub fn new(path: &'a str) -> Self {
        Self { host: "a.example", path, attempt: "", headers: Vec::new() }
    }

    /// Sends the request and reads the answer.
    pub fn send(&self, to: SocketAddr) -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        let mut text = format!("GET {} HTTP/1.1\r\nHost: {}\r\n", self.path, self.host);
        if !self.attempt.is_empty() {
            text.push_str(&format!("Tanagergw-Attempt-Id: {}\r\n", self.attempt));
            text.push_str("Tanagergw-Deadline-Ms: 3000\r\n");
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        stream.write_all(text.as_bytes())?;
        let answer = read_message(&mut stream, &mut Vec::new())?;
        let _ = stream.shutdown(Shutdown::Both);
        answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// A route of the config to one service.
pub fn route(name: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"authority\":\"a.example\",\"path_prefix\":\"/{name}/\",\
         \"route_type\":\"safe\",\"timeout_ms\":2500,\"target_latency_ms\":400,\"priority\":1,\
         \"max_attempts\":2,\"service\":\"{service}\"}}"
    )
}

/// A config in full; `tenants` is its list of tenants, or empty.
pub fn config(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"max_connections\":96,\"health_path\":\"/health\"}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let tenants =
        if tenants.is_empty() { String::new() } else { format!(",\"tenants\":{tenants}") };
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

/// Runs a case: `run.sh` passes the case's folder, a temporary folder and the gateway's program.
/// Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
pub fn main_of(case: impl FnOnce(&Record, PathBuf, PathBuf, bool) -> io::Result<Verdict>) {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [folder, dir, gateway] = &arguments[..] else {
        eprintln!("usage: PROGRAM CASE-FOLDER TEMPORARY-FOLDER GATEWAY");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match Record::create(&folder.join("record.txt")) {
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            2
        }
        Ok(record) => {
            record.line(&format!("the disruption is {}", if trouble { "on" } else { "off" }));
            let (verdict, code) = match case(&record, dir.clone(), gateway.clone(), trouble) {
                Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
                Ok(Verdict::Broken) => ("THE RULE WAS BROKEN".to_owned(), 1),
                Err(error) => (format!("the case could not run: {error}"), 2),
            };
            record.line(&verdict);
            println!("{verdict}");
            code
        }
    };
    std::process::exit(code);
}
