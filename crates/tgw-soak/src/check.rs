use crate::{
    callers::{Answer, Exchange, Kind},
    world::{COLD, COLD_MOST, HOME, LEAST, LIMIT, SINGLE, World, shards},
};
use http::StatusCode;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};
use tgw_site_standin::leaf::{Run, names, records, seal};
use tokio::time::Instant;

/// Length of a record, in bytes.
const RECORD: usize = 16;
/// The least share that is served after the faults.
const RECOVERED: f64 = 0.9;
/// Broken promises that are told in full.
const TOLD: usize = 20;
/// Time until an upstream's leaving is known everywhere, with the slack of a busy machine.
const DRAIN: Duration = Duration::from_millis(5_000);

/// Time in which all VMs learn of a query under which three upstreams have ended.
const KNOWN: Duration = Duration::from_millis(5_000);
/// Time in which all VMs learn that a failure domain is evacuated.
const EVACUATED: Duration = Duration::from_millis(5_000);
/// Time after an evacuation's end by which its upstreams count as warm, if they say nothing else.
const WARM_AGAIN: Duration = Duration::from_millis(5_000);
const SECOND: Duration = Duration::from_millis(1_000);
/// Times that it may still reach upstreams from then on.
const DEADLY_MOST: usize = 3;

/// What a run showed.
pub(crate) struct Report {
    pub(crate) asked: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) runs: usize,
    pub(crate) broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { asked, served, refused, runs, broken } = self;
        let broken = broken.len();
        write!(f, "{asked} asked, {served} served, {refused} refused, {runs} ran, {broken} broken")
    }
}

/// When each VM was disturbed; what happens near such a time is not held against it.
pub(crate) type Disturbed = BTreeMap<usize, Vec<Instant>>;

/// Checks all promises over what callers and upstreams saw.
pub(crate) fn check(
    seen: &[Exchange],
    world: &World,
    disturbed: &Disturbed,
    recovered: Instant,
) -> Report {
    let mut broken = Vec::new();
    let runs = runs_by_request(world);
    for exchange in seen {
        let of_it = runs.get(exchange.identity.as_str()).map(Vec::as_slice).unwrap_or_default();
        truth(exchange, of_it, &mut broken);
        if let Some(answer) = &exchange.answer {
            content(exchange, answer, &mut broken);
        }
        // A caller of a VM that nothing disturbed gets an answer in time.
        let calm = disturbed.get(&exchange.vm).is_none_or(|times| {
            times.iter().all(|at| *at + DRAIN < exchange.sent || *at > exchange.sent + DRAIN)
        });
        if calm && exchange.answer.is_none() {
            broken.push(format!("{}: no answer in {:?}", exchange.identity, exchange.took));
        }
    }
    recovery(seen, world, recovered, &mut broken);
    held_back(seen, &runs, (world, disturbed), &mut broken);
    strangers(seen, &runs, &mut broken);
    drained(world, &mut broken);
    at_home(world, &mut broken);
    evacuated(world, &mut broken);
    cold(world, &mut broken);
    broken.truncate(TOLD);
    let status = |code: StatusCode| {
        seen.iter().filter(|e| e.answer.as_ref().is_some_and(|a| a.status == code)).count()
    };
    Report {
        asked: seen.len(),
        served: status(StatusCode::OK),
        refused: status(StatusCode::SERVICE_UNAVAILABLE),
        runs: runs.values().map(Vec::len).sum(),
        broken,
    }
}

fn runs_by_request(world: &World) -> BTreeMap<&str, Vec<&str>> {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in world.runs.values().flatten() {
        runs.entry(&run.request).or_default().push(&run.what);
    }
    runs
}

/// At most once, true refusals, and requests that reach upstreams unchanged.
fn truth(exchange: &Exchange, runs: &[&str], broken: &mut Vec<String>) {
    let Exchange { kind, identity, answer, .. } = exchange;
    let count = runs.len();
    if *kind == Kind::Once && count > 1 {
        broken.push(format!("{identity}: ran {count} times"));
    }
    let status = answer.as_ref().map(|a| a.status);
    let promised =
        matches!(status, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS));
    if promised && count > 0 {
        broken.push(format!("{identity}: refused as not run, and ran {count} times"));
    }
    let expected = match kind {
        Kind::All => "GET /all/q?x=1 ",
        Kind::Safe => "GET /safe/q ",
        Kind::Once => "POST /once/q order",
        Kind::Deadly => "GET /all/deadly ",
        Kind::Home => "GET /home/q ",
    };
    if let Some(other) = runs.iter().find(|what| **what != expected) {
        broken.push(format!("{identity}: reached an upstream as {other:?}"));
    }
}

/// A success holds what its signatures say, and nothing else.
fn content(exchange: &Exchange, answer: &Answer, broken: &mut Vec<String>) {
    if answer.status != StatusCode::OK {
        return;
    }
    let identity = &exchange.identity;
    let wrong = match exchange.kind {
        Kind::All | Kind::Deadly => merged(identity, answer),
        Kind::Safe | Kind::Once | Kind::Home => single(identity, answer),
    };
    if let Some(wrong) = wrong {
        broken.push(format!("{identity}: {wrong}"));
    }
}

fn single(identity: &str, answer: &Answer) -> Option<String> {
    let given = answer.headers.get(names().signature).and_then(|v| v.to_str().ok());
    if given != Some(&seal(SINGLE, identity)) {
        return Some(format!("signature {given:?}"));
    }
    (answer.body[..] != records(SINGLE, identity)[..]).then(|| "another body".into())
}

fn merged(identity: &str, answer: &Answer) -> Option<String> {
    let header = |name| answer.headers.get(name).and_then(|v| v.to_str().ok());
    let signatures: Vec<&str> =
        header(names().part_signatures)?.split(',').map(str::trim).collect();
    let missing: usize = header(names().missing_parts).and_then(|m| m.parse().ok()).unwrap_or(0);
    let all = shards();
    let parts: BTreeSet<&String> =
        all.iter().filter(|s| signatures.contains(&seal(s, identity).as_str())).collect();
    if parts.len() != signatures.len() {
        return Some(format!("signatures {signatures:?}"));
    }
    if parts.len() + missing != all.len() {
        return Some(format!("{} parts and {missing} missing of {}", parts.len(), all.len()));
    }
    if (parts.len() as f64) < LEAST * all.len() as f64 {
        return Some(format!("a success of {} parts", parts.len()));
    }
    let held: Vec<Vec<u8>> = parts.iter().map(|s| records(s, identity)).collect();
    let mut expected: Vec<&[u8]> = held.iter().flat_map(|part| part.chunks(RECORD)).collect();
    expected.sort_unstable_by(|a, b| b.cmp(a));
    expected.truncate(LIMIT);
    (answer.body[..] != expected.concat()[..]).then(|| "records that are not the greatest".into())
}

/// Some time after the last fault nearly everything is served again.
fn recovery(seen: &[Exchange], world: &World, since: Instant, broken: &mut Vec<String>) {
    // The one upstream at home takes few requests until it can be known that it is warm.
    let cold = |e: &&Exchange| {
        let home = world.evacuated.iter().filter(|(domain, ..)| *domain == HOME.0);
        e.kind == Kind::Home && home.clone().any(|(_, _, until)| e.sent < *until + WARM_AGAIN)
    };
    let counted = |e: &&Exchange| e.sent >= since && e.kind != Kind::Deadly && !cold(e);
    let late = seen.iter().filter(counted);
    let late: Vec<&Exchange> = late.collect();
    let served = late
        .iter()
        .filter(|e| e.answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK));
    let served = served.count();
    if (served as f64) < RECOVERED * late.len() as f64 {
        broken.push(format!("{served} of {} served after the last fault", late.len()));
    }
}

/// What upstreams ended under is known to all VMs that run and are reached, soon after the third.
fn held_back(
    seen: &[Exchange],
    runs: &BTreeMap<&str, Vec<&str>>,
    (world, disturbed): (&World, &Disturbed),
    broken: &mut Vec<String>,
) {
    let Some(third) = world.ends.get(2) else { return };
    let calm = |e: &&Exchange| {
        let times = disturbed.get(&e.vm).into_iter().flatten();
        times.clone().all(|at| *at + KNOWN < e.sent || *at > e.sent + e.took)
    };
    let late = seen.iter().filter(|e| e.kind == Kind::Deadly && e.sent > *third + KNOWN);
    let ran = late.filter(calm).filter(|e| runs.contains_key(e.identity.as_str())).count();
    if ran > DEADLY_MOST {
        let ended = world.ends.len();
        broken.push(format!("a deadly query ran {ran} times once known, {ended} upstreams ended"));
    }
}

/// Upstreams run only what a caller sent.
fn strangers(seen: &[Exchange], runs: &BTreeMap<&str, Vec<&str>>, broken: &mut Vec<String>) {
    let known: BTreeSet<&str> = seen.iter().map(|e| e.identity.as_str()).collect();
    for identity in runs.keys().filter(|identity| !known.contains(**identity)) {
        broken.push(format!("{identity}: ran, and nobody sent it"));
    }
}

/// What leaves gets nothing new after a while, whether it says so or its entry is removed without a word.
fn drained(world: &World, broken: &mut Vec<String>) {
    for upstream in &world.upstreams {
        let (Some(left), Some(runs)) = (upstream.left, world.runs.get(upstream.leaf.id())) else {
            continue;
        };
        // What is removed right before the store is down for all is heard of by nobody. At its return the entry is
        // missing as those are that lapsed, and its upstream is kept as these are: the time counts from the return.
        let during = |(down, up): &&(Instant, Instant)| *down < left + DRAIN && *up > left;
        let from = world.outages.iter().filter(during).map(|(_, up)| *up).fold(left, Instant::max);
        if let Some(late) = runs.iter().find(|run| run.at > from + DRAIN) {
            let after = late.at - left;
            broken.push(format!("{}: ran {after:?} after its upstream left", late.request));
        }
    }
}

/// What ran in the upstreams' processes of some failure domains.
fn runs_in(world: &World, domain: impl Fn(&str) -> bool) -> impl Iterator<Item = &Run> {
    let lives = world.lives.iter().filter(move |life| domain(life.domain));
    let ids: BTreeSet<&String> = lives.map(|life| &life.id).collect();
    ids.into_iter().flat_map(|id| world.runs.get(id).into_iter().flatten())
}

/// Requests that may be served in one region only reach no upstream elsewhere.
fn at_home(world: &World, broken: &mut Vec<String>) {
    let away = runs_in(world, |domain| domain != HOME.0);
    for run in away.filter(|run| run.what.starts_with("GET /home/")) {
        broken.push(format!("{}: ran outside of its home region", run.request));
    }
}

/// The upstreams of an evacuated failure domain get nothing new after a while.
fn evacuated(world: &World, broken: &mut Vec<String>) {
    for (domain, from, until) in &world.evacuated {
        let late = runs_in(world, |at| at == *domain);
        for run in late.filter(|run| run.at > *from + EVACUATED && run.at < *until) {
            let after = run.at - *from;
            broken.push(format!("{}: ran {after:?} after {domain} was evacuated", run.request));
        }
    }
}

/// An upstream that has started is sent no more than it bears, by all VMs together.
fn cold(world: &World, broken: &mut Vec<String>) {
    for life in &world.lives {
        let (Some(from), Some(runs)) = (life.cold_from, world.runs.get(&life.id)) else { continue };
        let bent = world
            .bent
            .iter()
            .any(|(id, at)| *id == life.id && *at + SECOND > from && *at < from + COLD + SECOND);
        if bent {
            continue;
        }
        let cold: Vec<Instant> =
            runs.iter().map(|run| run.at).filter(|at| *at >= from && *at < from + COLD).collect();
        for (number, at) in cold.iter().enumerate() {
            let within = cold[number..].iter().filter(|other| **other < *at + SECOND).count();
            if within > COLD_MOST {
                broken.push(format!("{}: {within} requests in a second while cold", life.id));
                break;
            }
        }
    }
}
