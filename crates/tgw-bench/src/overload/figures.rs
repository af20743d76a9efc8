//! What a run yields.

use super::{Choice, Scenario, query::Query, scenario::KNOWN_S, vms::SHARDS};
use serde::Serialize;
use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
    ops::Range,
};
use tgw_clock::Millis;
use tgw_forward::plan::{Answer, Trigger};

/// What is counted while trouble lasts.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) queries: u64,
    pub(super) in_aim: u64,
    pub(super) failed: u64,
    pub(super) refused: u64,
    /// Payoff that was owed and that was earned.
    pub(super) owed: f64,
    pub(super) earned: f64,
    pub(super) parts: u64,
    pub(super) missing: u64,
    pub(super) firsts: u64,
    pub(super) sends: u64,
    pub(super) far: u64,
    pub(super) took: Vec<f64>,
    pub(super) deaths: Deaths,
    counted: Range<f64>,
}

/// Upstreams that ended under a query that comes again and again.
#[derive(Clone, Debug, Default)]
pub(super) struct Deaths {
    ended: u64,
    third: Option<Millis>,
    /// Times that its caller sent it of which a send reached an upstream once all VMs may know it.
    late: BTreeSet<usize>,
}

impl Deaths {
    /// An upstream ended.
    pub(super) fn ended(&mut self, now: Millis) {
        self.ended += 1;
        if self.ended == 3 {
            self.third = Some(now);
        }
    }

    /// A send reached an upstream, for the time `number` that its caller sent the query.
    pub(super) fn reached(&mut self, now: Millis, number: usize) {
        let known = Millis::from_f64(KNOWN_S * 1_000.0);
        if self.third.is_some_and(|third| now > third + known) {
            self.late.insert(number);
        }
    }
}

impl Tally {
    pub(super) fn new(scenario: Scenario) -> Self {
        Self { counted: scenario.counted(), ..Self::default() }
    }

    /// Whether a query counts, by when it came first.
    fn counts(&self, query: &Query) -> bool {
        !query.deadly && self.counted.contains(&query.first.as_f64())
    }

    pub(super) fn send(&mut self, query: &Query, trigger: Trigger, region: usize) {
        if self.counts(query) {
            self.sends += 1;
            self.firsts += u64::from(trigger == Trigger::First);
            self.far += u64::from(region != query.region);
        }
    }

    pub(super) fn lost(&mut self, query: &Query) {
        if self.counts(query) {
            self.owe(query);
            self.failed += 1;
        }
    }

    fn owe(&mut self, query: &Query) -> f64 {
        let worth = if query.full { 2.0 } else { 1.0 };
        self.queries += 1;
        self.owed += worth;
        self.parts += SHARDS as u64;
        worth
    }

    fn earn(&mut self, query: &Query, worth: f64, took: f64, got: usize) {
        let late = took > if query.full { 200.0 } else { 100.0 };
        let share = got as f64 / SHARDS as f64;
        self.in_aim += u64::from(!late);
        self.earned += worth * share * share * if late { 0.1 } else { 1.0 };
        self.missing += (SHARDS - got) as u64;
        self.took.push(took);
    }

    pub(super) fn answer(&mut self, now: Millis, query: &Query, answer: &Answer, got: usize) {
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

    /// Counts what the oracle's replies make: with what is in by the aim if that is enough, else later.
    pub(super) fn oracle(&mut self, query: &Query, replies: &[Millis], far: u64) {
        if !self.counts(query) {
            return;
        }
        let worth = self.owe(query);
        self.firsts += replies.len() as u64;
        self.sends += replies.len() as u64;
        self.far += far;
        let least = if query.full { 9 } else { 8 };
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

/// Figures of one choice over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Who chose.
    pub choice: Choice,
    /// Payoff earned of what was owed: the square of the share of parts in, a tenth if late.
    pub worth: f64,
    /// Half of the width of the 95 % interval of `worth` over the seeds.
    pub spread: f64,
    /// Queries answered within their aim.
    pub in_aim: f64,
    /// Queries failed.
    pub failed: f64,
    /// Queries refused unrun.
    pub refused: f64,
    /// Parts left out of answers.
    pub left_out: f64,
    /// Sends beyond the first of each part.
    pub extra: f64,
    /// Sends to other regions.
    pub far: f64,
    /// Upstreams that ended under a query, most over the seeds.
    pub ended: u64,
    /// Times that a query reached upstreams once all VMs may know that upstreams end under it, most over the seeds.
    pub ended_late: u64,
    /// Median and 99th percentile of answers, in ms.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
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
            ended: seeds.iter().map(|t| t.deaths.ended).max().unwrap_or_default(),
            ended_late: seeds.iter().map(|t| t.deaths.late.len() as u64).max().unwrap_or_default(),
            p50_ms: at(0.5).unwrap_or_default(),
            p99_ms: at(0.99).unwrap_or_default(),
        }
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// One scenario by all choices.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: Scenario,
    /// Seeds played.
    pub seeds: u64,
    /// Figures in the order of [`Choice::ALL`].
    pub figures: Vec<Figures>,
}

impl Report {
    /// The figures of a choice.
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
            let Figures { ended, ended_late, .. } = figures;
            if *ended > 0 {
                writeln!(f, "  most upstreams ended {ended}, sent again once known {ended_late}")?;
            }
        }
        Ok(())
    }
}
