//! What decides, where an experiment may change it.

use derive_more::{Display, Error};

/// Mechanisms and weights of the decisions. The default is what is served with; experiments switch one
/// mechanism off or weigh one figure anew, and compare. `docs/LOAD.md` tells what each is worth.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Policy {
    /// Second sends of parts that are late: a paused or slow upstream costs no answer its aim.
    pub hedges: bool,
    /// Second sends of parts that failed.
    pub retries: bool,
    /// Parts that found no upstream with room are tried again while their answer waits.
    pub parks: bool,
    /// The last upstream is asked also where it is doubted.
    pub insists: bool,
    /// Parts of other regions go through VMs that live there.
    pub peers: bool,
    /// VMs of a region tell each other of late and slow upstreams.
    pub words: bool,
    /// An upstream with an overdue send costs more, as it is paused, dark or slow.
    pub overdue: bool,
    /// An upstream that warms up costs more.
    pub warmup: bool,
    /// An upstream that refused or fell silent is passed over for a while.
    pub avoids: bool,
    /// Connections are made a few at a time, with a pause after a reset one.
    pub spacing: bool,
    /// Latency is judged against the service's own level: one level for all took requests of 160 ms for a
    /// fault of their upstreams (35 to 14 of 889 late while 15 in 100 upstreams were ten times slower).
    pub levels: bool,
    /// Hedges leave a part of the budget to retries: it is gone when upstreams begin to shed, otherwise
    /// (failed queries 0.024 to 0.007 while 17 of 30 upstreams shed).
    pub split: bool,
    /// A send that was declined unrun is none of the route's attempts: two sheds would lose a part that ran
    /// nowhere (0.015 to 0.007 in the same load).
    pub declined_free: bool,
    /// A query that lacks parts for a success goes on after its aim, for a late answer is one (0.013 to 0.007
    /// in the same load; with three times the requests 0.222 to 0.110, as callers come back otherwise).
    pub late: bool,
    /// The budget is spent first where it makes an answer a success (0.027 to 0.007 in the same load).
    pub judged: bool,
    /// A retry that makes an answer a success may be charged to the VM that makes it, where one's own budget is
    /// used up. The operators' budget is cut in as many parts as there are VMs, and a VM with four queries over a
    /// shard that sheds runs dry beside VMs with none: of 300 VMs, where 0.57 of the upstreams shed 0.6, 0.238 to
    /// 0.066 of the queries failed; of nine, 0.111 to 0.089 (`bench overload`, six seeds).
    pub lends: bool,
    /// A request under which upstreams end is sent to one at a time, and then to none. Without it one search, sent
    /// again each 0.7 s, ended 150 upstreams of 30 in 18 s and left 0.01 of the worth of all others
    /// (`bench overload/query-of-death`).
    pub quarantine: bool,
    /// Sends through other VMs that may run at one upstream: its slots today. What would wait there is better
    /// sent elsewhere; twice as many differ by less than two runs of a day do.
    pub peer_most: f64,
    /// Weight of the pace that an upstream tells against the latency that was seen of it.
    pub load_weight: f64,
    /// VMs that hold the right to send to a cold upstream at a time, each a part of what it bears.
    pub warm_holders: f64,
    /// What a failure costs, in ms: the second send that it takes. Half and twice of it differ by less than two
    /// runs of a day do.
    pub failure_cost: f64,
    /// Weight of a new sample in the share of failures: an average over ten sends, as one over four swings
    /// between none and all where half of the sends are shed.
    pub failure_weight: f64,
    /// Time in ms for which an upstream that turned a send away is passed over: two requests' work, after
    /// which a slot is free.
    pub shed_avoid: f64,
    /// The part of the budget that is left to parts without which the answer is a success, while others fail.
    pub raise_share: f64,
    /// Part of the budget for hedges: a hedge makes a late answer timely, a retry makes a failed one whole.
    pub hedge_budget: f64,
    /// What hedges have beyond that, in square roots of the budget: where a VM has few requests these vary
    /// more, and hedges at a fixed half served 0.963 of a calm day of 74 VMs, with this 0.981.
    pub hedge_spread: f64,
    /// Share of sends that may become late enough for a hedge: the tail beyond it holds pauses (200 to 250 ms
    /// in 4.5 to 6 s, 4.3 %), slow upstreams and long requests.
    pub hedge_share: f64,
    /// How far a hedge of a part is put off, from when the part is late (0) to when the hedge could just
    /// meet the aim (1). Many that are sent at once go to another region for replies that are about to come:
    /// 5 to 4 MB between regions on a calm day.
    pub hedge_wait: f64,
    /// From how much of the budget on, as its inverse, answers that fail without an extra send have it for
    /// themselves: an eighth, as what they ask for comes in spells shorter than the window.
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

/// Why an experiment's setting was not taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// It is not `name=value`.
    #[display("{_0}: not NAME=VALUE")]
    Form(#[error(not(source))] String),
    /// Nothing bears that name.
    #[display("{_0}: unknown; known are {}", Policy::names())]
    Name(#[error(not(source))] String),
    /// The value is neither yes or no, nor a number of zero or more, as the name asks.
    #[display("{_0}: the value does not fit")]
    Value(#[error(not(source))] String),
}

enum Slot<'a> {
    Switch(&'a mut bool),
    Weight(&'a mut f64),
}

impl Policy {
    fn slots(&mut self) -> [(&'static str, Slot<'_>); 29] {
        use Slot::{Switch, Weight};
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
        policy.slots().map(|(name, _)| name).join(", ")
    }

    /// Takes over a setting `name=value`, as `hedges=no`. Errors: there is no such name, or the value
    /// does not fit it.
    pub fn set(&mut self, setting: &str) -> Result<(), Invalid> {
        let form = || Invalid::Form(setting.into());
        let (name, value) = setting.split_once('=').ok_or_else(form)?;
        let found = self.slots().into_iter().find(|(known, _)| *known == name);
        let (_, slot) = found.ok_or_else(|| Invalid::Name(name.into()))?;
        let misfit = || Invalid::Value(setting.into());
        match slot {
            Slot::Switch(switch) => {
                *switch = match value {
                    "yes" => true,
                    "no" => false,
                    _ => return Err(misfit()),
                }
            }
            Slot::Weight(weight) => {
                let number: f64 = value.parse().map_err(|_| misfit())?;
                *weight = Some(number).filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(misfit)?;
            }
        }
        Ok(())
    }
}
