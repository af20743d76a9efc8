use crate::vm_faults::{Fault, FaultKind};
use serde::Serialize;
use tgw_clock::Millis;
use tgw_forward::warmup::Headroom;

/// Setup of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// VMs in total, in three regions; fleets of more than nine have two domains per region.
    pub vms: usize,
    /// Requests a second that the upstream accepts while it is cold.
    pub rate: f64,
    /// Headroom allowed beyond that rate.
    pub headroom: Headroom,
    /// VMs that hold a lease to send at the same time.
    pub holders: usize,
    /// Requested rate, as a multiple of `rate`.
    pub demand: f64,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Headroom beyond an upstream's cold rate: a factor and a constant.
const DEFAULT_HEADROOM: Headroom = Headroom { factor: 1.5, constant: 5.0 };
/// When faults begin and end.
const FAULT_START_MS: Millis = Millis::new(6_000);
const FAULT_END_MS: Millis = Millis::new(11_000);

impl Setup {
    /// A setup without faults.
    pub fn healthy(vms: usize, rate: f64, seed: u64) -> Self {
        let (headroom, faults) = (DEFAULT_HEADROOM, Vec::new());
        Self { vms, rate, headroom, holders: 1, demand: 20.0, faults, seed }
    }

    /// Adds a fault.
    #[must_use]
    pub fn with_fault(mut self, kind: FaultKind, share: f64) -> Self {
        self.faults.push(Fault { at: FAULT_START_MS, until: FAULT_END_MS, kind, share });
        self
    }

    /// Requests that the upstream may receive in any second.
    pub fn limit(&self) -> f64 {
        self.rate * self.headroom.factor + self.headroom.constant
    }
}

/// The named setups of a report, with and without faults.
pub fn setups(vms: usize, rate: f64, holders: usize, seed: u64) -> Vec<(String, Setup)> {
    let of = || Setup { holders, ..Setup::healthy(vms, rate, seed) };
    let named = |name: &str, setup: Setup| (name.to_owned(), setup);
    vec![
        named("nothing else", of()),
        named("a third alone", of().with_fault(FaultKind::Isolated, 0.34)),
        named("all alone", of().with_fault(FaultKind::Isolated, 1.0)),
        named("a third on an island", of().with_fault(FaultKind::Partitioned, 0.34)),
        named("half on an island", of().with_fault(FaultKind::Partitioned, 0.5)),
        named("a third frozen", of().with_fault(FaultKind::Paused, 0.34)),
        named("a third restarted", of().with_fault(FaultKind::Restarted, 0.34)),
        named("all restarted", of().with_fault(FaultKind::Restarted, 1.0)),
        named(
            "a third frozen, a third alone",
            of().with_fault(FaultKind::Paused, 0.34).with_fault(FaultKind::Isolated, 0.34),
        ),
    ]
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Requests in the worst second.
    pub worst: usize,
    /// Requests that the upstream may receive in a second.
    pub limit: f64,
    /// Share of the declared rate that was used before any fault.
    pub used: f64,
    /// The same during and after the faults.
    pub used_beside: f64,
}

/// Formats the outcomes as a table.
pub fn text(outcomes: &[(String, Setup, Outcome)]) -> String {
    let mut text = format!(
        "{:<32} {:>4} {:>5} {:>7} {:>14} {:>5} {:>7}\n",
        "beside", "VMs", "rate", "holders", "worst of limit", "used", "beside"
    );
    for (name, setup, o) in outcomes {
        let worst = format!("{} of {:.1}", o.worst, o.limit);
        let Setup { vms, rate, holders, .. } = setup;
        text += &format!(
            "{name:<32} {vms:>4} {rate:>5} {holders:>7} {worst:>14} {:>5.2} {:>7.2}\n",
            o.used, o.used_beside
        );
    }
    text
}
