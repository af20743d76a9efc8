use serde::Serialize;
use tgw_clock::Millis;
use tgw_forward::warmup::Headroom;

/// What goes wrong with some of the VMs.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// They reach no other VM, each alone; callers and upstreams reach them.
    Alone,
    /// They reach one another only.
    Island,
    /// They stand still.
    Frozen,
    /// Their processes end, and start again at the end.
    Restarted,
}

/// One trouble.
#[derive(Copy, Clone, Debug)]
pub struct Trouble {
    /// When it begins.
    pub at: Millis,
    /// When it ends.
    pub until: Millis,
    /// What it is.
    pub what: What,
    /// The part of the VMs that it befalls; those that hold rights first.
    pub share: f64,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Setup {
    /// VMs in all, of three regions and of two domains each beyond nine.
    pub vms: usize,
    /// Requests a second that the upstream bears while it is cold.
    pub rate: f64,
    /// What operators allow beyond that.
    pub excess: Headroom,
    /// VMs that hold the right to send at a time.
    pub holders: usize,
    /// Requests for it, as many times what it bears.
    pub demand: f64,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// Seed of what is drawn.
    pub seed: u64,
}

/// Operators' allowance on the users' site.
const EXCESS: Headroom = Headroom { factor: 1.5, constant: 5.0 };
/// When troubles begin and end, in ms.
const FROM: Millis = Millis::new(6_000);
const TO: Millis = Millis::new(11_000);

impl Setup {
    /// So many VMs with nothing wrong.
    pub fn of(vms: usize, rate: f64, seed: u64) -> Self {
        let (excess, troubles) = (EXCESS, Vec::new());
        Self { vms, rate, excess, holders: 1, demand: 20.0, troubles, seed }
    }

    /// The same beside a trouble.
    #[must_use]
    pub fn beside(mut self, what: What, share: f64) -> Self {
        self.troubles.push(Trouble { at: FROM, until: TO, what, share });
        self
    }

    /// Requests that the upstream may get in any second.
    pub fn limit(&self) -> f64 {
        self.rate * self.excess.factor + self.excess.constant
    }
}

/// What is printed.
pub fn setups(vms: usize, rate: f64, holders: usize, seed: u64) -> Vec<(String, Setup)> {
    let of = || Setup { holders, ..Setup::of(vms, rate, seed) };
    let named = |name: &str, setup: Setup| (name.to_owned(), setup);
    vec![
        named("nothing else", of()),
        named("a third alone", of().beside(What::Alone, 0.34)),
        named("all alone", of().beside(What::Alone, 1.0)),
        named("a third on an island", of().beside(What::Island, 0.34)),
        named("half on an island", of().beside(What::Island, 0.5)),
        named("a third frozen", of().beside(What::Frozen, 0.34)),
        named("a third restarted", of().beside(What::Restarted, 0.34)),
        named("all restarted", of().beside(What::Restarted, 1.0)),
        named(
            "a third frozen, a third alone",
            of().beside(What::Frozen, 0.34).beside(What::Alone, 0.34),
        ),
    ]
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Requests in the worst second.
    pub worst: usize,
    /// Requests that the upstream may get in a second.
    pub limit: f64,
    /// The part of the stated rate that was used before anything went wrong.
    pub used: f64,
    /// The same while something went wrong, and after.
    pub used_beside: f64,
}

/// Runs at several sizes, as a table.
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
