//! Case: the leaf's `Tanagergw-Tenant-Id`, where the requester's `Connection` header names that header.
//! Listed in KNOWN-RED.txt as review_tenant_header_is_stripped.

mod common;

use common::{
    Deployment, Leaf, Ports, Record, Request, Run, Store, Verdict, config, keep_registered,
    main_of, route,
};
use std::{collections::HashMap, io, net::Ipv4Addr, path::PathBuf, thread, time::Duration};

const ZONES: [(&str, &str); 3] = [
    ("regina-hall", "sask-south"),
    ("redd-hall", "alberta-central"),
    ("selkirk-hall", "manitoba-red"),
];
const REQUESTS_PER_VM: usize = 20;
const TENANTS: &str = "[{\"name\":\"alpha\",\"api_keys\":[\"key-alpha\"],\"priority\":1,\
     \"rate_per_s\":0,\"burst\":0},{\"name\":\"beta\",\"api_keys\":[\"key-beta\"],\"priority\":1,\
     \"rate_per_s\":0,\"burst\":0}]";

fn main() {
    main_of(run);
}

fn run(record: &Record, dir: PathBuf, gateway: PathBuf, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let leafs: Vec<Leaf> = ZONES
        .iter()
        .enumerate()
        .map(|(index, (zone, _))| Leaf::start(&format!("i-{index}"), "ledger", zone))
        .collect::<io::Result<_>>()?;
    store.put("config", "main", &config(3, &[route("history", "ledger")], &["ledger"], TENANTS));
    keep_registered(&store, &leafs, Duration::from_millis(1_200));
    let ips: Vec<Ipv4Addr> = (1..=3).map(|last| Ipv4Addr::new(127, 81, 0, last)).collect();
    let deployment = Deployment {
        dir,
        gateway,
        ports: Ports::free(&ips)?,
        ips,
        seeds: (0..3).collect(),
        bootstrap: true,
        zones: ZONES.to_vec(),
        store: store.addr,
        active_contracts: "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"platform\"",
    };
    let vms = (0..3).map(|index| deployment.start(index)).collect::<io::Result<Vec<_>>>()?;
    for vm in &vms {
        vm.wait_ready(Duration::from_secs(15))?;
    }
    // All VMs are in touch from here on.
    thread::sleep(Duration::from_secs(6));

    let mut sent: HashMap<String, &str> = HashMap::new();
    for vm in &vms {
        for number in 0..REQUESTS_PER_VM {
            let (tenant, other) =
                if number % 2 == 0 { ("alpha", "beta") } else { ("beta", "alpha") };
            let attempt = format!("{}-{number:02}", vm.name);
            let named = if trouble { "keep-alive, Tanagergw-Tenant-Id" } else { "keep-alive" };
            let request = Request {
                attempt: &attempt,
                headers: vec![
                    ("Authorization", format!("Token key-{tenant}")),
                    ("Tanagergw-Tenant-Id", other.into()),
                    ("Connection", named.into()),
                ],
                ..Request::new("/history/2f")
            };
            let status = request.send(vm.front).map(|answer| answer.status());
            record.line(&format!(
                "{attempt}: sent with the key of {tenant}, 'Tanagergw-Tenant-Id: {other}' and \
                 'Connection: {named}': {status:?}"
            ));
            sent.insert(attempt, tenant);
        }
    }
    let runs: Vec<Run> = leafs.iter().flat_map(Leaf::runs).collect();
    let mut wrong = 0;
    for run in &runs {
        let holder = sent.get(&run.attempt).copied();
        let is_wrong = run.tenant.as_deref() != holder || run.has_key;
        wrong += usize::from(is_wrong);
        record.line(&format!(
            "{}: {} ran '{}' for the tenant {:?}; the key's holder is {holder:?}{}",
            run.attempt,
            run.leaf,
            run.line,
            run.tenant,
            if is_wrong { "  <- UNASKED" } else { "" }
        ));
    }
    record.line(&format!(
        "{} requests sent, {} run, {wrong} for a wrong tenant",
        sent.len(),
        runs.len()
    ));
    if runs.len() < sent.len() / 2 {
        return Err(io::Error::other("too few requests were served"));
    }
    Ok(if wrong > 0 { Verdict::Broken } else { Verdict::Held })
}
