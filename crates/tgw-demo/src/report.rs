//! What the demo prints.

use crate::check::Broken;
use serde::Serialize;
use std::{collections::BTreeMap, fmt};

/// One demo's result.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The user whose size was run.
    pub user: String,
    /// VMs of the tier.
    pub vms: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Queries sent.
    pub queries: u64,
    /// Whole answers.
    pub answered: u64,
    /// Partial answers.
    pub partial: u64,
    /// Answers below the row's least coverage.
    pub short: u64,
    /// Queries refused as not run.
    pub refused: u64,
    /// Queries without a response.
    pub failed: u64,
    /// Sendings of orders that were told to have run.
    pub orders_ran: u64,
    /// Sendings of orders that were told not to have run.
    pub orders_not_run: u64,
    /// Sendings of orders without a certain outcome.
    pub orders_unknown: u64,
    /// Orders that upstreams ran.
    pub orders_at_upstreams: u64,
    /// Writes to the platform for all orders.
    pub platform_writes: u64,
    /// Median latency as the caller measured it.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1000.
    pub p999_ms: f64,
    /// Covered part of all shards of all answered queries.
    pub coverage: f64,
    /// Searches begun at upstreams for each shard asked for, less one.
    pub extra_load: f64,
    /// Connections made to upstreams.
    pub connections: u64,
    /// Connections that upstreams refused over their limit.
    pub connections_refused: u64,
    /// Calls of the platform.
    pub platform_calls: u64,
    /// Processor time of the tier's threads for a leaf request, in µs.
    pub tier_cpu_us_per_leaf: f64,
    /// The same by duty.
    pub duty_cpu_us_per_leaf: BTreeMap<String, f64>,
    /// Faults brought about, with the time.
    pub faults: Vec<String>,
    /// Promises seen broken.
    pub broken_promises: Vec<Broken>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {} VMs, {} upstreams", self.user, self.vms, self.upstreams)?;
        writeln!(
            f,
            "queries     {} sent: {} whole, {} partial, {} short, {} refused, {} failed",
            self.queries, self.answered, self.partial, self.short, self.refused, self.failed
        )?;
        writeln!(
            f,
            "orders      {} ran, {} not run, {} unknown; upstreams ran {}; {} platform writes",
            self.orders_ran,
            self.orders_not_run,
            self.orders_unknown,
            self.orders_at_upstreams,
            self.platform_writes
        )?;
        writeln!(
            f,
            "latency     p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            self.p50_ms, self.p99_ms, self.p999_ms
        )?;
        writeln!(f, "coverage    {:.3} %", self.coverage * 100.0)?;
        writeln!(f, "extra load  {:.2} %", self.extra_load * 100.0)?;
        writeln!(
            f,
            "connections {} made, {} refused by upstreams",
            self.connections, self.connections_refused
        )?;
        writeln!(f, "platform    {} calls", self.platform_calls)?;
        let duties: Vec<String> =
            self.duty_cpu_us_per_leaf.iter().map(|(d, us)| format!("{d} {us:.1}")).collect();
        writeln!(
            f,
            "processor   {:.1} µs a leaf request: {}",
            self.tier_cpu_us_per_leaf,
            duties.join(", ")
        )?;
        for fault in &self.faults {
            writeln!(f, "fault       {fault}")?;
        }
        if self.broken_promises.is_empty() {
            return writeln!(f, "promises    none seen broken");
        }
        writeln!(f, "promises    {} BROKEN", self.broken_promises.len())?;
        for broken in self.broken_promises.iter().take(20) {
            writeln!(f, "  {} (query {}): {}", broken.promise, broken.query, broken.seen)?;
        }
        Ok(())
    }
}
