//! What a run yields.

use super::{Choice, Scenario};
use serde::Serialize;
use std::fmt::{self, Display, Formatter};

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
        }
        Ok(())
    }
}
