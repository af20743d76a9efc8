//! Timeline of one request, built from the log files of VMs.

use crate::log::{self, Line, seconds_of_day};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    path::Path,
};

/// Messages about a VM's state that help to explain its decisions.
const STATE_MESSAGES: [&str; 15] = [
    "start",
    "stop",
    "reload",
    DRAIN_MESSAGE,
    "configuration in force",
    "store lost",
    "store regained",
    "whether the store answers this VM",
    "watch ended",
    "upstreams listed",
    "VMs counted",
    "this VM was paused",
    "level of overload changed",
    "watching the platform's store for the failure domain",
    LINES_DROPPED_MESSAGE,
];
/// Message of a VM that starts to drain because it was told to stop.
const DRAIN_MESSAGE: &str = "leaving: not ready, still accepting";
/// Message that gives the number of dropped log lines.
const LINES_DROPPED_MESSAGE: &str = "log lines left out in the last interval";
/// Message of a VM under one or more of whose sends an upstream process ended.
const UPSTREAM_ENDED_MESSAGE: &str = "upstream ended under a send";
/// Message of a query that was rejected before anything was sent.
const REJECTED_MESSAGE: &str = "query rejected";
/// Reason of a rejection by the VM that took the request, as the gatherers that it asked were full.
const GATHERER_FULL_REASON: &str = "gatherer full";
/// Message of a send to a retained upstream: "doubted" is one kept although its entry in the store is
/// missing. It may have left, which can explain how the request ended.
const RETAINED_SEND_MESSAGE: &str = "send to a doubted upstream";
/// Connect timeout of callers in s. The time that a caller reports for a request may lie this long after it began
/// to connect.
const CONNECT_TIMEOUT_S: f64 = 1.5;
/// Messages that tell whether a VM was running.
const LIFECYCLE_MESSAGES: [&str; 3] = ["start", "stop", DRAIN_MESSAGE];

/// The log lines that explain how one request was handled.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Lines on the state of the VMs that handled the request: as of its arrival, and changes while it ran.
    pub context: Vec<String>,
    /// Lines about the request itself, in order of time.
    pub lines: Vec<String>,
    /// Why the request ended as it did.
    pub cause: String,
}

/// Selects the request to explain.
#[derive(Copy, Clone, Debug)]
pub struct Selector<'a> {
    /// The request's ID.
    pub request: &'a str,
    /// When the caller sent the request, as a prefix of an RFC 3339 time. Used if no VM logged it.
    pub at: Option<&'a str>,
    /// The VM that the caller connected to, if known.
    pub vm: Option<&'a str>,
}

/// Reads the logs of VMs and builds the timeline of a request.
/// Errors: a file cannot be read.
pub fn read(selector: Selector<'_>, files: &[impl AsRef<Path>]) -> io::Result<Timeline> {
    let lines = log::read(files)?;
    let timeline = build(selector.request, &lines);
    Ok(match selector.at {
        Some(at) if timeline.lines.is_empty() => explain_unlogged(at, selector.vm, &lines),
        _ => timeline,
    })
}

/// The timeline of a request that no VM logged: what happened to the VMs around the time at which it was sent.
fn explain_unlogged(at: &str, vm: Option<&str>, lines: &[Line]) -> Timeline {
    let is_selected = |line: &&Line| vm.is_none_or(|vm| line.vm == vm);
    let mut nearest_by_vm: BTreeMap<&str, NearestLines<'_>> = BTreeMap::new();
    for line in lines.iter().filter(is_selected) {
        let nearest = nearest_by_vm.entry(line.vm.as_str()).or_default();
        let later = line.timestamp() > at;
        if line.message() == LINES_DROPPED_MESSAGE && later {
            nearest.lines_dropped.get_or_insert(line);
        } else if LIFECYCLE_MESSAGES.contains(&line.message()) && later {
            nearest.after.get_or_insert(line);
        } else if LIFECYCLE_MESSAGES.contains(&line.message()) {
            nearest.before = Some(line);
        }
    }
    let mut causes = Vec::new();
    let mut context = Vec::new();
    for (vm, NearestLines { before, after, lines_dropped }) in nearest_by_vm {
        context.extend([before, lines_dropped, after].into_iter().flatten().map(Line::render));
        let drop_report =
            lines_dropped.filter(|l| after.is_none_or(|a| l.timestamp() < a.timestamp()));
        causes.extend(
            lifecycle_cause(vm, before, after).or_else(|| recent_start_cause(vm, before, at)),
        );
        causes.extend(drop_report.map(|l| format!("{vm} had left lines out by {}", l.timestamp())));
    }
    let cause = match causes.is_empty() {
        true => {
            "no VM logged this request, and all that are named here ran: it reached none".into()
        }
        false => causes.join("; "),
    };
    Timeline { context, lines: Vec::new(), cause }
}

/// The cause if a VM had started less than a connect timeout before `at`: the caller may have begun to connect
/// while the VM was down, and that connection is lost.
fn recent_start_cause(vm: &str, before: Option<&Line>, at: &str) -> Option<String> {
    let started = before.filter(|l| l.message() == "start")?;
    let age_s = seconds_of_day(at)? - seconds_of_day(started.timestamp())?;
    let lost = (0.0..CONNECT_TIMEOUT_S).contains(&age_s);
    lost.then(|| {
        format!("{vm} had started only {age_s:.1} s before: what was begun earlier was lost")
    })
}

/// The lines on a VM's lifecycle that are nearest to a moment, before and after it.
#[derive(Default)]
struct NearestLines<'a> {
    before: Option<&'a Line>,
    after: Option<&'a Line>,
    /// The first line after the moment that reports dropped log lines.
    lines_dropped: Option<&'a Line>,
}

/// The cause if a VM was not running or was draining at a moment, by its nearest lifecycle lines.
fn lifecycle_cause(vm: &str, before: Option<&Line>, after: Option<&Line>) -> Option<String> {
    let message = |line: Option<&Line>| line.map_or("", Line::message).to_owned();
    let when = after.map_or("", Line::timestamp);
    match (message(before).as_str(), message(after).as_str()) {
        ("", "start") => Some(format!("{vm} had not started, which it did at {when}")),
        ("stop", "start") => Some(format!("{vm} had stopped, and started again at {when}")),
        ("stop", _) => Some(format!("{vm} had stopped for good")),
        // A process that starts again without a stop message before was killed, or its host lost power.
        ("start", "start") => {
            Some(format!("{vm} ended without a word, at some time before it started at {when}"))
        }
        (DRAIN_MESSAGE, _) => Some(format!("{vm} was leaving, and stopped taking callers")),
        _ => None,
    }
}

fn build(request: &str, lines: &[Line]) -> Timeline {
    let is_own =
        |line: &&Line| line.text("request") == request || line.has_word("requests", request);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let vms: BTreeSet<&str> = own.iter().map(|l| l.vm.as_str()).collect();
    let upstreams: BTreeSet<&str> =
        own.iter().map(|l| l.text("upstream")).filter(|u| !u.is_empty()).collect();
    let (first, last) =
        (own.first().map_or("", |l| l.timestamp()), own.last().map_or("", |l| l.timestamp()));
    let mut latest_state: BTreeMap<(&str, &str), &Line> = BTreeMap::new();
    let mut during = Vec::new();
    for line in lines.iter().filter(|l| vms.contains(l.vm.as_str()) && l.timestamp() <= last) {
        let upstream = line.text("upstream");
        let is_about_upstream = upstreams.contains(upstream) && line.text("request").is_empty();
        if !is_about_upstream && !STATE_MESSAGES.contains(&line.message()) {
            continue;
        }
        if line.timestamp() >= first {
            during.push(line);
        } else {
            // The VM's state when the request came is given by the latest line of each kind before it.
            let key = if is_about_upstream { upstream } else { line.message() };
            latest_state.insert((line.vm.as_str(), key), line);
        }
    }
    let mut context: Vec<&Line> = latest_state.into_values().chain(during).collect();
    context.sort_by(|a, b| a.timestamp().cmp(b.timestamp()));
    Timeline {
        context: context.into_iter().map(Line::render).collect(),
        lines: own.iter().map(|l| l.render()).collect(),
        cause: answer_cause(&own) + &retained_sends(&own) + &similar_losses(&own, lines),
    }
}

fn answer_cause(own: &[&Line]) -> String {
    let Some(end) = own.iter().rev().find(|l| l.message() == "request") else {
        return match own.len() {
            0 => "no VM logged this request: it reached none, or its lines were left out; --at tells \
                  what the VMs did then"
                .into(),
            _ => "no VM logged an answer: the VM ended while the request ran".into(),
        };
    };
    let rejection = own.iter().rev().find(|l| l.message() == REJECTED_MESSAGE);
    let reason = match end.text("cause") {
        "overload" => rejection.map_or_else(
            || "its query was rejected by a decision that no VM logged here".into(),
            |line| rejection_cause(line),
        ),
        _ if end.text("outcome") == "timed out" && rejection.is_some() => {
            "it waited for admission until its deadline".into()
        }
        "no route" => format!("no route takes it in configuration {}", end.number("config")),
        "no configuration" => "the VM knew no configuration: the store had not answered".into(),
        "no upstream" => {
            "a service of the route had no upstream that was not leaving or evacuated".into()
        }
        "no upstream in its home regions" => {
            "it may be served in its route's home regions only, and no upstream there took new work: \
             see the lines \"evacuations in force\" and \"upstream changed\""
                .into()
        }
        "cold upstreams bear no more" => {
            "all upstreams of a service may be cold, and bear no more requests in this second, or \
             another VM holds the right to send to them"
                .into()
        }
        "unknown API key" => {
            format!("no tenant holds its API key in configuration {}", end.number("config"))
        }
        "API key cannot be verified" => {
            "this VM does not know its API key, and no VM that reads the store told it in time that \
             its configuration is the newest"
                .into()
        }
        "over its tenant's limit" => format!(
            "{} was over its limit, by the count of {}",
            end.text("tenant"),
            counted_by(end)
        ),
        "tenant's limit undecided" => format!(
            "{} had become the holder of {}'s limit only now, or lacked contact to others",
            counted_by(end),
            end.text("tenant")
        ),
        "no identity" => "it bore no identity".into(),
        "no memory for the body" => "bodies of other requests took the memory set aside".into(),
        "body too long" => "its body is longer than the operators allow".into(),
        "body broken" => "its body ended early or is malformed".into(),
        "body late" => "its body did not come in time".into(),
        "caller left" => "the caller left before its answer".into(),
        "all upstreams full" => "all upstreams hold as many sends as this VM may make".into(),
        _ => upstream_failures(own),
    };
    let (outcome, age_ms) = (end.text("outcome"), end.number("age_ms"));
    let (got, parts) = (end.number("got"), end.number("parts"));
    let not_retried = if end.text("safety") == "at-most-once" && outcome != "forwarded" {
        " (at most once: not sent again after a send that may have run)"
    } else {
        ""
    };
    let missing_parts = if outcome == "merged" && got < parts {
        format!(", {} of {parts} parts left out", parts - got)
    } else {
        String::new()
    };
    let is_gatherer_full = rejection.is_some_and(|l| l.text("reason") == GATHERER_FULL_REASON);
    let gathered = match end.text("gatherer") {
        "" => String::new(),
        gatherer if is_gatherer_full => format!(" ({gatherer} was asked last)"),
        gatherer => format!(" (made by {gatherer}, see its line \"query gathered\")"),
    };
    let waited = wait_before_sends(own);
    format!("{outcome} after {age_ms} ms{missing_parts}: {reason}{waited}{not_retried}{gathered}")
}

/// Why a query was rejected before anything was sent, for whom, and when its caller may retry.
fn rejection_cause(line: &Line) -> String {
    let reason = match line.text("reason") {
        "backlog" => "the queries ahead of it took longer than its latency target left".into(),
        "expired" => format!(
            "it waited {} ms, and could no longer be served within its latency target",
            line.number("waited_ms")
        ),
        "displaced" => "the queue was full, and it was the last in order".into(),
        GATHERER_FULL_REASON => {
            "the gatherers that were asked held as many queries as they may".into()
        }
        reason => reason.to_owned(),
    };
    let tenant = match line.text("tenant") {
        "" => String::new(),
        tenant => format!(" of tenant {tenant}"),
    };
    let level = if line.flag("overloaded") { "overloaded" } else { "not overloaded" };
    format!(
        "{reason}; a query of priority {}{tenant}, rejected by {}, which was {level}; its caller may retry after {} ms",
        line.number("priority"),
        line.vm,
        line.number("retry_ms")
    )
}

/// How long an admitted query waited, by the line of the VM that made it.
fn wait_before_sends(own: &[&Line]) -> String {
    if own.iter().any(|l| l.message() == REJECTED_MESSAGE) {
        return String::new();
    }
    let waited = own.iter().rev().find_map(|l| l.optional_number("waited_ms"));
    waited.map_or_else(String::new, |ms| format!("; waited {ms} ms for admission"))
}

/// The VM that counts a tenant's requests.
fn counted_by(line: &Line) -> &str {
    match line.text("counted_by") {
        "" => "this VM",
        vm => vm,
    }
}

/// Sends of the request to upstreams whose entries the VM knew to be missing.
fn retained_sends(own: &[&Line]) -> String {
    let sent = own.iter().filter(|l| l.message() == RETAINED_SEND_MESSAGE).map(|l| {
        let (upstream, known) = (l.text("upstream"), l.number("known_ms"));
        let over = match l.number("over_ms") {
            0 => String::new(),
            over => format!(", {over} ms longer than it is kept"),
        };
        format!("; sent to {upstream}, whose entry had been missing for {known} ms{over}")
    });
    sent.collect()
}

/// How many upstreams ended under this request and others with its fingerprint.
fn similar_losses(own: &[&Line], lines: &[Line]) -> String {
    let Some(fingerprint) = own.iter().map(|l| l.text("print")).find(|p| !p.is_empty()) else {
        return String::new();
    };
    let lost = lines
        .iter()
        .filter(|l| l.message() == UPSTREAM_ENDED_MESSAGE && l.has_word("prints", fingerprint));
    let ended: BTreeSet<&str> = lost.map(|l| l.text("upstream")).collect();
    match ended.len() {
        0 => String::new(),
        count => {
            format!("; {count} upstreams ended under requests with its fingerprint, {fingerprint}")
        }
    }
}

/// Failed sends of the request, and why further sends were withheld.
fn upstream_failures(own: &[&Line]) -> String {
    let mut failures = Vec::new();
    for line in own.iter().filter(|l| l.message() == "send ended") {
        let (service, upstream) = (line.text("service"), line.text("upstream"));
        let took = line.number("took_ms");
        failures.push(format!("{upstream} of {service} {} after {took} ms", line.text("result")));
    }
    for line in own.iter().filter(|l| l.message() == UPSTREAM_ENDED_MESSAGE) {
        failures.push(format!(
            "{} of {} ended under it",
            line.text("upstream"),
            line.text("service")
        ));
    }
    for line in own.iter().filter(|l| l.message() == "send withheld") {
        let (service, why) = (line.text("service"), line.text("why"));
        failures.push(format!("no {why} to {service}: {}", line.text("reason")));
    }
    if failures.is_empty() {
        let sends = own.iter().filter(|l| l.message() == "send").count();
        return match sends {
            0 => "nothing went wrong at upstreams".into(),
            _ => format!("{sends} sends were late or failed"),
        };
    }
    failures.join("; ")
}
