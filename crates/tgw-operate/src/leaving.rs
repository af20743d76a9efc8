//! Who learned when that an upstream leaves, and who sent to it after that, told from log files.

use crate::log::{self, Line, seconds};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    io,
    path::Path,
};

/// The message of a VM that keeps an upstream whose entry is missing, and of the end of that.
const DOUBTED: &str = "upstream doubted";
const DOUBTED_NO_MORE: &str = "upstream doubted no more";
/// The message of a send to such an upstream.
const SENT: &str = "send to a doubted upstream";

/// What one VM knew of the leaving.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Knowledge {
    /// When it heard that the upstream leaves or is gone, as an RFC 3339 time.
    pub heard: String,
    /// Of whom: the store, or the address of a peer.
    pub from: String,
    /// Time in ms since the first VM heard of it.
    pub after_ms: u64,
    /// It kept the upstream though its entry was missing: until when, or nothing if that did not end.
    pub doubted: Option<String>,
    /// How late that ended, in ms.
    pub late_ms: u64,
    /// Requests that it sent there meanwhile, with the time in ms for which it had known.
    pub sent: Vec<(String, u64)>,
}

/// Who learned when that an upstream leaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Leaving {
    /// By VM.
    pub vms: BTreeMap<String, Knowledge>,
    /// VMs that are named in the logs and did not hear of it.
    pub unaware: Vec<String>,
}

/// Reads the logs of VMs and tells who learned when that an upstream leaves.
/// Errors: a file cannot be read.
pub fn read(upstream: &str, files: &[impl AsRef<Path>]) -> io::Result<Leaving> {
    Ok(tell(upstream, &log::read(files)?))
}

fn tell(upstream: &str, lines: &[Line]) -> Leaving {
    let mut leaving = Leaving::default();
    for line in lines.iter().filter(|l| l.text("upstream") == upstream) {
        let known = leaving.vms.get(&line.vm).cloned();
        let Some(mut known) = known.or_else(|| first(line)) else { continue };
        match line.message() {
            DOUBTED => known.doubted = Some(String::new()),
            DOUBTED_NO_MORE => {
                known.doubted = Some(line.at().into());
                known.late_ms = line.number("late_ms");
            }
            SENT => known.sent.push((line.text("request").into(), line.number("known_ms"))),
            _ => {}
        }
        leaving.vms.insert(line.vm.clone(), known);
    }
    let earliest = leaving.vms.values().filter_map(|k| seconds(&k.heard)).reduce(f64::min);
    for known in leaving.vms.values_mut() {
        let after = seconds(&known.heard).zip(earliest).map_or(0.0, |(heard, first)| heard - first);
        known.after_ms = (after * 1_000.0).round() as u64;
    }
    let mut vms: Vec<String> = lines.iter().map(|l| l.vm.clone()).collect();
    vms.sort();
    vms.dedup();
    vms.retain(|vm| !leaving.vms.contains_key(vm));
    leaving.unaware = vms;
    leaving
}

/// What a VM knows by the first line that says that the upstream leaves.
fn first(line: &Line) -> Option<Knowledge> {
    let leaves = match line.message() {
        "upstream removed" | DOUBTED => true,
        "upstream changed" => line.flag("draining"),
        _ => false,
    };
    let from = match line.text("from") {
        "" => "the store",
        peer => peer,
    };
    leaves.then(|| Knowledge { heard: line.at().into(), from: from.into(), ..Knowledge::default() })
}

impl Display for Leaving {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (vm, known) in &self.vms {
            let Knowledge { heard, from, after_ms, doubted, late_ms, sent } = known;
            writeln!(f, "{vm:<24} heard {heard} from {from}, {after_ms} ms after the first")?;
            match doubted.as_deref() {
                None => {}
                Some("") => writeln!(f, "{:<24} keeps it though its entry is missing", "")?,
                Some(at) => writeln!(f, "{:<24} kept it until {at}, {late_ms} ms too long", "")?,
            }
            for (request, known_ms) in sent {
                writeln!(f, "{:<24} sent {request} there, {known_ms} ms after it had heard", "")?;
            }
        }
        for vm in &self.unaware {
            writeln!(f, "{vm:<24} did not hear of it in these logs")?;
        }
        Ok(())
    }
}
