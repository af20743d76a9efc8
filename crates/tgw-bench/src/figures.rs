//! Figures of one run.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use tgw_clock::Millis;

/// Highest latency that the histograms distinguish, in µs.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Length of the windows of the time series, each of which covers the queries that arrived in it.
const WINDOW_MS: Millis = Millis::new(250);

/// Figures of one policy in one run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The policy.
    pub name: String,
    /// Queries that arrived during the measurement.
    pub queries: u64,
    /// Complete answers.
    pub whole: u64,
    /// Partial answers with at least the least coverage.
    pub partial: u64,
    /// Answers below the row's least coverage.
    pub short: u64,
    /// Queries refused without being run.
    pub refused: u64,
    /// Answers per second with sufficient coverage.
    pub goodput: f64,
    /// Median latency of the answers.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Longest time until a refusal.
    pub refused_after_ms: f64,
    /// Answered share of the shards of all queries that ran.
    pub coverage: f64,
    /// Sends to upstreams beyond one per shard, as a share.
    pub extra_load: f64,
    /// Queries restarted, as a share of the queries.
    pub restarts: f64,
    /// Items that occur twice in an answer.
    pub doubled: u64,
    /// Queries never answered, and answers whose covered shards do not match their items.
    pub lost: u64,
    /// Items of another snapshot, shard or query.
    pub mixed: u64,
    /// Most requests at one upstream at once beyond its slots.
    pub over_slots: u64,
    /// 99th percentile of the latency by service.
    pub p99_by_service: BTreeMap<String, f64>,
    /// Answers with sufficient coverage by service.
    pub answered_by_service: BTreeMap<String, u64>,
    /// Latency at quantiles, for plots: (quantile, ms).
    #[serde(skip)]
    pub quantiles: Vec<(f64, f64)>,
    /// Time series by window: (second, 99th percentile in ms, coverage).
    #[serde(skip)]
    pub series: Vec<(f64, f64, f64)>,
}

struct Window {
    latency: Histogram<u64>,
    shards: u64,
    covered: u64,
}

/// Collects the counts of one run.
pub(crate) struct Collector {
    pub(crate) queries: u64,
    pub(crate) whole: u64,
    pub(crate) partial: u64,
    pub(crate) short: u64,
    pub(crate) refused: u64,
    pub(crate) refused_after: Millis,
    pub(crate) shards: u64,
    pub(crate) covered: u64,
    pub(crate) sent: u64,
    pub(crate) doubled: u64,
    pub(crate) lost: u64,
    pub(crate) mixed: u64,
    pub(crate) over_slots: u64,
    latency: Option<Histogram<u64>>,
    by_service: BTreeMap<String, (Histogram<u64>, u64)>,
    windows: BTreeMap<u64, Window>,
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).ok()
}

impl Collector {
    pub(crate) fn new() -> Self {
        Self {
            queries: 0,
            whole: 0,
            partial: 0,
            short: 0,
            refused: 0,
            refused_after: Millis::ZERO,
            shards: 0,
            covered: 0,
            sent: 0,
            doubled: 0,
            lost: 0,
            mixed: 0,
            over_slots: 0,
            latency: histogram(),
            by_service: BTreeMap::new(),
            windows: BTreeMap::new(),
        }
    }

    /// Records one answer; `at` is the arrival time of its query.
    pub(crate) fn answer(
        &mut self,
        at: Millis,
        took: Millis,
        service: &str,
        enough: bool,
        (shards, covered): (u64, u64),
    ) {
        match (enough, shards == covered) {
            (false, _) => self.short += 1,
            (true, true) => self.whole += 1,
            (true, false) => self.partial += 1,
        }
        self.shards += shards;
        self.covered += covered;
        let micros = took.as_micros().max(1);
        if let Some(latency) = &mut self.latency {
            let _ = latency.record(micros);
        }
        if let Some(fresh) = histogram() {
            let own = self.by_service.entry(service.into()).or_insert((fresh, 0));
            let _ = own.0.record(micros);
            own.1 += u64::from(enough);
        }
        let index = at.as_micros() / WINDOW_MS.as_micros();
        if let Some(latency) = histogram() {
            let window =
                self.windows.entry(index).or_insert(Window { latency, shards: 0, covered: 0 });
            let _ = window.latency.record(micros);
            window.shards += shards;
            window.covered += covered;
        }
    }

    pub(crate) fn figures(&self, name: &str, seconds: f64, restarts: u64) -> Figures {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let at = |q: f64| self.latency.as_ref().map_or(0.0, |l| ms(l.value_at_quantile(q)));
        let quantile = |step: u32| 1.0 - 10f64.powf(-f64::from(step) / 10.0);
        let series = self.windows.iter().map(|(index, w)| {
            let second = (*index * WINDOW_MS.as_micros()) as f64 / 1e6;
            let coverage = w.covered as f64 / w.shards.max(1) as f64;
            (second, ms(w.latency.value_at_quantile(0.99)), coverage)
        });
        let part = |of: u64, all: u64| of as f64 / all.max(1) as f64;
        Figures {
            name: name.into(),
            queries: self.queries,
            whole: self.whole,
            partial: self.partial,
            short: self.short,
            refused: self.refused,
            goodput: (self.whole + self.partial) as f64 / seconds,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            refused_after_ms: self.refused_after.as_f64(),
            coverage: part(self.covered, self.shards),
            extra_load: part(self.sent, self.shards) - 1.0,
            restarts: part(restarts, self.queries),
            doubled: self.doubled,
            lost: self.lost,
            mixed: self.mixed,
            over_slots: self.over_slots,
            p99_by_service: self
                .by_service
                .iter()
                .map(|(s, (h, _))| (s.clone(), ms(h.value_at_quantile(0.99))))
                .collect(),
            answered_by_service: self
                .by_service
                .iter()
                .map(|(s, (_, n))| (s.clone(), *n))
                .collect(),
            quantiles: (0..=40).map(|s| (quantile(s), at(quantile(s)))).collect(),
            series: series.collect(),
        }
    }
}
