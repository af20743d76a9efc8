//! One request's story, told from the log files of VMs.

use crate::log::{self, Line, seconds};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    path::Path,
};

/// Messages about what a VM believes, by which its decisions are explained.
const BELIEFS: [&str; 14] = [
    "start",
    "stop",
    "reload",
    LEAVING,
    "configuration in force",
    "store lost",
    "store regained",
    "whether the store answers this VM",
    "watch ended",
    "upstreams listed",
    "VMs counted",
    "this VM was paused",
    "watching the platform's store for the failure domain",
    LEFT_OUT,
];
/// The message of a VM that was told to stop.
const LEAVING: &str = "leaving: not ready, still accepting";
/// The message that counts lines which were left out.
const LEFT_OUT: &str = "log lines left out in the last interval";
/// The message of a VM that lost an upstream under one or more sends.
const LOST: &str = "upstream ended under a send";
/// The message of a send to an upstream whose entry is missing.
const DOUBTED: &str = "send to a doubted upstream";
/// Time in s that callers allow for a connection, and that their report may lie after its begin.
const CONNECT_S: f64 = 1.5;
/// Messages that tell whether a VM ran.
const LIFE: [&str; 3] = ["start", "stop", LEAVING];
/// What the logs say of one request.
#[derive(Clone, Debug)]
pub struct Story {
    /// What the VMs concerned believed when the request came, and what changed while it ran.
    pub before: Vec<String>,
    /// What was decided for it, in order.
    pub lines: Vec<String>,
    /// Why it was answered as it was.
    pub cause: String,
}

/// The request that is asked about.
#[derive(Copy, Clone, Debug)]
pub struct Asked<'a> {
    /// Its identity.
    pub request: &'a str,
    /// When its caller sent it, as the beginning of an RFC 3339 time; for requests that no VM logged.
    pub at: Option<&'a str>,
    /// The VM that its caller was led to, if that is known.
    pub vm: Option<&'a str>,
}

/// Reads the logs of VMs and tells the story of a request.
/// Errors: a file cannot be read.
pub fn read(asked: Asked<'_>, files: &[impl AsRef<Path>]) -> io::Result<Story> {
    let lines = log::read(files)?;
    let story = tell(asked.request, &lines);
    Ok(match asked.at {
        Some(at) if story.lines.is_empty() => absent(at, asked.vm, &lines),
        _ => story,
    })
}

/// The story of a request that no VM logged: what the VMs did round the time it was sent.
fn absent(at: &str, vm: Option<&str>, lines: &[Line]) -> Story {
    let of = |line: &&Line| vm.is_none_or(|vm| line.vm == vm);
    let mut last: BTreeMap<&str, Round<'_>> = BTreeMap::new();
    for line in lines.iter().filter(of) {
        let round = last.entry(line.vm.as_str()).or_default();
        let later = line.at() > at;
        if line.message() == LEFT_OUT && later {
            round.left_out.get_or_insert(line);
        } else if LIFE.contains(&line.message()) && later {
            round.after.get_or_insert(line);
        } else if LIFE.contains(&line.message()) {
            round.before = Some(line);
        }
    }
    let mut causes = Vec::new();
    let mut told = Vec::new();
    for (vm, Round { before, after, left_out }) in last {
        told.extend([before, left_out, after].into_iter().flatten().map(Line::told));
        let next = left_out.filter(|l| after.is_none_or(|a| l.at() < a.at()));
        causes.extend(life(vm, before, after).or_else(|| fresh(vm, before, at)));
        causes.extend(next.map(|l| format!("{vm} had left lines out by {}", l.at())));
    }
    let cause = match causes.is_empty() {
        true => {
            "no VM logged this request, and all that are named here ran: it reached none".into()
        }
        false => causes.join("; "),
    };
    Story { before: told, lines: Vec::new(), cause }
}

/// A VM that had just started: a connection that was begun while it was down is lost.
fn fresh(vm: &str, before: Option<&Line>, at: &str) -> Option<String> {
    let started = before.filter(|l| l.message() == "start")?;
    let ago = seconds(at)? - seconds(started.at())?;
    let lost = (0.0..CONNECT_S).contains(&ago);
    lost.then(|| {
        format!("{vm} had started only {ago:.1} s before: what was begun earlier was lost")
    })
}

/// What one VM logged of itself round a moment.
#[derive(Default)]
struct Round<'a> {
    before: Option<&'a Line>,
    after: Option<&'a Line>,
    left_out: Option<&'a Line>,
}

/// What the lines before and after a moment say of a VM's life at that moment.
fn life(vm: &str, before: Option<&Line>, after: Option<&Line>) -> Option<String> {
    let message = |line: Option<&Line>| line.map_or("", Line::message).to_owned();
    let when = after.map_or("", Line::at);
    match (message(before).as_str(), message(after).as_str()) {
        ("", "start") => Some(format!("{vm} had not started, which it did at {when}")),
        ("stop", "start") => Some(format!("{vm} had stopped, and started again at {when}")),
        ("stop", _) => Some(format!("{vm} had stopped for good")),
        // A process that starts without having said that it stops was killed or lost power.
        ("start", "start") => {
            Some(format!("{vm} ended without a word, at some time before it started at {when}"))
        }
        (LEAVING, _) => Some(format!("{vm} was leaving, and stopped taking callers")),
        _ => None,
    }
}

fn tell(request: &str, lines: &[Line]) -> Story {
    let of = |line: &&Line| line.text("request") == request || line.lists("requests", request);
    let own: Vec<&Line> = lines.iter().filter(of).collect();
    let vms: BTreeSet<&str> = own.iter().map(|l| l.vm.as_str()).collect();
    let upstreams: BTreeSet<&str> =
        own.iter().map(|l| l.text("upstream")).filter(|u| !u.is_empty()).collect();
    let (first, last) = (own.first().map_or("", |l| l.at()), own.last().map_or("", |l| l.at()));
    let mut beliefs: BTreeMap<(&str, &str), &Line> = BTreeMap::new();
    let mut meanwhile = Vec::new();
    for line in lines.iter().filter(|l| vms.contains(l.vm.as_str()) && l.at() <= last) {
        let upstream = line.text("upstream");
        let about = upstreams.contains(upstream) && line.text("request").is_empty();
        if !about && !BELIEFS.contains(&line.message()) {
            continue;
        }
        if line.at() >= first {
            meanwhile.push(line);
        } else {
            // The last word of each kind is what was believed.
            let key = if about { upstream } else { line.message() };
            beliefs.insert((line.vm.as_str(), key), line);
        }
    }
    let mut before: Vec<&Line> = beliefs.into_values().chain(meanwhile).collect();
    before.sort_by(|a, b| a.at().cmp(b.at()));
    Story {
        before: before.into_iter().map(Line::told).collect(),
        lines: own.iter().map(|l| l.told()).collect(),
        cause: cause(&own) + &doubted(&own) + &alike(&own, lines),
    }
}

fn cause(own: &[&Line]) -> String {
    let Some(end) = own.iter().rev().find(|l| l.message() == "request") else {
        return match own.len() {
            0 => "no VM logged this request: it reached none, or its lines were left out; --at tells \
                  what the VMs did then"
                .into(),
            _ => "no VM logged an answer: the VM ended while the request ran".into(),
        };
    };
    let reason = match end.text("cause") {
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
        "no identity" => "it bore no identity".into(),
        "no memory for the body" => "bodies of other requests took the memory set aside".into(),
        "body too long" => "its body is longer than the operators allow".into(),
        "body broken" => "its body ended early or is malformed".into(),
        "body late" => "its body did not come in time".into(),
        "caller left" => "the caller left before its answer".into(),
        "all upstreams full" => "all upstreams hold as many sends as this VM may make".into(),
        _ => trouble(own),
    };
    let (outcome, age) = (end.text("outcome"), end.number("age_ms"));
    let (got, parts) = (end.number("got"), end.number("parts"));
    let once = if end.text("safety") == "at-most-once" && outcome != "forwarded" {
        " (at most once: not sent again after a send that may have run)"
    } else {
        ""
    };
    let left_out = if outcome == "merged" && got < parts {
        format!(", {} of {parts} parts left out", parts - got)
    } else {
        String::new()
    };
    format!("{outcome} after {age} ms{left_out}: {reason}{once}")
}

/// Sends of it to upstreams that had left, as far as the VM knew.
fn doubted(own: &[&Line]) -> String {
    let sent = own.iter().filter(|l| l.message() == DOUBTED).map(|l| {
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
fn alike(own: &[&Line], lines: &[Line]) -> String {
    let Some(print) = own.iter().map(|l| l.text("print")).find(|p| !p.is_empty()) else {
        return String::new();
    };
    let lost = lines.iter().filter(|l| l.message() == LOST && l.lists("prints", print));
    let ended: BTreeSet<&str> = lost.map(|l| l.text("upstream")).collect();
    match ended.len() {
        0 => String::new(),
        count => format!("; {count} upstreams ended under requests with its fingerprint, {print}"),
    }
}

/// What went wrong at upstreams, and what kept further sends back.
fn trouble(own: &[&Line]) -> String {
    let mut found = Vec::new();
    for line in own.iter().filter(|l| l.message() == "send ended") {
        let (service, upstream) = (line.text("service"), line.text("upstream"));
        let took = line.number("took_ms");
        found.push(format!("{upstream} of {service} {} after {took} ms", line.text("result")));
    }
    for line in own.iter().filter(|l| l.message() == LOST) {
        found.push(format!("{} of {} ended under it", line.text("upstream"), line.text("service")));
    }
    for line in own.iter().filter(|l| l.message() == "send withheld") {
        let (service, why) = (line.text("service"), line.text("why"));
        found.push(format!("no {why} to {service}: {}", line.text("reason")));
    }
    if found.is_empty() {
        let late = own.iter().filter(|l| l.message() == "send").count();
        return match late {
            0 => "nothing went wrong at upstreams".into(),
            _ => format!("{late} sends were late or failed"),
        };
    }
    found.join("; ")
}
