//! Where requests were lost, counted from the log files of VMs.

use crate::log::{self, Line, seconds};
use serde::Serialize;
use std::{
    collections::{BTreeMap, HashMap},
    fmt::{self, Display, Formatter},
    io,
    path::Path,
};

/// Length of a window, in s: callers' worst windows are judged by as much.
const WINDOW_S: f64 = 2.0;
/// Rows of a table that are printed.
const ROWS: usize = 12;

/// Requests by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Failed, timed out, or given up by their callers.
    pub failed: u64,
    /// Refused unrun.
    pub refused: u64,
    /// Answered after the route's aim.
    pub late: u64,
    /// Answered in time without some parts.
    pub partial: u64,
}

impl Count {
    fn all(&self) -> u64 {
        self.failed + self.refused + self.late + self.partial
    }

    fn add(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Failed => &mut self.failed,
            Outcome::Refused => &mut self.refused,
            Outcome::Late => &mut self.late,
            Outcome::Partial => &mut self.partial,
        } += 1;
    }
}

/// Requests that were not served as they should be, counted by one matter each. A request counts once for
/// each service and each upstream that failed it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Losses {
    /// All of them.
    pub all: Count,
    /// By the cause that their answer names.
    pub causes: BTreeMap<String, Count>,
    /// By the second of the day at which a window of two begins.
    pub windows: BTreeMap<u64, Count>,
    /// By service with a send that failed or was withheld.
    pub services: BTreeMap<String, Count>,
    /// By upstream with a send that failed, and how.
    pub upstreams: BTreeMap<String, Count>,
    /// By why a further send was withheld.
    pub withheld: BTreeMap<String, Count>,
    /// Log lines that VMs left out: the tables count too few where this is not zero.
    pub left_out: u64,
}

#[derive(Clone, Copy)]
enum Outcome {
    Failed,
    Refused,
    Late,
    Partial,
}

/// What is counted.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Causes whose requests are left out, as `no route` of those that only try which configuration is in force:
    /// of 9,620 requests not served as they should be on a day of 295 VMs these were 6,843.
    pub leave_out: Vec<String>,
}

/// Counts what the logs of VMs tell. Errors: a file cannot be read.
pub fn read(files: &[impl AsRef<Path>], options: &Options) -> io::Result<Losses> {
    let lines = log::read(files)?;
    let mut losses = Losses::default();
    let mut lost = HashMap::new();
    for line in &lines {
        match line.message() {
            "request" => {
                let left_out = options.leave_out.iter().any(|cause| cause == line.text("cause"));
                if let Some(outcome) = outcome(line).filter(|_| !left_out) {
                    losses.request(line, outcome);
                    lost.insert(line.text("request"), outcome);
                }
            }
            "log lines left out in the last interval" => losses.left_out += line.number("left_out"),
            _ => {}
        }
    }
    losses.sends(&lines, &lost);
    Ok(losses)
}

/// What was wrong with an answer; `None` for a whole one in time.
fn outcome(line: &Line) -> Option<Outcome> {
    match line.text("outcome") {
        "refused" => Some(Outcome::Refused),
        "failed" | "timed out" | "abandoned" => Some(Outcome::Failed),
        _ if line.flag("late") => Some(Outcome::Late),
        _ if line.number("got") < line.number("parts") && line.text("outcome") == "merged" => {
            Some(Outcome::Partial)
        }
        _ => None,
    }
}

impl Losses {
    fn request(&mut self, line: &Line, outcome: Outcome) {
        self.all.add(outcome);
        let cause = match line.text("cause") {
            "" => line.text("outcome"),
            cause => cause,
        };
        self.causes.entry(cause.into()).or_default().add(outcome);
        if let Some(second) = seconds(line.at()) {
            let window = (second / WINDOW_S).floor() * WINDOW_S;
            self.windows.entry(window as u64).or_default().add(outcome);
        }
    }

    fn sends(&mut self, lines: &[Line], lost: &HashMap<&str, Outcome>) {
        // A request that fails in the same way again and again counts once.
        let mut seen = std::collections::BTreeSet::new();
        for line in lines {
            let Some(outcome) = lost.get(line.text("request")).copied() else { continue };
            let (table, name) = match line.message() {
                "send ended" => {
                    let how = format!("{} {}", line.text("upstream"), line.text("result"));
                    (&mut self.upstreams, how)
                }
                "send withheld" => {
                    (&mut self.withheld, format!("{}: {}", line.text("why"), line.text("reason")))
                }
                _ => continue,
            };
            let request = line.text("request");
            if seen.insert((request, name.clone())) {
                table.entry(name).or_default().add(outcome);
            }
            let service = line.text("service").to_owned();
            if seen.insert((request, service.clone())) {
                self.services.entry(service).or_default().add(outcome);
            }
        }
    }
}

impl Display for Losses {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.left_out > 0 {
            writeln!(f, "{} log lines were left out: these tables count too few", self.left_out)?;
        }
        header(f, "requests not served as they should be")?;
        row(f, "all", &self.all)?;
        let windows: Vec<(String, Count)> =
            self.windows.iter().map(|(at, count)| (clock(*at), *count)).collect();
        for (title, rows) in [
            ("cause", most(&self.causes)),
            ("window of two seconds", windows),
            ("service with a failed or withheld send", most(&self.services)),
            ("upstream and how a send to it ended", most(&self.upstreams)),
            ("further send withheld", most(&self.withheld)),
        ] {
            header(f, title)?;
            rows.iter().try_for_each(|(name, count)| row(f, name, count))?;
        }
        Ok(())
    }
}

/// The rows with most requests, the first first.
fn most(table: &BTreeMap<String, Count>) -> Vec<(String, Count)> {
    let mut rows: Vec<(String, Count)> = table.iter().map(|(n, c)| (n.clone(), *c)).collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(count.all()));
    rows.truncate(ROWS);
    rows
}

fn clock(second: u64) -> String {
    format!("{:02}:{:02}:{:02}", second / 3600, second / 60 % 60, second % 60)
}

fn header(f: &mut Formatter<'_>, title: &str) -> fmt::Result {
    writeln!(f, "\n{title:<44} {:>7} {:>7} {:>7} {:>7}", "failed", "refused", "late", "partial")
}

fn row(f: &mut Formatter<'_>, name: &str, count: &Count) -> fmt::Result {
    let Count { failed, refused, late, partial } = count;
    writeln!(f, "{name:<44} {failed:>7} {refused:>7} {late:>7} {partial:>7}")
}
