//! Mechanisms and weights that experiments may change.

use derive_more::{Display, Error};

/// Mechanisms and weights of the decisions. Production uses the default; experiments switch one
/// mechanism off or change one weight, and compare. `docs/LOAD.md` lists the effect of each.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Policy {
    /// Hedge parts that are late, so that a paused or slow upstream makes no answer miss its
    /// latency target.
    pub hedges: bool,
    /// Retry parts that failed.
    pub retries: bool,
    /// Defer parts that found no upstream with room, and try them again while their answer waits.
    pub parks: bool,
    /// Make fallback sends: ask the last upstream even if it is suspected.
    pub insists: bool,
    /// Reach upstreams of other regions through VMs there.
    pub peers: bool,
    /// Report late and slow upstreams to the other VMs of the region.
    pub words: bool,
    /// Raise the cost of an upstream with an overdue send, as it is paused, unreachable or slow.
    pub overdue: bool,
    /// Raise the cost of an upstream that warms up.
    pub warmup: bool,
    /// Back off from an upstream that refused a connection or timed out.
    pub avoids: bool,
    /// Make few connections at a time, and back off after a reset one.
    pub spacing: bool,
    /// Judge latency against the service's own baseline: with one baseline for all services,
    /// requests of 160 ms counted as faults of their upstreams (35 to 14 of 889 late while 15 in
    /// 100 upstreams were ten times slower).
    pub levels: bool,
    /// Reserve a part of the budget for retries: hedges otherwise exhaust it before upstreams begin
    /// to shed load (failed queries 0.024 to 0.007 while 17 of 30 upstreams shed load).
    pub split: bool,
    /// Do not count declined sends as attempts of the route: two of them would lose a part that was
    /// not executed anywhere (0.015 to 0.007 in the same load).
    pub declined_free: bool,
    /// Continue a query that lacks parts for a success after its latency target, as a late answer
    /// is still a success (0.013 to 0.007 in the same load; 0.222 to 0.110 with three times the
    /// requests, as callers whose queries fail retry).
    pub late: bool,
    /// Spend the budget first where it makes an answer a success (0.027 to 0.007 in the same load).
    pub judged: bool,
    /// Charge a retry that makes an answer a success to the VM that makes the send, if this VM's
    /// own budget is exhausted. The operators' budget is divided by the number of VMs, and a VM
    /// with four queries over a shard that sheds load exhausts its share while others do not use
    /// theirs: of 300 VMs, where 0.57 of the upstreams shed 0.6, 0.238 to 0.066 of the queries
    /// failed; of nine, 0.111 to 0.089 (six seeds).
    pub lends: bool,
    /// Limit a request that terminates upstreams to one send at a time, and then to none. Without
    /// it one search, sent again each 0.7 s, terminated 150 upstreams of 30 in 18 s and left 0.01
    /// of the worth of all others.
    pub quarantine: bool,
    /// Let queries wait or reject them while upstreams are overloaded.
    pub admission: bool,
    /// Fraction of the shortest latency target of a service that a request may wait at its upstream
    /// before the service counts as overloaded.
    pub admission_wait: f64,
    /// Number of other VMs of the region to which each report of overload goes; with zero, each VM
    /// decides alone.
    pub admission_share: f64,
    /// Limit on concurrent sends to one upstream through other VMs: as many as an upstream has
    /// slots. Sends that would queue there do better elsewhere; twice as many differ by less than
    /// two runs of a day do.
    pub peer_most: f64,
    /// Weight of the pace that an upstream reports, relative to its sampled latency.
    pub load_weight: f64,
    /// Number of VMs that hold a lease on a cold upstream at a time, each on a part of its rate.
    pub warm_holders: f64,
    /// Cost of a failure in ms: the retry that it takes. Half and twice of it differ by less than
    /// two runs of a day do.
    pub failure_cost: f64,
    /// Weight of a new sample in the failure rate: an average over ten sends. An average over four
    /// swings between none and all where half of the sends are shed.
    pub failure_weight: f64,
    /// Backoff in ms after an upstream shed a send: two requests' service time, after which a slot
    /// is free.
    pub shed_avoid: f64,
    /// Fraction of the budget left to parts without which the answer is still a success, while
    /// other answers fail.
    pub raise_share: f64,
    /// Fraction of the budget for hedges: a hedge makes a late answer timely, a retry makes a
    /// failed one complete.
    pub hedge_budget: f64,
    /// What hedges may spend beyond that, in square roots of the budget: numbers vary more where a
    /// VM has few requests. With a fixed half only, 0.963 of a calm day of 74 VMs was served, with
    /// this 0.981.
    pub hedge_spread: f64,
    /// Fraction of sends that may become late enough for a hedge: the tail beyond it holds pauses
    /// (200 to 250 ms in 4.5 to 6 s, 4.3 %), slow upstreams and long requests.
    pub hedge_share: f64,
    /// How far a hedge is put off, from the time at which the part is late (0) to the last time at
    /// which a hedge could meet the latency target (1). Many hedges that are sent at once go to
    /// another region for replies that are about to arrive: 5 to 4 MB between regions on a calm
    /// day.
    pub hedge_wait: f64,
    /// Inverse of the fraction of the budget beyond which answers that fail without an extra send
    /// get all of it: an eighth, as their demand comes in bursts shorter than the window.
    pub pressure_gain: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hedges: true,
            retries: true,
            parks: true,
            insists: true,
            peers: true,
            words: true,
            overdue: true,
            warmup: true,
            avoids: true,
            spacing: true,
            levels: true,
            split: true,
            declined_free: true,
            late: true,
            judged: true,
            lends: true,
            quarantine: true,
            admission: true,
            admission_wait: 0.3,
            admission_share: 0.0,
            peer_most: 4.0,
            warm_holders: 1.0,
            load_weight: 0.5,
            failure_cost: 120.0,
            failure_weight: 0.1,
            shed_avoid: 37.0,
            raise_share: 0.1,
            hedge_budget: 0.5,
            hedge_spread: 0.5,
            hedge_share: 0.08,
            hedge_wait: 0.5,
            pressure_gain: 8.0,
        }
    }
}

/// Why an experiment's setting was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The setting is not of the form `name=value`.
    #[display("{_0}: not NAME=VALUE")]
    Form(#[error(not(source))] String),
    /// No setting has that name.
    #[display("{_0}: unknown; known are {}", Policy::names())]
    Name(#[error(not(source))] String),
    /// The value is neither yes or no, nor a number of zero or more, as the setting requires.
    #[display("{_0}: the value does not fit")]
    Value(#[error(not(source))] String),
}

enum Parameter<'a> {
    Switch(&'a mut bool),
    Weight(&'a mut f64),
}

impl Policy {
    fn parameters(&mut self) -> [(&'static str, Parameter<'_>); 32] {
        use Parameter::{Switch, Weight};
        [
            ("hedges", Switch(&mut self.hedges)),
            ("retries", Switch(&mut self.retries)),
            ("parks", Switch(&mut self.parks)),
            ("insists", Switch(&mut self.insists)),
            ("peers", Switch(&mut self.peers)),
            ("words", Switch(&mut self.words)),
            ("overdue", Switch(&mut self.overdue)),
            ("warmup", Switch(&mut self.warmup)),
            ("avoids", Switch(&mut self.avoids)),
            ("spacing", Switch(&mut self.spacing)),
            ("levels", Switch(&mut self.levels)),
            ("split", Switch(&mut self.split)),
            ("declined_free", Switch(&mut self.declined_free)),
            ("late", Switch(&mut self.late)),
            ("judged", Switch(&mut self.judged)),
            ("lends", Switch(&mut self.lends)),
            ("quarantine", Switch(&mut self.quarantine)),
            ("admission", Switch(&mut self.admission)),
            ("admission_wait", Weight(&mut self.admission_wait)),
            ("admission_share", Weight(&mut self.admission_share)),
            ("peer_most", Weight(&mut self.peer_most)),
            ("load_weight", Weight(&mut self.load_weight)),
            ("warm_holders", Weight(&mut self.warm_holders)),
            ("failure_cost", Weight(&mut self.failure_cost)),
            ("failure_weight", Weight(&mut self.failure_weight)),
            ("shed_avoid", Weight(&mut self.shed_avoid)),
            ("raise_share", Weight(&mut self.raise_share)),
            ("hedge_budget", Weight(&mut self.hedge_budget)),
            ("hedge_spread", Weight(&mut self.hedge_spread)),
            ("hedge_share", Weight(&mut self.hedge_share)),
            ("hedge_wait", Weight(&mut self.hedge_wait)),
            ("pressure_gain", Weight(&mut self.pressure_gain)),
        ]
    }

    fn names() -> String {
        let mut policy = Self::default();
        policy.parameters().map(|(name, _)| name).join(", ")
    }

    /// Applies a setting `name=value`, as `hedges=no`. Errors if the name is unknown or the value
    /// does not fit it.
    pub fn set(&mut self, setting: &str) -> Result<(), Invalid> {
        let invalid_form = || Invalid::Form(setting.into());
        let (name, value) = setting.split_once('=').ok_or_else(invalid_form)?;
        let found = self.parameters().into_iter().find(|(known, _)| *known == name);
        let (_, parameter) = found.ok_or_else(|| Invalid::Name(name.into()))?;
        let invalid_value = || Invalid::Value(setting.into());
        match parameter {
            Parameter::Switch(switch) => {
                *switch = match value {
                    "yes" => true,
                    "no" => false,
                    _ => return Err(invalid_value()),
                }
            }
            Parameter::Weight(weight) => {
                let number: f64 = value.parse().map_err(|_| invalid_value())?;
                *weight = Some(number)
                    .filter(|n| n.is_finite() && *n >= 0.0)
                    .ok_or_else(invalid_value)?;
            }
        }
        Ok(())
    }
}
