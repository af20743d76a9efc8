//! Figures of overload runs.

use super::{Choice, Scenario, query::Query, scenario::QUARANTINE_BOUND_S, vms::min_shard_share};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
    ops::Range,
};
use tgw_clock::Millis;
use tgw_forward::plan::{Answer, Trigger};
use tgw_quarantine::Fingerprint;

/// Counts of one run while its fault lasts.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) queries: u64,
    pub(super) in_aim: u64,
    pub(super) failed: u64,
    pub(super) refused: u64,
    /// Payoff of all queries if answered fully and in time, and the payoff that was earned.
    pub(super) owed: f64,
    pub(super) earned: f64,
    pub(super) parts: u64,
    pub(super) missing: u64,
    pub(super) firsts: u64,
    pub(super) sends: u64,
    pub(super) far: u64,
    pub(super) took: Vec<f64>,
    /// By the content of the query under which upstreams ended.
    terminations: BTreeMap<u64, Terminations>,
    /// Queries that were quarantined though no upstream ends because of them.
    harmless_quarantined: BTreeSet<Fingerprint>,
    counted: Range<f64>,
    /// Bytes of the reports of overload that VMs sent in that time.
    report_bytes: u64,
}

/// Upstreams that ended under a query that a caller sends repeatedly.
#[derive(Clone, Debug, Default)]
struct Terminations {
    ended: u64,
    third_at: Option<Millis>,
    /// Repetitions of that query of which a send reached an upstream after all VMs must know it.
    late_repetitions: BTreeSet<usize>,
}

impl Terminations {
    /// Records that an upstream ended.
    fn record(&mut self, now: Millis) {
        self.ended += 1;
        if self.ended == 3 {
            self.third_at = Some(now);
        }
    }

    /// Records that a send of repetition `number` of the query reached an upstream.
    fn record_send(&mut self, now: Millis, number: usize) {
        let known = Millis::from_f64(QUARANTINE_BOUND_S * 1_000.0);
        if self.third_at.is_some_and(|third_at| now > third_at + known) {
            self.late_repetitions.insert(number);
        }
    }
}

impl Tally {
    pub(super) fn new(scenario: Scenario) -> Self {
        Self { counted: scenario.counted_period(), ..Self::default() }
    }

    /// Records that an upstream ended under a deadly query.
    pub(super) fn record_end(&mut self, now: Millis, content: u64) {
        self.terminations.entry(content).or_default().record(now);
    }

    /// Records that a send of repetition `number` of a deadly query reached an upstream.
    pub(super) fn record_deadly_send(&mut self, now: Millis, content: u64, number: usize) {
        self.terminations.entry(content).or_default().record_send(now, number);
    }

    /// Records that a VM sent a report of overload.
    pub(super) fn record_report(&mut self, now: Millis, bytes: usize) {
        if self.counted.contains(&now.as_f64()) {
            self.report_bytes += bytes as u64;
        }
    }

    /// Bytes a second of the reports of all VMs.
    fn report_rate(&self) -> f64 {
        ratio(self.report_bytes as f64 * 1_000.0, self.counted.end - self.counted.start)
    }

    /// Records that a VM quarantines a query.
    pub(super) fn record_quarantine(&mut self, fingerprint: Fingerprint) {
        if !self.terminations.contains_key(&fingerprint.content) {
            self.harmless_quarantined.insert(fingerprint);
        }
    }

    /// Whether a query is counted, by the time of its first arrival.
    fn counts(&self, query: &Query) -> bool {
        !query.deadly && self.counted.contains(&query.first.as_f64())
    }

    /// Sums a count over the deadly queries.
    fn ends(&self, count: fn(&Terminations) -> u64) -> u64 {
        self.terminations.values().map(count).sum()
    }

    /// The most late repetitions of a deadly query.
    fn most_late_repetitions(&self) -> u64 {
        let late = self.terminations.values().map(|ends| ends.late_repetitions.len() as u64);
        late.max().unwrap_or_default()
    }

    pub(super) fn send(&mut self, query: &Query, trigger: Trigger, region: usize) {
        if self.counts(query) {
            self.sends += 1;
            self.firsts += u64::from(trigger == Trigger::First);
            self.far += u64::from(region != query.region);
        }
    }

    pub(super) fn record_lost(&mut self, query: &Query) {
        if self.counts(query) {
            self.owe(query);
            self.failed += 1;
        }
    }

    fn owe(&mut self, query: &Query) -> f64 {
        let worth = if query.full { 2.0 } else { 1.0 };
        self.queries += 1;
        self.owed += worth;
        self.parts += query.work.len() as u64;
        worth
    }

    fn earn(&mut self, query: &Query, worth: f64, took: f64, got: usize) {
        let late = took > if query.full { 200.0 } else { 100.0 };
        let parts = query.work.len();
        let share = got as f64 / parts as f64;
        self.in_aim += u64::from(!late);
        self.earned += worth * share * share * if late { 0.1 } else { 1.0 };
        self.missing += (parts - got) as u64;
        self.took.push(took);
    }

    pub(super) fn record_answer(
        &mut self,
        now: Millis,
        query: &Query,
        answer: &Answer,
        got: usize,
    ) {
        if !self.counts(query) {
            return;
        }
        let worth = self.owe(query);
        match answer {
            Answer::Merged { .. } => self.earn(query, worth, (now - query.first).as_f64(), got),
            Answer::Refused { .. } => self.refused += 1,
            Answer::Forward(_) | Answer::Failed(_) | Answer::TimedOut => self.failed += 1,
        }
    }

    /// Counts the oracle's answer: with the parts that arrive within the target latency if these
    /// suffice, else with the least number of parts, as soon as they are in.
    pub(super) fn record_oracle(&mut self, query: &Query, replies: &[Millis], far: u64) {
        if !self.counts(query) {
            return;
        }
        let worth = self.owe(query);
        self.firsts += replies.len() as u64;
        self.sends += replies.len() as u64;
        self.far += far;
        let least = (query.work.len() as f64 * min_shard_share(query.full)).ceil() as usize;
        let mut took: Vec<f64> = replies.iter().map(|at| (*at - query.at).as_f64()).collect();
        took.sort_by(f64::total_cmp);
        let (aim, deadline) = if query.full { (200.0, 1_000.0) } else { (100.0, 600.0) };
        let in_aim = took.iter().filter(|t| **t <= aim).count();
        match (in_aim >= least, took.get(least - 1)) {
            (true, _) => self.earn(query, worth, took[in_aim - 1], in_aim),
            (false, Some(at)) if *at <= deadline => self.earn(query, worth, *at, least),
            _ => self.failed += 1,
        }
    }
}

/// Figures of one sender over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Who chose the upstreams.
    pub choice: Choice,
    /// Earned share of the payoff: the square of the share of parts in an answer, and a tenth of
    /// that if it is late.
    pub worth: f64,
    /// Half the width of the 95 % confidence interval of `worth` over the seeds.
    pub spread: f64,
    /// Share of queries answered within their target latency.
    pub in_aim: f64,
    /// Share of queries that failed.
    pub failed: f64,
    /// Share of queries refused without being run.
    pub refused: f64,
    /// Share of parts left out of answers.
    pub left_out: f64,
    /// Sends beyond the first of each part, as a share of the first ones.
    pub extra: f64,
    /// Share of sends to other regions.
    pub far: f64,
    /// Upstreams that ended under a query; the maximum over the seeds.
    pub ended: u64,
    /// Times that one query still reached upstreams after all VMs must know that upstreams end under
    /// it; the maximum over the queries and seeds.
    pub ended_late: u64,
    /// Queries that were quarantined at any VM though no upstream ends because of them; the maximum
    /// over the seeds.
    pub harmless_quarantined: u64,
    /// Seeds in which there was one.
    pub seeds_with_harmless: u64,
    /// Median latency of answers, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answers, in ms.
    pub p99_ms: f64,
    /// Reports of overload that all VMs together send, in bytes a second without packet headers.
    pub report_bytes_per_s: f64,
}

impl Figures {
    pub(super) fn of(choice: Choice, seeds: impl Iterator<Item = Tally>) -> Self {
        let seeds: Vec<Tally> = seeds.collect();
        let worths: Vec<f64> = seeds.iter().map(|t| ratio(t.earned, t.owed)).collect();
        let count = worths.len().max(1) as f64;
        let worth = worths.iter().sum::<f64>() / count;
        let variance = worths.iter().map(|w| (w - worth).powi(2)).sum::<f64>() / count;
        let sum = |what: fn(&Tally) -> u64| seeds.iter().map(what).sum::<u64>() as f64;
        let queries = sum(|t| t.queries);
        let mut took: Vec<f64> = seeds.iter().flat_map(|t| t.took.iter().copied()).collect();
        took.sort_by(f64::total_cmp);
        let most =
            |count: &dyn Fn(&Tally) -> u64| seeds.iter().map(count).max().unwrap_or_default();
        let at = |part: f64| took.get((took.len() as f64 * part) as usize).copied();
        Self {
            choice,
            worth,
            spread: 1.96 * (variance / count).sqrt(),
            in_aim: ratio(sum(|t| t.in_aim), queries),
            failed: ratio(sum(|t| t.failed), queries),
            refused: ratio(sum(|t| t.refused), queries),
            left_out: ratio(sum(|t| t.missing), sum(|t| t.parts)),
            extra: ratio(sum(|t| t.sends) - sum(|t| t.firsts), sum(|t| t.firsts)),
            far: ratio(sum(|t| t.far), sum(|t| t.sends)),
            ended: most(&|t| t.ends(|ends| ends.ended)),
            ended_late: most(&Tally::most_late_repetitions),
            harmless_quarantined: most(&|t| t.harmless_quarantined.len() as u64),
            seeds_with_harmless: seeds.iter().filter(|t| !t.harmless_quarantined.is_empty()).count()
                as u64,
            p50_ms: at(0.5).unwrap_or_default(),
            p99_ms: at(0.99).unwrap_or_default(),
            report_bytes_per_s: seeds.iter().map(Tally::report_rate).sum::<f64>() / count,
        }
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Figures of one scenario for each [`Choice`].
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: Scenario,
    /// Number of seeds.
    pub seeds: u64,
    /// Figures in the order of [`Choice::ALL`].
    pub figures: Vec<Figures>,
}

impl Report {
    /// Returns the figures of a choice.
    pub fn of(&self, choice: Choice) -> Option<&Figures> {
        self.figures.iter().find(|f| f.choice == choice)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { scenario, seeds, figures } = self;
        let best = self.of(Choice::Oracle).map_or(0.0, |o| o.worth);
        writeln!(
            f,
            "{:<24} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6}",
            format!("{scenario}, {seeds} seeds"),
            "worth",
            "+-",
            "oracle",
            "in aim",
            "failed",
            "refused",
            "left",
            "extra",
            "far",
            "p50",
            "p99"
        )?;
        for figures in figures {
            let Figures { choice, worth, spread, in_aim, failed, refused, .. } = figures;
            let Figures { left_out, extra, far, p50_ms, p99_ms, .. } = figures;
            writeln!(
                f,
                "{:<24} {worth:>6.3} {spread:>7.3} {:>7.3} {in_aim:>7.3} {failed:>7.3} \
                 {refused:>7.3} {left_out:>7.3} {extra:>7.3} {far:>6.3} {p50_ms:>6.0} {p99_ms:>6.0}",
                choice.to_string(),
                ratio(*worth, best),
            )?;
            if figures.report_bytes_per_s > 0.0 {
                writeln!(f, "  reports of overload {:.0} bytes/s", figures.report_bytes_per_s)?;
            }
            let Figures { ended, ended_late, .. } = figures;
            if *ended > 0 {
                writeln!(f, "  most upstreams ended {ended}, sent again once known {ended_late}")?;
                let Figures { harmless_quarantined, seeds_with_harmless, .. } = figures;
                writeln!(
                    f,
                    "  harmless queries quarantined {harmless_quarantined}, in {seeds_with_harmless} seeds"
                )?;
            }
        }
        Ok(())
    }
}
