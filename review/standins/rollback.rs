//! Case: a change of the config and its rollback, while two VMs freeze one after the other.
//! Listed in KNOWN-RED.txt as review_config_after_a_rollback.

mod common;

use common::{
    Deployment, Leaf, Ports, Record, Request, Store, Verdict, Vm, config, keep_registered, main_of,
    route,
};
use std::{
    io,
    net::Ipv4Addr,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

const ZONES: [(&str, &str); 2] = [("regina-hall", "sask-south"), ("redd-hall", "alberta-central")];
const SERVICES: [&str; 2] = ["ledger-one", "ledger-two"];
const REQUESTS_PER_VM: usize = 10;

fn main() {
    main_of(run);
}

/// The tenants of a config, one of them, with these keys.
fn tenants(keys: &str) -> String {
    format!(
        "[{{\"name\":\"alpha\",\"api_keys\":[{keys}],\"priority\":1,\"rate_per_s\":0,\"burst\":0}}]"
    )
}

/// The config before the change and after its rollback: equal but for the version.
fn usual(version: u64) -> String {
    let routes = [route("history", "ledger-one"), route("alarms", "ledger-one")];
    config(version, &routes, &SERVICES, &tenants("\"key-alpha\""))
}

/// The change that is rolled back: it moves a route, drops another, and adds a key.
fn changed(version: u64) -> String {
    let keys = tenants("\"key-alpha\",\"key-trial\"");
    config(version, &[route("history", "ledger-two")], &SERVICES, &keys)
}

fn run(record: &Record, dir: PathBuf, gateway: PathBuf, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let mut leafs = Vec::new();
    for service in SERVICES {
        for (zone, _) in ZONES {
            leafs.push(Leaf::start(&format!("i-{service}-{zone}"), service, zone)?);
        }
    }
    let write = |text: &str, what: &str| {
        store.put("config", "main", text);
        record.line(&format!("acknowledged: {what}"));
    };
    write(&usual(5), "config 5: history and alarms go to ledger-one, alpha has key-alpha");
    keep_registered(&store, &leafs, Duration::from_millis(1_200));
    let ips: Vec<Ipv4Addr> = (1..=2).map(|last| Ipv4Addr::new(127, 82, 0, last)).collect();
    let deployment = Deployment {
        dir,
        gateway,
        ports: Ports::free(&ips)?,
        ips,
        seeds: (0..2).collect(),
        bootstrap: true,
        zones: ZONES.to_vec(),
        store: store.addr,
        active_contracts: "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"platform\"",
    };
    let mut vms = (0..2).map(|index| deployment.start(index)).collect::<io::Result<Vec<_>>>()?;
    for vm in &vms {
        vm.wait_ready(Duration::from_secs(15))?;
    }
    thread::sleep(Duration::from_secs(7));

    let started = Instant::now();
    let at = |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(started.elapsed()));
    let signal = |vm: &Vm, name: &str| {
        if trouble {
            record.line(&format!("SIG{name} to {}", vm.name));
            vm.signal(name)?;
        }
        io::Result::Ok(())
    };
    signal(&vms[0], "STOP")?;
    at(1_000);
    write(
        &changed(7),
        "config 7: history goes to ledger-two, no alarms, alpha has key-trial as well",
    );
    at(3_200);
    signal(&vms[1], "STOP")?;
    at(3_500);
    write(&usual(9), "config 9, the rollback: as config 5");
    at(4_000);
    signal(&vms[0], "CONT")?;
    at(7_000);
    signal(&vms[1], "CONT")?;
    // From here on all machines are in touch after contact_ms, 5 s, and config 9 was acknowledged far
    // more than config_apply_ms, 4 s, ago.
    thread::sleep(Duration::from_secs(10));
    let mut broken = 0;
    for vm in &mut vms {
        if !vm.is_running() {
            return Err(io::Error::other(format!("{} has ended", vm.name)));
        }
        broken += ask(record, vm, &leafs, ("history", "key-alpha"), true)?;
        broken += ask(record, vm, &leafs, ("alarms", "key-alpha"), true)?;
        broken += ask(record, vm, &leafs, ("history", "key-trial"), false)?;
    }
    record.line(&format!("{broken} requests were handled as only config 7 allows"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests to a VM. Returns how many were handled as config 9 does not allow: it has ledger-one
/// run those with key-alpha, and nothing run those with key-trial.
fn ask(
    record: &Record,
    vm: &Vm,
    leafs: &[Leaf],
    (path, key): (&str, &str),
    allowed: bool,
) -> io::Result<usize> {
    let mut broken = 0;
    for number in 0..REQUESTS_PER_VM {
        let attempt = format!("{path}-{key}-{}-{number:02}", vm.name);
        let target = format!("/{path}/2f");
        let request = Request {
            attempt: &attempt,
            headers: vec![("Authorization", format!("Token {key}"))],
            ..Request::new(&target)
        };
        let status = request.send(vm.front)?.status();
        let runs = leafs.iter().flat_map(Leaf::runs).find(|run| run.attempt == attempt);
        let by = runs.map(|run| run.service);
        let wrong = match (allowed, by.as_deref()) {
            (true, Some(service)) => service != "ledger-one",
            (true, None) => matches!(status, 401 | 403 | 404),
            (false, by) => by.is_some(),
        };
        broken += usize::from(wrong);
        record.line(&format!(
            "{attempt}: sent to {}, answered {status}, run by {by:?}{}",
            vm.name,
            if wrong { "  <- CONFIG" } else { "" }
        ));
    }
    Ok(broken)
}
