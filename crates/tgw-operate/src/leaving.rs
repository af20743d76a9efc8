//! When each VM learned that an upstream leaves, and which VMs sent to it afterwards, from log files.

use crate::log::{self, Line, seconds_of_day};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    io,
    path::Path,
};

/// Message of a VM that retains an upstream: "doubted" is one kept although its entry in the store is
/// missing.
const RETAINED_MESSAGE: &str = "upstream doubted";
/// Message of a VM that stops retaining such an upstream.
const RETENTION_ENDED_MESSAGE: &str = "upstream doubted no more";
/// Message of a send to a retained upstream, which may have left: such sends show for how long a VM still
/// used it.
const RETAINED_SEND_MESSAGE: &str = "send to a doubted upstream";

/// Message of a VM that gives an upstream no new requests any more.
const OUT_OF_SERVICE_MESSAGE: &str = "upstream out of service";
/// Message of a VM whose upstream accepts requests again after it had drained.
const BACK_MESSAGE: &str = "upstream back in service";
/// Messages of a send that ended: without a good reply, and with any after its upstream had left.
const SEND_ENDED_MESSAGES: [&str; 2] = ["send ended", "send ended after its upstream had left"];

/// When one VM learned that the upstream leaves, and what it sent there afterwards.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Observation {
    /// When the VM learned that the upstream leaves or was removed, as an RFC 3339 time.
    #[serde(rename = "heard")]
    pub learned_at: String,
    /// Source of the update: the store, or the address of a peer.
    pub from: String,
    /// Delay in ms after the first VM that learned of it.
    pub after_ms: u64,
    /// End of the time for which the VM retained the upstream although its entry was missing; empty if the
    /// logs show no end, `None` if it was not retained.
    #[serde(rename = "doubted")]
    pub retained_until: Option<String>,
    /// How long the upstream was retained beyond its retention period, in ms.
    pub late_ms: u64,
    /// Requests sent to the retained upstream, each with the ms since the VM learned that it leaves.
    #[serde(rename = "sent")]
    pub sends: Vec<(String, u64)>,
    /// How long before the VM learned of it a request was last written, in ms; `None` if the logs do not
    /// say.
    pub last_write_ms: Option<u64>,
    /// The number of sends in flight at that time.
    pub in_flight: u64,
    /// Sends that ended later: the request, and for how long it had been written, in ms.
    pub ended_later: Vec<(String, u64)>,
    /// When the upstream came back into service, as RFC 3339 times.
    pub returns: Vec<String>,
}

/// When the VMs learned that an upstream leaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// VMs that learned of it, by name.
    pub vms: BTreeMap<String, Observation>,
    /// VMs with log lines, none of which says that the upstream leaves.
    pub unaware: Vec<String>,
}

/// Reads the logs of VMs and reports when each learned that an upstream leaves.
/// Errors: a file cannot be read.
pub fn read(upstream: &str, files: &[impl AsRef<Path>]) -> io::Result<Report> {
    Ok(build(upstream, &log::read(files)?))
}

fn build(upstream: &str, lines: &[Line]) -> Report {
    let mut report = Report::default();
    for line in lines.iter().filter(|l| l.text("upstream") == upstream) {
        let observation = report.vms.get(&line.vm).cloned();
        let Some(mut observation) = observation.or_else(|| first_observation(line)) else {
            continue;
        };
        match line.message() {
            RETAINED_MESSAGE => observation.retained_until = Some(String::new()),
            RETENTION_ENDED_MESSAGE => {
                observation.retained_until = Some(line.timestamp().into());
                observation.late_ms = line.number("late_ms");
            }
            RETAINED_SEND_MESSAGE => {
                observation.sends.push((line.text("request").into(), line.number("known_ms")));
            }
            OUT_OF_SERVICE_MESSAGE => {
                observation.last_write_ms = line.optional_number("last_write_ms");
                observation.in_flight = line.number("in_flight");
            }
            message
                if SEND_ENDED_MESSAGES.contains(&message)
                    && line.optional_number("written_ms").is_some() =>
            {
                let ended = (line.text("request").into(), line.number("written_ms"));
                observation.ended_later.push(ended);
            }
            BACK_MESSAGE => observation.returns.push(line.timestamp().into()),
            _ => {}
        }
        report.vms.insert(line.vm.clone(), observation);
    }
    let earliest =
        report.vms.values().filter_map(|o| seconds_of_day(&o.learned_at)).reduce(f64::min);
    for observation in report.vms.values_mut() {
        let after = seconds_of_day(&observation.learned_at)
            .zip(earliest)
            .map_or(0.0, |(learned, first)| learned - first);
        observation.after_ms = (after * 1_000.0).round() as u64;
    }
    let mut unaware: Vec<String> = lines.iter().map(|l| l.vm.clone()).collect();
    unaware.sort();
    unaware.dedup();
    unaware.retain(|vm| !report.vms.contains_key(vm));
    report.unaware = unaware;
    report
}

/// The observation that a line starts if it says that the upstream leaves; `None` for other lines.
fn first_observation(line: &Line) -> Option<Observation> {
    let leaves = match line.message() {
        "upstream removed" | RETAINED_MESSAGE => true,
        "upstream changed" => line.flag("draining"),
        _ => false,
    };
    let from = match line.text("from") {
        "" => "the store",
        peer => peer,
    };
    leaves.then(|| Observation {
        learned_at: line.timestamp().into(),
        from: from.into(),
        ..Observation::default()
    })
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (vm, observation) in &self.vms {
            let Observation { learned_at, from, after_ms, retained_until, late_ms, .. } =
                observation;
            let Observation { sends, last_write_ms, in_flight, ended_later, returns, .. } =
                observation;
            writeln!(f, "{vm:<24} heard {learned_at} from {from}, {after_ms} ms after the first")?;
            match retained_until.as_deref() {
                None => {}
                Some("") => writeln!(f, "{:<24} keeps it though its entry is missing", "")?,
                Some(at) => writeln!(f, "{:<24} kept it until {at}, {late_ms} ms too long", "")?,
            }
            if let Some(before) = last_write_ms {
                let open = format!("{in_flight} sends in flight");
                writeln!(f, "{:<24} wrote there last {before} ms before, {open}", "")?;
            }
            for (request, written_ms) in ended_later {
                writeln!(f, "{:<24} {request} ended, written {written_ms} ms before", "")?;
            }
            for at in returns {
                writeln!(f, "{:<24} took it back into service at {at}", "")?;
            }
            for (request, known_ms) in sends {
                writeln!(f, "{:<24} sent {request} there, {known_ms} ms after it had heard", "")?;
            }
        }
        for vm in &self.unaware {
            writeln!(f, "{vm:<24} did not hear of it in these logs")?;
        }
        Ok(())
    }
}
