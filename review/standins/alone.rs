//! Case: a tenant's limit after all VMs were killed at once, while the machines that the settings name as
//! seeds stay dark. With `COLD=1`, the rate that cold leafs bear is judged in place of the limit.
//! Listed in KNOWN-RED.txt as review_limits_held_by_lone_vms.

mod common;

use common::{
    Deployment, Leaf, Ports, Record, Request, Store, Verdict, config, keep_registered, lock,
    main_of, route,
};
use std::{
    io,
    net::Ipv4Addr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [(&str, &str); 3] = [
    ("gulf-mobile", "gulf-coast"),
    ("piedmont-upstate", "piedmont"),
    ("delta-greenville", "delta"),
];
const VMS: usize = 9;
/// The VMs that the settings name as seeds, one in each zone. They are also those that have published
/// themselves in the store, as they read it for their regions.
const SEEDS: [usize; 3] = [3, 4, 8];
/// The tenant's limit, and how it is judged.
const RATE_PER_S: f64 = 46.0;
const BURST: f64 = 46.0;
const WINDOW: Duration = Duration::from_secs(5);
const LIMIT: f64 = (RATE_PER_S * 5.0 + BURST) * (1.0 + 0.1) + 20.0;
/// With `COLD=1`, leafs are cold for this time and bear this rate; the settings allow 1.5 times the rate and
/// 5 more.
const COLD: Duration = Duration::from_secs(20);
const COLD_PER_S: usize = 4;
const COLD_LIMIT: usize = COLD_PER_S * 3 / 2 + 5;
/// The tenant is hot for this time: 150 requests a second, which is 7.5 times 20.
const HOT: Duration = Duration::from_millis(6_500);
const HOT_AFTER: Duration = Duration::from_secs(4);
/// Time between two requests to one of the six VMs.
const PAUSE: Duration = Duration::from_millis(40);

fn main() {
    main_of(run);
}

/// One request: when it was sent, to which VM, and its answer.
type Sent = (Instant, usize, u16, String);

fn run(record: &Record, dir: PathBuf, gateway: PathBuf, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let cold = std::env::var("COLD").is_ok_and(|value| value == "1");
    let mut leafs = Vec::new();
    for (zone, _) in ZONES {
        for number in 0..if cold { 1 } else { 3 } {
            leafs.push(Leaf::start(&format!("i-{zone}-{number}"), "ledger", zone)?);
        }
    }
    let tenants = format!(
        "[{{\"name\":\"alpha\",\"api_keys\":[\"key-alpha\"],\"priority\":1,\"rate_per_s\":{RATE_PER_S},\
         \"burst\":{BURST}}}]"
    );
    let mut document = config(3, &[route("history", "ledger")], &["ledger"], &tenants);
    if cold {
        let warmup = format!("\"warmup_s\":30,\"warmup_per_s\":{COLD_PER_S},\"max_connections\"");
        document = document.replace("\"max_connections\"", &warmup);
    }
    store.put("config", "main", &document);
    keep_registered(&store, &leafs, Duration::from_millis(1_200));
    let ips: Vec<Ipv4Addr> = (1..=VMS as u8).map(|last| Ipv4Addr::new(127, 83, 0, last)).collect();
    let mut deployment = Deployment {
        dir,
        gateway,
        ports: Ports::free(&ips)?,
        ips,
        seeds: SEEDS.to_vec(),
        bootstrap: true,
        zones: ZONES.to_vec(),
        store: store.addr,
        active_contracts: "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"quota\",\"platform\"",
    };
    let mut vms = (0..VMS).map(|index| deployment.start(index)).collect::<io::Result<Vec<_>>>()?;
    for vm in &vms {
        vm.wait_ready(Duration::from_secs(15))?;
    }
    thread::sleep(Duration::from_secs(8));
    record.line(&format!("VMs published in the store: {:?}", store.names("tanagergw-vms")));
    if cold {
        record.line("all leafs become cold");
        leafs.iter().for_each(|leaf| leaf.make_cold(COLD));
    }
    if trouble {
        record.line("all machines lose power; those that are seeds stay dark");
        for vm in &mut vms {
            vm.kill()?;
        }
        thread::sleep(Duration::from_millis(500));
        deployment.bootstrap = false;
        for index in (0..VMS).filter(|index| !SEEDS.contains(index)) {
            vms[index] = deployment.start(index)?;
            record.line(&format!("{} is back", vms[index].name));
        }
    }
    let back = Instant::now();
    let callers_of: Vec<usize> = (0..VMS).filter(|index| !SEEDS.contains(index)).collect();
    for index in &callers_of {
        vms[*index].wait_ready(Duration::from_secs(15))?;
    }
    thread::sleep(HOT_AFTER.saturating_sub(back.elapsed()));
    record.line("the tenant is hot");
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let started = Instant::now();
    let mut callers = Vec::new();
    for index in callers_of {
        let (front, stop, sent) = (vms[index].front, stop.clone(), sent.clone());
        callers.push(thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("{index}-{number}");
                let request = Request {
                    attempt: &attempt,
                    headers: vec![("Authorization", "Token key-alpha".to_owned())],
                    ..Request::new("/history/2f")
                };
                let at = Instant::now();
                let status = request.send(front).map_or(0, |answer| answer.status());
                lock(&sent).push((at, index, status, attempt));
                thread::sleep(PAUSE.saturating_sub(at.elapsed()));
            }
        }));
    }
    thread::sleep(HOT);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if cold { judge_cold(record, &leafs) } else { judge(record, started, &lock(&sent), &leafs) }
}

/// Counts the requests that each cold leaf got in any second.
fn judge_cold(record: &Record, leafs: &[Leaf]) -> io::Result<Verdict> {
    let mut broken = false;
    for leaf in leafs {
        let mut at: Vec<Instant> = leaf.runs().iter().map(|run| run.at).collect();
        at.sort();
        let in_second = |first: usize| {
            at[first..]
                .iter()
                .take_while(|later| **later - at[first] < Duration::from_secs(1))
                .count()
        };
        let most = (0..at.len()).map(in_second).max().unwrap_or_default();
        broken |= most > COLD_LIMIT;
        record.line(&format!(
            "{}: {} requests run while cold, at most {most} in a second, {COLD_LIMIT} allowed",
            leaf.id,
            at.len()
        ));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// Counts the requests that were run in each window, by when they were sent.
fn judge(record: &Record, started: Instant, sent: &[Sent], leafs: &[Leaf]) -> io::Result<Verdict> {
    let runs: std::collections::HashSet<String> =
        leafs.iter().flat_map(Leaf::runs).map(|run| run.attempt).collect();
    let mut ran: Vec<Instant> =
        sent.iter().filter(|(.., attempt)| runs.contains(attempt)).map(|(at, ..)| *at).collect();
    ran.sort();
    for (at, vm, status, attempt) in sent {
        let run = if runs.contains(attempt) { "run" } else { "not run" };
        let ms = at.duration_since(started).as_millis();
        record.line(&format!("{attempt}: sent to VM {vm} at {ms} ms, answered {status}, {run}"));
    }
    for second in 0..=HOT.as_secs() {
        let in_second = |at: &Instant| at.duration_since(started).as_secs() == second;
        let line: Vec<String> = (0..VMS)
            .map(|index| {
                let of = sent.iter().filter(|(at, vm, ..)| *vm == index && in_second(at));
                let (all, run) = of.fold((0, 0), |(all, run), (.., attempt)| {
                    (all + 1, run + usize::from(runs.contains(attempt)))
                });
                format!("{run}/{all}")
            })
            .collect();
        record.line(&format!("second {second:>2}, run/sent by VM: {}", line.join("  ")));
    }
    let in_window =
        |first: usize| ran[first..].iter().take_while(|at| **at - ran[first] < WINDOW).count();
    let most = (0..ran.len()).map(in_window).max().unwrap_or_default();
    record.line(&format!(
        "{} requests sent, {} run; at most {most} in 5 s, {LIMIT:.1} allowed",
        sent.len(),
        ran.len()
    ));
    if ran.is_empty() {
        return Err(io::Error::other("no request was run"));
    }
    Ok(if most as f64 > LIMIT { Verdict::Broken } else { Verdict::Held })
}
