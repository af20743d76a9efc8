use crate::{
    callers::{Answer, Exchange, Kind},
    environment::{
        Environment, HOME, MAX_WARMUP_REQUESTS, MIN_SHARD_SHARE, RESULT_LIMIT, SINGLE_SERVICE,
        WARMUP_TIME, shards,
    },
    fleet::Layout,
    leaving::{self, Leavings},
    overload, quarantine, tenants,
};
use http::StatusCode;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    ops::Range,
    time::Duration,
};
use tgw_site_standin::leaf::{Run, header_names, records, signature};
use tokio::time::Instant;

const RECORD_BYTES: usize = 16;
/// Minimum share of requests that must be served after the last fault.
const MIN_RECOVERED_RATIO: f64 = 0.9;
/// Maximum number of broken guarantees in a report.
const MAX_REPORTED: usize = 20;
/// Time around a disturbance of a VM in which it may leave requests without an answer.
const DISTURBANCE_TIME: Duration = Duration::from_millis(5_000);
/// Time within which also VMs that were disturbed, and upstreams whose links were, are done with a
/// leaving. Operators bound neither; for all others [`leaving`] holds their bound.
const DISTURBED_DRAIN_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time within which all VMs know that a failure domain is evacuated.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time after the end of an evacuation by which its upstreams count as warm unless they report
/// otherwise.
const REWARM_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time after a send without an answer during which its upstream may be back cold as far as a VM knows.
const UNANSWERED_COLD_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Window in which the requests to a cold upstream are counted.
const RATE_WINDOW: Duration = Duration::from_millis(1_000);

/// Result of a run.
pub(crate) struct Report {
    pub(crate) asked: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) runs: usize,
    pub(crate) leavings: Leavings,
    /// How the tenants of the overload were served, if the run has one.
    pub(crate) overload: Option<overload::Summary>,
    pub(crate) broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { asked, served, refused, runs, leavings, overload, broken } = self;
        let broken = broken.len();
        write!(f, "{asked} asked, {served} served, {refused} refused, {runs} ran, ")?;
        write!(f, "{leavings}, {broken} broken")?;
        overload.iter().try_for_each(|summary| write!(f, "\n{summary}"))
    }
}

/// Times at which each VM was disturbed by a fault; failures near these times are tolerated.
pub(crate) type Disturbances = BTreeMap<usize, Vec<Instant>>;

/// What callers and upstreams observed, and what was done to the VMs.
pub(crate) struct Observed<'a> {
    pub(crate) exchanges: &'a [Exchange],
    pub(crate) environment: &'a Environment,
    pub(crate) disturbances: &'a Disturbances,
    /// When each VM was disturbed in a way for which operators do not hold it to the bound on leavings.
    pub(crate) out_of_contact: &'a Disturbances,
    /// When nearly all requests must be served again.
    pub(crate) recovery: Range<Instant>,
    /// When tenants asked for more than the upstreams could serve, if the run has an overload.
    pub(crate) burst: Option<Range<Instant>>,
    /// Where the VMs are.
    pub(crate) layout: Layout,
}

/// Checks all guarantees against what callers and upstreams observed.
pub(crate) fn check(observed: &Observed<'_>) -> Report {
    let Observed { exchanges, environment, disturbances, .. } = *observed;
    let mut broken = Vec::new();
    let runs = runs_by_request(environment);
    for exchange in exchanges {
        let request_runs =
            runs.get(exchange.request_id.as_str()).map(Vec::as_slice).unwrap_or_default();
        check_execution(exchange, request_runs, &mut broken);
        if let Some(answer) = &exchange.answer {
            check_body(exchange, answer, &mut broken);
        }
        // A VM that no fault disturbed must answer in time.
        let undisturbed = disturbances.get(&exchange.vm).is_none_or(|times| {
            times.iter().all(|at| {
                *at + DISTURBANCE_TIME < exchange.sent_at
                    || *at > exchange.sent_at + DISTURBANCE_TIME
            })
        });
        if undisturbed && exchange.answer.is_none() {
            broken.push(format!("{}: no answer in {:?}", exchange.request_id, exchange.elapsed));
        }
    }
    check_recovery(exchanges, environment, &observed.recovery, &mut broken);
    quarantine::check_deadly(exchanges, &runs, (environment, disturbances), &mut broken);
    check_unknown_requests(exchanges, &runs, &mut broken);
    check_drained(environment, &mut broken);
    let leavings = leaving::check(observed, &mut broken);
    check_home_region(environment, observed.layout, &mut broken);
    check_evacuated(environment, &mut broken);
    check_cold(environment, &mut broken);
    tenants::check(exchanges, environment, &mut broken);
    let overload = observed
        .burst
        .as_ref()
        .map(|burst| overload::check(exchanges, burst, &observed.recovery, &mut broken));
    broken.truncate(MAX_REPORTED);
    let status = |code: StatusCode| {
        exchanges.iter().filter(|e| e.answer.as_ref().is_some_and(|a| a.status == code)).count()
    };
    Report {
        asked: exchanges.len(),
        served: status(StatusCode::OK),
        refused: status(StatusCode::SERVICE_UNAVAILABLE),
        runs: runs.values().map(Vec::len).sum(),
        leavings,
        overload,
        broken,
    }
}

fn runs_by_request(environment: &Environment) -> BTreeMap<&str, Vec<&str>> {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in environment.runs.values().flatten() {
        runs.entry(&run.request_id).or_default().push(&run.content);
    }
    runs
}

/// Checks that requests ran at most once where required, that requests refused as not run did not
/// run, and that requests reached upstreams unchanged.
fn check_execution(exchange: &Exchange, runs: &[&str], broken: &mut Vec<String>) {
    let Exchange { kind, request_id, answer, .. } = exchange;
    let count = runs.len();
    if *kind == Kind::AtMostOnce && count > 1 {
        broken.push(format!("{request_id}: ran {count} times"));
    }
    let status = answer.as_ref().map(|a| a.status);
    let claims_not_run =
        matches!(status, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS));
    if claims_not_run && count > 0 {
        broken.push(format!("{request_id}: refused as not run, and ran {count} times"));
    }
    let expected = match kind {
        Kind::AtMostOnce => format!("POST {} order", kind.target()),
        _ => format!("GET {} ", kind.target()),
    };
    if let Some(other) = runs.iter().find(|run| **run != expected) {
        broken.push(format!("{request_id}: reached an upstream as {other:?}"));
    }
}

/// Checks that the body of a successful answer matches its signatures exactly.
fn check_body(exchange: &Exchange, answer: &Answer, broken: &mut Vec<String>) {
    if answer.status != StatusCode::OK {
        return;
    }
    let request_id = &exchange.request_id;
    let wrong = match exchange.kind {
        Kind::AllShards(_) | Kind::Deadly(_) | Kind::Load(_) => check_merged(request_id, answer),
        _ => check_single(request_id, answer),
    };
    if let Some(wrong) = wrong {
        broken.push(format!("{request_id}: {wrong}"));
    }
}

fn check_single(request_id: &str, answer: &Answer) -> Option<String> {
    let actual = answer.headers.get(header_names().signature).and_then(|v| v.to_str().ok());
    if actual != Some(&signature(SINGLE_SERVICE, request_id)) {
        return Some(format!("signature {actual:?}"));
    }
    (answer.body[..] != records(SINGLE_SERVICE, request_id)[..]).then(|| "another body".into())
}

fn check_merged(request_id: &str, answer: &Answer) -> Option<String> {
    let header = |name| answer.headers.get(name).and_then(|v| v.to_str().ok());
    let signatures: Vec<&str> =
        header(header_names().part_signatures)?.split(',').map(str::trim).collect();
    let missing: usize =
        header(header_names().missing_parts).and_then(|m| m.parse().ok()).unwrap_or(0);
    let all = shards();
    let parts: BTreeSet<&String> =
        all.iter().filter(|s| signatures.contains(&signature(s, request_id).as_str())).collect();
    if parts.len() != signatures.len() {
        return Some(format!("signatures {signatures:?}"));
    }
    if parts.len() + missing != all.len() {
        return Some(format!("{} parts and {missing} missing of {}", parts.len(), all.len()));
    }
    if (parts.len() as f64) < MIN_SHARD_SHARE * all.len() as f64 {
        return Some(format!("a success of {} parts", parts.len()));
    }
    let part_records: Vec<Vec<u8>> = parts.iter().map(|s| records(s, request_id)).collect();
    let mut expected: Vec<&[u8]> =
        part_records.iter().flat_map(|part| part.chunks(RECORD_BYTES)).collect();
    expected.sort_unstable_by(|a, b| b.cmp(a));
    expected.truncate(RESULT_LIMIT);
    (answer.body[..] != expected.concat()[..]).then(|| "records that are not the greatest".into())
}

/// Checks that nearly all requests are served again some time after the last fault.
fn check_recovery(
    exchanges: &[Exchange],
    environment: &Environment,
    phase: &Range<Instant>,
    broken: &mut Vec<String>,
) {
    // The only upstream in the home region takes few requests until the VMs can know that it is warm.
    let is_cold = |e: &&Exchange| {
        let home = environment.evacuations.iter().filter(|(domain, ..)| *domain == HOME.0);
        e.kind == Kind::HomeRegion
            && (home.clone().any(|(_, _, until)| e.sent_at < *until + REWARM_TIMEOUT)
                || is_unanswered_at_home(environment, e.sent_at))
    };
    let is_served = |kind| !matches!(kind, Kind::Deadly(_) | Kind::Limited | Kind::UnknownKey);
    let is_counted = |e: &&Exchange| phase.contains(&e.sent_at) && is_served(e.kind) && !is_cold(e);
    let recent = exchanges.iter().filter(is_counted);
    let recent: Vec<&Exchange> = recent.collect();
    let served = recent
        .iter()
        .filter(|e| e.answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK));
    let served = served.count();
    if (served as f64) < MIN_RECOVERED_RATIO * recent.len() as f64 {
        broken.push(format!("{served} of {} served after the last fault", recent.len()));
    }
}

/// Whether the link to an upstream of the home region was disturbed a short time before `at`. It may
/// have restarted meanwhile, and gets few requests until VMs can know that it did not.
fn is_unanswered_at_home(environment: &Environment, at: Instant) -> bool {
    let mut at_home = environment
        .incarnations
        .iter()
        .filter(|i| i.domain == HOME.0 && i.service == SINGLE_SERVICE);
    at_home.any(|incarnation| {
        environment.link_faults.iter().any(|(id, fault)| {
            *id == incarnation.id && *fault <= at && at < *fault + UNANSWERED_COLD_TIMEOUT
        })
    })
}

/// Checks that upstreams ran only requests that a caller sent.
fn check_unknown_requests(
    exchanges: &[Exchange],
    runs: &BTreeMap<&str, Vec<&str>>,
    broken: &mut Vec<String>,
) {
    let known: BTreeSet<&str> = exchanges.iter().map(|e| e.request_id.as_str()).collect();
    for request_id in runs.keys().filter(|request_id| !known.contains(**request_id)) {
        broken.push(format!("{request_id}: ran, and nobody sent it"));
    }
}

/// Checks that a leaving upstream gets no new requests after a while, whether its entry says that it
/// drains or is removed without notice.
fn check_drained(environment: &Environment, broken: &mut Vec<String>) {
    for upstream in &environment.upstreams {
        let (Some(left), Some(runs)) = (upstream.left_at, environment.runs.get(upstream.leaf.id()))
        else {
            continue;
        };
        // No VM learns of an entry that is removed right before the store goes down for all VMs. When the store
        // returns, the entry is missing like an expired one, and its upstream is retained like those of expired
        // entries, so the time counts from the store's return.
        let during =
            |(down, up): &&(Instant, Instant)| *down < left + DISTURBED_DRAIN_TIMEOUT && *up > left;
        let from =
            environment.outages.iter().filter(during).map(|(_, up)| *up).fold(left, Instant::max);
        if let Some(late) = runs.iter().find(|run| run.started_at > from + DISTURBED_DRAIN_TIMEOUT)
        {
            let after = late.started_at - left;
            broken.push(format!("{}: ran {after:?} after its upstream left", late.request_id));
        }
    }
}

/// Requests that ran at the upstreams of the failure domains for which `domain` is true.
fn runs_in_domains(
    environment: &Environment,
    domain: impl Fn(&str) -> bool,
) -> impl Iterator<Item = &Run> {
    let incarnations =
        environment.incarnations.iter().filter(move |incarnation| domain(incarnation.domain));
    let ids: BTreeSet<&String> = incarnations.map(|incarnation| &incarnation.id).collect();
    ids.into_iter().flat_map(|id| environment.runs.get(id).into_iter().flatten())
}

/// Checks that requests restricted to one region reached no upstream of another region.
fn check_home_region(environment: &Environment, layout: Layout, broken: &mut Vec<String>) {
    let outside = runs_in_domains(environment, |domain| !layout.is_home(domain));
    for run in outside.filter(|run| run.content.starts_with("GET /home/")) {
        broken.push(format!("{}: ran outside of its home region", run.request_id));
    }
}

/// Checks that the upstreams of an evacuated failure domain get no new requests after a while.
fn check_evacuated(environment: &Environment, broken: &mut Vec<String>) {
    for (domain, from, until) in &environment.evacuations {
        let late = runs_in_domains(environment, |at| at == *domain);
        for run in late
            .filter(|run| run.started_at > *from + EVACUATION_TIMEOUT && run.started_at < *until)
        {
            let after = run.started_at - *from;
            broken.push(format!("{}: ran {after:?} after {domain} was evacuated", run.request_id));
        }
    }
}

/// Checks that all VMs together send a cold upstream no more requests than its warm-up allows.
fn check_cold(environment: &Environment, broken: &mut Vec<String>) {
    for incarnation in &environment.incarnations {
        let (Some(from), Some(runs)) =
            (incarnation.cold_from, environment.runs.get(&incarnation.id))
        else {
            continue;
        };
        let has_link_fault = environment.link_faults.iter().any(|(id, at)| {
            *id == incarnation.id
                && *at + RATE_WINDOW > from
                && *at < from + WARMUP_TIME + RATE_WINDOW
        });
        if has_link_fault {
            continue;
        }
        let cold_runs: Vec<Instant> = runs
            .iter()
            .map(|run| run.started_at)
            .filter(|at| *at >= from && *at < from + WARMUP_TIME)
            .collect();
        for (number, at) in cold_runs.iter().enumerate() {
            let within =
                cold_runs[number..].iter().filter(|other| **other < *at + RATE_WINDOW).count();
            if within > MAX_WARMUP_REQUESTS {
                broken
                    .push(format!("{}: {within} requests in a second while cold", incarnation.id));
                break;
            }
        }
    }
}
