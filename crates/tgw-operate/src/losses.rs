//! Failed, refused, late and partial requests, counted from the log files of VMs.

use crate::log::{self, Line, seconds_of_day};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::{self, Display, Formatter},
    io,
    path::Path,
};

/// Length of a window in s, the same as that of the windows in which callers measure their worst results.
const WINDOW_S: f64 = 2.0;
/// Most rows that are printed of each table.
const MAX_PRINTED_ROWS: usize = 12;

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Failed, timed out, or abandoned by their callers.
    pub failed: u64,
    /// Refused without being run.
    pub refused: u64,
    /// Answered after the route's target latency.
    pub late: u64,
    /// Answered in time, but with parts missing.
    pub partial: u64,
}

impl Count {
    fn total(&self) -> u64 {
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

/// Requests that were not answered completely and in time, counted by several categories. A request counts
/// once for each service and each upstream that failed it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Losses {
    /// All such requests.
    pub all: Count,
    /// By the cause that the request's log line gives.
    pub causes: BTreeMap<String, Count>,
    /// By two-second window, keyed by the second of the day at which it begins.
    pub windows: BTreeMap<u64, Count>,
    /// By service with a send that failed or was withheld.
    pub services: BTreeMap<String, Count>,
    /// By upstream with a send that failed, and the result of that send.
    pub upstreams: BTreeMap<String, Count>,
    /// By kind of a further send that was withheld, and the reason.
    pub withheld: BTreeMap<String, Count>,
    /// By reason of the rejection of a query before anything was sent.
    pub rejections: BTreeMap<String, Count>,
    /// By priority and tenant of a rejected query.
    pub rejected: BTreeMap<String, Count>,
    /// Requests that waited for admission.
    pub waited: Count,
    /// Log lines that VMs dropped. The counts are too low where this is not zero.
    pub left_out: u64,
}

#[derive(Clone, Copy)]
enum Outcome {
    Failed,
    Refused,
    Late,
    Partial,
}

/// Which requests are counted.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Causes whose requests are not counted, such as `no route` of requests that only probe which configuration
    /// is in force: over a day of 295 VMs these were 6,843 of 9,620 requests counted here.
    pub leave_out: Vec<String>,
}

/// Reads the logs of VMs and counts the requests. Errors: a file cannot be read.
pub fn read(files: &[impl AsRef<Path>], options: &Options) -> io::Result<Losses> {
    let lines = log::read(files)?;
    let mut losses = Losses::default();
    let mut lost = HashMap::new();
    for line in &lines {
        match line.message() {
            "request" => {
                let left_out = options.leave_out.iter().any(|cause| cause == line.text("cause"));
                if let Some(outcome) = outcome(line).filter(|_| !left_out) {
                    losses.count_request(line, outcome);
                    lost.insert(line.text("request"), outcome);
                }
            }
            "log lines left out in the last interval" => losses.left_out += line.number("left_out"),
            _ => {}
        }
    }
    losses.count_sends(&lines, &lost);
    Ok(losses)
}

/// The outcome of a request that was not answered completely and in time; `None` if it was.
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
    fn count_request(&mut self, line: &Line, outcome: Outcome) {
        self.all.add(outcome);
        if line.optional_number("waited_ms").is_some() {
            self.waited.add(outcome);
        }
        let cause = match line.text("cause") {
            "" => line.text("outcome"),
            cause => cause,
        };
        self.causes.entry(cause.into()).or_default().add(outcome);
        if let Some(second) = seconds_of_day(line.timestamp()) {
            let window = (second / WINDOW_S).floor() * WINDOW_S;
            self.windows.entry(window as u64).or_default().add(outcome);
        }
    }

    fn count_sends(&mut self, lines: &[Line], lost: &HashMap<&str, Outcome>) {
        // A request that fails in the same way several times counts once.
        let mut seen = BTreeSet::new();
        for line in lines {
            let Some(outcome) = lost.get(line.text("request")).copied() else { continue };
            let request = line.text("request");
            if line.message() == "query rejected" {
                self.count_rejection(line, outcome, &mut seen);
                continue;
            }
            let (table, name) = match line.message() {
                "send ended" => {
                    let result = format!("{} {}", line.text("upstream"), line.text("result"));
                    (&mut self.upstreams, result)
                }
                "send withheld" => {
                    (&mut self.withheld, format!("{}: {}", line.text("why"), line.text("reason")))
                }
                _ => continue,
            };
            if seen.insert((request, name.clone())) {
                table.entry(name).or_default().add(outcome);
            }
            let service = line.text("service").to_owned();
            if seen.insert((request, service.clone())) {
                self.services.entry(service).or_default().add(outcome);
            }
        }
    }

    fn count_rejection<'a>(
        &mut self,
        line: &'a Line,
        outcome: Outcome,
        seen: &mut BTreeSet<(&'a str, String)>,
    ) {
        let reason = line.text("reason").to_owned();
        if !seen.insert((line.text("request"), reason.clone())) {
            return;
        }
        self.rejections.entry(reason).or_default().add(outcome);
        let priority = line.number("priority");
        let class = match line.text("tenant") {
            "" => format!("priority {priority}"),
            tenant => format!("priority {priority}, {tenant}"),
        };
        self.rejected.entry(class).or_default().add(outcome);
    }
}

impl Display for Losses {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.left_out > 0 {
            writeln!(f, "{} log lines were left out: these tables count too few", self.left_out)?;
        }
        write_header(f, "requests not served as they should be")?;
        write_row(f, "all", &self.all)?;
        if self.waited.total() > 0 {
            write_row(f, "after a wait for admission", &self.waited)?;
        }
        let windows: Vec<(String, Count)> =
            self.windows.iter().map(|(at, count)| (format_clock(*at), *count)).collect();
        for (title, rows) in [
            ("cause", top_rows(&self.causes)),
            ("window of two seconds", windows),
            ("service with a failed or withheld send", top_rows(&self.services)),
            ("upstream and how a send to it ended", top_rows(&self.upstreams)),
            ("further send withheld", top_rows(&self.withheld)),
            ("query rejected: reason", top_rows(&self.rejections)),
            ("query rejected: priority and tenant", top_rows(&self.rejected)),
        ] {
            write_header(f, title)?;
            rows.iter().try_for_each(|(name, count)| write_row(f, name, count))?;
        }
        Ok(())
    }
}

/// The rows with most requests, in descending order.
fn top_rows(table: &BTreeMap<String, Count>) -> Vec<(String, Count)> {
    let mut rows: Vec<(String, Count)> = table.iter().map(|(n, c)| (n.clone(), *c)).collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(count.total()));
    rows.truncate(MAX_PRINTED_ROWS);
    rows
}

/// Formats a second of the day as `HH:MM:SS`.
fn format_clock(second: u64) -> String {
    format!("{:02}:{:02}:{:02}", second / 3600, second / 60 % 60, second % 60)
}

fn write_header(f: &mut Formatter<'_>, title: &str) -> fmt::Result {
    writeln!(f, "\n{title:<44} {:>7} {:>7} {:>7} {:>7}", "failed", "refused", "late", "partial")
}

fn write_row(f: &mut Formatter<'_>, name: &str, count: &Count) -> fmt::Result {
    let Count { failed, refused, late, partial } = count;
    writeln!(f, "{name:<44} {failed:>7} {refused:>7} {late:>7} {partial:>7}")
}
