//! How long changes take to reach all VMs, from log files.

use crate::log::{self, Line, seconds_of_day};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
    io,
    path::Path,
};

/// Message of a VM that adopts a configuration.
const CONFIGURATION_MESSAGE: &str = "configuration in force";
/// Message of a VM that gives an upstream no new requests any more.
const OUT_OF_SERVICE_MESSAGE: &str = "upstream out of service";
/// Message of a VM whose process starts: what it hears of earlier changes says nothing of their spread.
const START_MESSAGE: &str = "start";

/// Delays of one change at all VMs that heard of it, in ms after the first one.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// VMs that heard of it.
    pub vms: usize,
    /// VMs with log lines that did not.
    pub unaware: usize,
    /// Median.
    pub p50_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Delay of the last VM.
    pub last_ms: u64,
    /// The last VM.
    pub last_vm: String,
}

/// The spread of all changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// By version of the configuration.
    pub configurations: BTreeMap<u64, Spread>,
    /// By upstream that went out of service.
    pub departures: BTreeMap<String, Spread>,
}

/// When VMs heard of one change, in seconds of the day.
type Times<'a> = BTreeMap<&'a str, f64>;

/// Reads the logs of VMs and reports how long changes took. Errors: a file cannot be read.
pub fn read(files: &[impl AsRef<Path>]) -> io::Result<Report> {
    Ok(build(&log::read(files)?))
}

fn build(lines: &[Line]) -> Report {
    let mut configurations: BTreeMap<u64, Times<'_>> = BTreeMap::new();
    let mut departures: BTreeMap<&str, Times<'_>> = BTreeMap::new();
    let mut started: BTreeMap<&str, f64> = BTreeMap::new();
    for line in lines {
        let Some(at) = seconds_of_day(line.timestamp()) else { continue };
        let vm = line.vm.as_str();
        match line.message() {
            START_MESSAGE => {
                started.insert(vm, at);
            }
            CONFIGURATION_MESSAGE => {
                let times = configurations.entry(line.number("config")).or_default();
                times.entry(vm).or_insert(at);
            }
            OUT_OF_SERVICE_MESSAGE => {
                let times = departures.entry(line.text("upstream")).or_default();
                times.entry(vm).or_insert(at);
            }
            _ => {}
        }
    }
    let vms: BTreeSet<&str> = lines.iter().map(|line| line.vm.as_str()).collect();
    let spread = |times: &Times<'_>| measure(times, &started, vms.len());
    Report {
        configurations: configurations
            .iter()
            .filter_map(|(version, times)| Some((*version, spread(times)?)))
            .collect(),
        departures: departures
            .iter()
            .filter_map(|(id, times)| Some(((*id).to_owned(), spread(times)?)))
            .collect(),
    }
}

/// The delays of the VMs that ran when the change was first heard of; `None` if none did.
fn measure(times: &Times<'_>, started: &BTreeMap<&str, f64>, vms: usize) -> Option<Spread> {
    let first = times.values().copied().min_by(f64::total_cmp)?;
    let ran = |vm: &str| started.get(vm).is_none_or(|at| *at <= first);
    let mut delays: Vec<(u64, &str)> = times
        .iter()
        .filter(|(vm, _)| ran(vm))
        .map(|(vm, at)| (((at - first) * 1_000.0).round() as u64, *vm))
        .collect();
    delays.sort_unstable();
    let (last_ms, last_vm) = *delays.last()?;
    let percentile = |part: f64| delays[((delays.len() - 1) as f64 * part) as usize].0;
    Some(Spread {
        vms: delays.len(),
        unaware: vms - times.len(),
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        last_ms,
        last_vm: last_vm.into(),
    })
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let columns = ["change", "VMs", "unaware", "p50 ms", "p99 ms", "last ms", "last VM"];
        let [change, vms, unaware, p50, p99, last, last_vm] = columns;
        writeln!(f, "{change:<32} {vms:>5} {unaware:>7} {p50:>7} {p99:>7} {last:>7} {last_vm}")?;
        let configurations =
            self.configurations.iter().map(|(v, spread)| (format!("configuration {v}"), spread));
        let departures =
            self.departures.iter().map(|(id, spread)| (format!("upstream {id} left"), spread));
        for (change, spread) in configurations.chain(departures) {
            let Spread { vms, unaware, p50_ms, p99_ms, last_ms, last_vm } = spread;
            writeln!(
                f,
                "{change:<32} {vms:>5} {unaware:>7} {p50_ms:>7} {p99_ms:>7} {last_ms:>7} {last_vm}"
            )?;
        }
        Ok(())
    }
}
