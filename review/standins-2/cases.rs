//! The cases: what happens when, and whether the rule held.

use crate::*;

pub fn run(
    case: &str,
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> bool {
    match case {
        "quota" => review_limit_held_twice_after_a_loss(binary, dir, record, trouble),
        "retained" => review_leaf_kept_after_two_cuts(binary, dir, record, trouble),
        "frozen" => review_config_late_in_one_geo(binary, dir, record, trouble),
        "stale" => review_config_stale_on_an_added_machine(binary, dir, record, trouble),
        "alone" => review_limit_held_twice_in_an_outage(binary, dir, record, trouble),
        _ => cannot_run("no such case"),
    }
}

/// Case 4.
fn review_limit_held_twice_after_a_loss(
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> bool {
    quota(binary, dir, record, trouble, Trouble::Removed)
}

/// Case 8.
fn review_limit_held_twice_in_an_outage(
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> bool {
    quota(binary, dir, record, trouble, Trouble::StoreDown)
}

const HOST: &str = "a.example";

fn params(contact_ms: u64, config_apply_ms: u64) -> String {
    format!(
        "seed_delay_s = 3\naddr_reuse_s = 2\ncontact_ms = {contact_ms}\nack_ms = 6000\nsync_s = 4\n\
         drain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = {config_apply_ms}\n\
         rollback_slack_ms = 250\nmax_stretch_ms = 15000\nretry_budget_ratio = 0.2\n\
         retry_window_s = 10\nretry_budget_extra = 52\nquota_window_s = 5\nquota_excess = 0.1\n\
         quota_slack = 20\nrecovery_s = 12"
    )
}

fn route(name: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"authority\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
         \"route_type\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,\
         \"max_attempts\":2,\"service\":\"{service}\"}}"
    )
}

fn config(version: u64, routes: &[String], services: &[&str], tenants: Option<&str>) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"max_connections\":96,\"health_path\":\"/health\"}}"))
        .collect();
    let tenants = tenants.map(|t| format!(",\"tenants\":[{t}]")).unwrap_or_default();
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Rate, burst and bound of the limit in `quota`.
const RATE: f64 = 100.0;
const BURST: f64 = 50.0;
const WINDOW: f64 = 5.0;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Machines: name, zone. The first is the only seed, and the one that watches the store for its region.
const MACHINES: [(&str, &str); 7] = [
    ("front-braga-hall-1", "braga-hall"),
    ("front-braga-hall-2", "braga-hall"),
    ("front-coimbra-hall-1", "coimbra-hall"),
    ("front-coimbra-hall-2", "coimbra-hall"),
    ("front-evora-hall-1", "evora-hall"),
    ("front-evora-hall-2", "evora-hall"),
    ("front-braga-hall-3", "braga-hall"),
];
const HALLS: [&str; 3] = ["braga-hall", "coimbra-hall", "evora-hall"];

/// What happens around the time at which a machine is added.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    /// Another machine is removed for good, which is the only seed of the added one.
    Removed,
    /// The store is down for 4.5 s. The only seed of the added machine is stale in any case: nobody has that address.
    StoreDown,
}

/// A machine is added to six that admit a tenant's requests. The rule is QUOTA.
fn quota(
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
    kind: Trouble,
) -> bool {
    let geos = match kind {
        Trouble::Removed => ["centro"; 3],
        Trouble::StoreDown => ["norte", "centro", "alentejo"],
    };
    let runs = Arc::new(Mutex::new(Vec::new()));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(record, Duration::from_secs(1));
    let leafs: Vec<Leaf> = (1..=6)
        .map(|n| Leaf::start("desk", &format!("i-{n}"), Duration::from_millis(5), &runs))
        .collect();
    for (n, leaf) in leafs.iter().enumerate() {
        store.put("servers", &leaf.id, &leaf.entry(HALLS[n % 3]));
    }
    let tenant = format!(
        "{{\"name\":\"crew\",\"api_keys\":[\"key-of-crew\"],\"rate_per_s\":{RATE},\"burst\":{BURST}}}"
    );
    store.put("config", "main", &config(7, &[route("desk", "desk")], &["desk"], Some(&tenant)));
    let ips: Vec<String> = (1..=8).map(|n| format!("127.0.0.{}", 10 + n)).collect();
    let ports = Ports::find(&ips);
    let mut fleet = Fleet {
        ports,
        store: store.addr.clone(),
        seeds: vec![ips[0].clone()],
        zones: HALLS.iter().zip(geos).map(|(z, g)| (z.to_string(), g.to_string())).collect(),
        params: params(6_000, 5_000),
        binary: binary.into(),
        dir: dir.into(),
        record: record.clone(),
    };
    let mut vms: Vec<Gateway> =
        (0..6).map(|n| fleet.start(MACHINES[n].0, &ips[n], MACHINES[n].1, true)).collect();
    vms.iter().for_each(|vm| vm.wait_ready(ports, 15.0));
    let traffic = |vm: &Gateway| Traffic {
        vm: vm.name.clone(),
        addr: format!("{}:{}", vm.ip, ports.front),
        host: HOST.into(),
        target: "/desk/x".into(),
        key: Some("key-of-crew".into()),
        per_s: 150.0,
        workers: 12,
    };
    wait_until(8.0);
    record.add(format!("addresses in the store: {:?}", store.names("tanagergw-vms")));
    let old = Requesters::start(traffic(&vms[5]), &answers);
    wait_until(19.0);
    if kind == Trouble::Removed && trouble {
        vms[0].kill();
    }
    if kind == Trouble::StoreDown {
        // Nobody listens there.
        fleet.seeds = vec![ips[7].clone()];
    }
    wait_until(19.5);
    let added = fleet.start(MACHINES[6].0, &ips[6], MACHINES[6].1, false);
    added.wait_ready(ports, 30.0);
    let new = Requesters::start(traffic(&added), &answers);
    if kind == Trouble::StoreDown && trouble {
        wait_until(21.7);
        store.set_down(true);
        wait_until(26.2);
        store.set_down(false);
    }
    wait_until(37.0);
    old.stop();
    new.stop();
    record.add(format!("addresses in the store: {:?}", store.names("tanagergw-vms")));
    drop((vms, added));
    let answers = answers.lock().unwrap().clone();
    let runs = runs.lock().unwrap().clone();
    let ran: HashMap<&str, Duration> = runs.iter().map(|r| (r.id.as_str(), r.at)).collect();
    record.requests(&answers, &runs);
    if runs.iter().any(|r| r.tenant != "crew") || answers.iter().all(|a| a.status != 200) {
        cannot_run("no request was served, or not as the tenant's");
    }
    let seconds = |at: f64| Duration::from_secs_f64(at);
    let within = |from: f64, to: f64| {
        let both = |a: &&Answered| {
            a.sent >= seconds(from) && ran.get(a.id.as_str()).is_some_and(|at| *at <= seconds(to))
        };
        answers.iter().filter(both).count()
    };
    let starts = (80..370).map(|tenth| f64::from(tenth) / 10.0);
    let (most, from) = starts
        .map(|from| (within(from, from + WINDOW), from))
        .max_by_key(|(count, _)| *count)
        .unwrap_or_default();
    for second in 8..37 {
        let of = |vm: &str| {
            let sent: Vec<_> =
                answers.iter().filter(|a| a.vm == vm && a.sent.as_secs() == second).collect();
            let ran = sent.iter().filter(|a| ran.contains_key(a.id.as_str())).count();
            let status = |s: u16| sent.iter().filter(|a| a.status == s).count();
            format!(
                "{vm}: sent {}, ran {ran}, answered 200 {}, 429 {}, 503 {}",
                sent.len(),
                status(200),
                status(429),
                status(503)
            )
        };
        let line = [of(MACHINES[5].0), of(MACHINES[6].0)].join("; ");
        record.add(format!("sent from {second} s on, for 1 s: {line}"));
    }
    let bound = (RATE * WINDOW + BURST) * (1.0 + EXCESS) + SLACK;
    let line = format!(
        "most requests of the tenant that were sent and ran within {WINDOW} s: {most}, from {from} s; \
         the bound is {bound:.0}"
    );
    println!("{line}");
    record.add(line);
    most as f64 > bound
}

/// Case 7. A machine is removed for good, another one is added, whose seed is the machine that was removed, and the config
/// moves a route to another service half a second later. The rule is CONFIG.
fn review_config_stale_on_an_added_machine(
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> bool {
    const CONTACT: Duration = Duration::from_millis(4_000);
    const APPLY: Duration = Duration::from_millis(3_000);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(record, Duration::from_secs(1));
    let services = ["desk", "roster"];
    let leafs: Vec<Leaf> = (1..=6)
        .map(|n| {
            let service = services[n % 2];
            Leaf::start(service, &format!("i-{n}"), Duration::from_millis(5), &runs)
        })
        .collect();
    for (n, leaf) in leafs.iter().enumerate() {
        store.put("servers", &leaf.id, &leaf.entry(HALLS[n % 3]));
    }
    store.put("config", "main", &config(7, &[route("desk", "desk")], &services, None));
    let ips: Vec<String> = (1..=7).map(|n| format!("127.0.0.{}", 10 + n)).collect();
    let ports = Ports::find(&ips);
    let fleet = Fleet {
        ports,
        store: store.addr.clone(),
        seeds: vec![ips[0].clone()],
        zones: HALLS.iter().map(|z| (z.to_string(), "centro".to_string())).collect(),
        params: params(CONTACT.as_millis() as u64, APPLY.as_millis() as u64),
        binary: binary.into(),
        dir: dir.into(),
        record: record.clone(),
    };
    let start =
        |n: usize, bootstrap: bool| fleet.start(MACHINES[n].0, &ips[n], MACHINES[n].1, bootstrap);
    let mut vms: Vec<Gateway> = (0..6).map(|n| start(n, true)).collect();
    vms.iter().for_each(|vm| vm.wait_ready(ports, 15.0));
    let traffic = |vm: &Gateway| Traffic {
        vm: vm.name.clone(),
        addr: format!("{}:{}", vm.ip, ports.front),
        host: HOST.into(),
        target: "/desk/x".into(),
        key: None,
        per_s: 50.0,
        workers: 5,
    };
    wait_until(8.0);
    let old = Requesters::start(traffic(&vms[5]), &answers);
    wait_until(9.0);
    if trouble {
        vms[0].kill();
    }
    wait_until(9.5);
    let added = start(6, false);
    let started = clock();
    added.wait_ready(ports, 14.0);
    let new = Requesters::start(traffic(&added), &answers);
    wait_until(10.0);
    store.put("config", "main", &config(9, &[route("desk", "roster")], &services, None));
    let acked = clock();
    record.add("the store acknowledges version 9: /desk/ goes to roster, no longer to desk");
    wait_until(18.0);
    old.stop();
    new.stop();
    drop((vms, added));
    let answers = answers.lock().unwrap().clone();
    let runs = runs.lock().unwrap().clone();
    record.requests(&answers, &runs);
    let ran: HashMap<String, Run> = runs.iter().map(|r| (r.id.clone(), r.clone())).collect();
    if answers.iter().all(|a| a.status != 200) {
        cannot_run("no request was served");
    }
    let late = |a: &&Answered| {
        let in_touch = a.vm != MACHINES[6].0 || a.sent >= started + CONTACT;
        in_touch && a.sent > acked + APPLY
    };
    let late: Vec<&Answered> = answers.iter().filter(late).collect();
    let old = |a: &&&Answered| ran.get(&a.id).is_some_and(|r| r.service == "desk");
    let wrong: Vec<&&Answered> = late.iter().filter(old).collect();
    let last = wrong.iter().map(|a| a.sent).max().unwrap_or_default();
    let line = format!(
        "requests sent later than {APPLY:?} after the ack, to machines in touch: {}; run by the old \
         service: {}, the last sent {:.3} s after the ack, {:.3} s after the machine's start",
        late.len(),
        wrong.len(),
        last.saturating_sub(acked).as_secs_f64(),
        last.saturating_sub(started).as_secs_f64()
    );
    println!("{line}");
    record.add(line);
    !wrong.is_empty()
}

/// Case 6. The machine that watches the store for its region freezes for 4 s, and a config is acknowledged meanwhile, eleven
/// times. The rule is CONFIG.
fn review_config_late_in_one_geo(
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> bool {
    const APPLY: Duration = Duration::from_millis(3_000);
    const ZONES: [&str; 6] =
        ["beja-hall", "braga-hall", "coimbra-hall", "evora-hall", "figueira-hall", "viana-hall"];
    const ROUNDS: usize = 11;
    const ROUND_S: f64 = 9.0;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(record, Duration::from_secs(1));
    let services = ["desk", "roster"];
    let leafs: Vec<Leaf> = (0..6)
        .map(|n| {
            let service = services[n % 2];
            Leaf::start(service, &format!("i-{n}"), Duration::from_millis(5), &runs)
        })
        .collect();
    for (n, leaf) in leafs.iter().enumerate() {
        store.put("servers", &leaf.id, &leaf.entry(ZONES[n]));
    }
    store.put("config", "main", &config(7, &[route("desk", "desk")], &services, None));
    let ips: Vec<String> = (1..=6).map(|n| format!("127.0.0.{}", 10 + n)).collect();
    let ports = Ports::find(&ips);
    let fleet = Fleet {
        ports,
        store: store.addr.clone(),
        seeds: ips[..3].to_vec(),
        zones: ZONES.iter().map(|z| (z.to_string(), "centro".to_string())).collect(),
        params: params(5_000, APPLY.as_millis() as u64),
        binary: binary.into(),
        dir: dir.into(),
        record: record.clone(),
    };
    let vms: Vec<Gateway> = (0..6)
        .map(|n| fleet.start(&format!("front-{}-1", ZONES[n]), &ips[n], ZONES[n], true))
        .collect();
    vms.iter().for_each(|vm| vm.wait_ready(ports, 15.0));
    wait_until(6.0);
    // The machine that last wrote to the store under a condition.
    let published = store.names("tanagergw-vms");
    let Some(watcher) = vms.iter().find(|vm| published.contains(&vm.name)) else {
        cannot_run("no machine has published its address")
    };
    let load: Vec<Requesters> = vms
        .iter()
        .filter(|vm| vm.name != watcher.name)
        .map(|vm| {
            let traffic = Traffic {
                vm: vm.name.clone(),
                addr: format!("{}:{}", vm.ip, ports.front),
                host: HOST.into(),
                target: "/desk/x".into(),
                key: None,
                per_s: 25.0,
                workers: 5,
            };
            Requesters::start(traffic, &answers)
        })
        .collect();
    // When each version was acknowledged, and the service to which it sends the route.
    let mut acks: Vec<(Duration, &str)> = vec![(Duration::ZERO, services[0])];
    for round in 0..ROUNDS {
        let begin = 7.0 + ROUND_S * round as f64;
        wait_until(begin);
        if trouble {
            watcher.signal("STOP");
        }
        wait_until(begin + 0.1);
        let service = services[(round + 1) % 2];
        let version = 9 + 2 * round as u64;
        store.put("config", "main", &config(version, &[route("desk", service)], &services, None));
        acks.push((clock(), service));
        record.add(format!("the store acknowledges version {version}: /desk/ goes to {service}"));
        wait_until(begin + 4.0);
        if trouble {
            watcher.signal("CONT");
        }
    }
    wait_until(7.0 + ROUND_S * ROUNDS as f64);
    load.into_iter().for_each(Requesters::stop);
    drop(vms);
    let answers = answers.lock().unwrap().clone();
    let runs = runs.lock().unwrap().clone();
    record.requests(&answers, &runs);
    let ran: HashMap<String, String> =
        runs.iter().map(|r| (r.id.clone(), r.service.clone())).collect();
    if answers.iter().all(|a| a.status != 200) {
        cannot_run("no request was served");
    }
    let mut wrong = 0;
    for (index, (acked, service)) in acks.iter().enumerate().skip(1) {
        let until = acks.get(index + 1).map_or(Duration::MAX, |(next, _)| *next);
        let sent: Vec<&Answered> =
            answers.iter().filter(|a| a.sent > *acked && a.sent < until).collect();
        let old = |a: &&&Answered| ran.get(&a.id).is_some_and(|by| by != service);
        let late = |a: &&&Answered| a.sent > *acked + APPLY;
        let last = sent.iter().filter(old).map(|a| a.sent - *acked).max().unwrap_or_default();
        let broken = sent.iter().filter(late).filter(old).count();
        wrong += broken;
        record.add(format!(
            "round {index}: {} requests sent after the ack; the last that the old service ran was sent \
             {:.3} s after it; sent later than {APPLY:?} after it and run by the old service: {broken}",
            sent.len(),
            last.as_secs_f64()
        ));
        println!("round {index}: last old {:.3} s, late {broken}", last.as_secs_f64());
    }
    wrong > 0
}

/// Case 5. Twice, 20 s apart, the machine that watches the store for its region is cut off from the store for 5.5 s. During the second
/// cut a leaf leaves: its entry is removed. The rule is DRAIN.
fn review_leaf_kept_after_two_cuts(
    binary: &str,
    dir: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> bool {
    const DRAIN: Duration = Duration::from_millis(3_000);
    const CUT_S: f64 = 5.5;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(record, Duration::from_secs(1));
    let leafs: Vec<Leaf> = (0..4)
        .map(|n| Leaf::start("desk", &format!("i-{n}"), Duration::from_millis(5), &runs))
        .collect();
    for (n, leaf) in leafs.iter().enumerate() {
        store.put("servers", &leaf.id, &leaf.entry(HALLS[n % 3]));
    }
    store.put("config", "main", &config(7, &[route("desk", "desk")], &["desk"], None));
    let machines = [
        ("front-braga-hall-1", 0),
        ("front-braga-hall-2", 0),
        ("front-braga-hall-3", 0),
        ("front-coimbra-hall-1", 1),
        ("front-evora-hall-1", 2),
    ];
    let ips: Vec<String> = (1..=machines.len()).map(|n| format!("127.0.0.{}", 10 + n)).collect();
    let ports = Ports::find(&ips);
    let fleet = Fleet {
        ports,
        store: store.addr.clone(),
        seeds: vec![ips[0].clone(), ips[3].clone(), ips[4].clone()],
        zones: HALLS.iter().map(|z| (z.to_string(), "centro".to_string())).collect(),
        params: params(5_000, 3_000),
        binary: binary.into(),
        dir: dir.into(),
        record: record.clone(),
    };
    let links: Vec<Link> = machines.iter().map(|_| Link::start(&store.addr)).collect();
    let vms: Vec<Gateway> = (0..machines.len())
        .map(|n| {
            let (name, hall) = machines[n];
            fleet.start_behind(&links[n].addr, name, &ips[n], HALLS[hall], true)
        })
        .collect();
    vms.iter().for_each(|vm| vm.wait_ready(ports, 15.0));
    wait_until(6.0);
    // Requests go to the machines of the two zones that are never disturbed.
    let load: Vec<Requesters> = vms[3..]
        .iter()
        .map(|vm| {
            let traffic = Traffic {
                vm: vm.name.clone(),
                addr: format!("{}:{}", vm.ip, ports.front),
                host: HOST.into(),
                target: "/desk/x".into(),
                key: None,
                per_s: 100.0,
                workers: 8,
            };
            Requesters::start(traffic, &answers)
        })
        .collect();
    let mut cut_before = Vec::new();
    let mut acked = Duration::ZERO;
    for (round, begin) in [8.0, 28.0].into_iter().enumerate() {
        wait_until(begin);
        // The machine that watches is the one whose link carries calls to the store.
        let watcher = (0..machines.len()).max_by_key(|n| links[*n].calls_of_late()).unwrap_or(0);
        if trouble {
            links[watcher].set_cut(true);
            record.add(format!("{} is cut off from the store", machines[watcher].0));
            cut_before.push(machines[watcher].0);
        }
        wait_until(begin + 0.1);
        if round == 1 {
            store.remove("servers", &leafs[1].id);
            acked = clock();
            record.add("the store acknowledges that the entry of i-1 is removed");
        }
        wait_until(begin + CUT_S);
        if trouble {
            links[watcher].set_cut(false);
            record.add(format!("{} reaches the store again", machines[watcher].0));
        }
    }
    wait_until(38.0);
    load.into_iter().for_each(Requesters::stop);
    drop(vms);
    if trouble && (cut_before.len() < 2 || cut_before[0] == cut_before[1]) {
        cannot_run("the same machine was cut off twice");
    }
    let answers = answers.lock().unwrap().clone();
    if answers.iter().all(|a| a.status != 200) {
        cannot_run("no request was served");
    }
    let runs = runs.lock().unwrap().clone();
    record.requests(&answers, &runs);
    let after: Vec<&Run> = runs.iter().filter(|r| r.at > acked && r.leaf == leafs[1].id).collect();
    let late = after.iter().filter(|r| r.at > acked + DRAIN).count();
    let last = after.iter().map(|r| r.at - acked).max().unwrap_or_default();
    let line = format!(
        "requests that reached i-1 after the ack: {}, the last {:.3} s after it; later than {DRAIN:?}: {late}",
        after.len(),
        last.as_secs_f64()
    );
    println!("{line}");
    record.add(line);
    late > 0
}
