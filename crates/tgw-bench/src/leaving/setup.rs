use tgw_clock::Millis;

/// Kind of a fault.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The store refuses the calls of these VMs at once and ends their watches.
    Refused,
    /// The store does not answer these VMs; their calls are lost.
    Unresponsive,
    /// Waiting watches are lost without notice; new calls are answered.
    HungWatches,
    /// These VMs are paused.
    Paused,
    /// These VMs are killed.
    Killed,
    /// These VMs are partitioned from the others.
    Partitioned,
    /// The store is down for all VMs, and its entries lapse meanwhile.
    Outage,
    /// The store takes 200 ms longer for each answer.
    Slow,
    /// These VMs miss what they are told of the upstreams that leave, whoever tells them, and count
    /// as being as far as others that were told: an unknown mistake of their code. One VM that
    /// watches the store is spared, as nobody can know what all of these miss.
    Missed,
}

/// The VMs that a fault affects.
#[derive(Copy, Clone, Debug, PartialEq)]
pub enum Target {
    /// All VMs that watch the store at that time.
    Watchers,
    /// One of the VMs that watch the store.
    OneWatcher,
    /// A random share of all VMs.
    Share(f64),
}

/// One fault.
#[derive(Copy, Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Millis,
    /// When it ends.
    pub until: Millis,
    /// Its kind.
    pub kind: FaultKind,
    /// The VMs that it affects.
    pub target: Target,
}

/// What changes at the store.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Upstreams leave.
    Upstreams,
    /// Failure domains are evacuated, and others are taken back.
    Evacuations,
}

/// Setup of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What changes.
    pub subject: Subject,
    /// VMs in total.
    pub vms: usize,
    /// Regions; each has one failure domain in fleets of up to nine VMs, and two in larger ones.
    pub regions: usize,
    /// Upstreams in total.
    pub upstreams: usize,
    /// When the first upstreams leave; eight leave together.
    pub leave_at: Millis,
    /// Entries of recently started upstreams are rewritten repeatedly.
    pub rewrites: bool,
    /// Probability that a packet is lost.
    pub loss: f64,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Setup {
    /// A setup without faults, except that one packet in a hundred is lost.
    pub fn healthy(vms: usize, seed: u64) -> Self {
        Self {
            subject: Subject::Upstreams,
            vms,
            regions: 3,
            upstreams: 60,
            leave_at: Millis::new(20_000),
            rewrites: true,
            loss: 0.01,
            faults: Vec::new(),
            seed,
        }
    }

    /// The same for evacuations, without other writes to the store.
    pub fn evacuations(vms: usize, seed: u64) -> Self {
        Self {
            subject: Subject::Evacuations,
            rewrites: false,
            upstreams: 0,
            ..Self::healthy(vms, seed)
        }
    }

    /// Adds a fault; its begin and end are in ms relative to the time at which the upstreams leave.
    #[must_use]
    pub fn with_fault(mut self, kind: FaultKind, target: Target, from: i64, to: i64) -> Self {
        let leave = self.leave_at.as_whole_ms();
        let at = |ms: i64| Millis::new(leave.saturating_add_signed(ms));
        self.faults.push(Fault { at: at(from), until: at(to), kind, target });
        self
    }
}

/// The named setups of a report, with and without faults.
pub fn setups(subject: Subject, vms: usize, seed: u64) -> Vec<(String, Setup)> {
    let of = || match subject {
        Subject::Upstreams => Setup::healthy(vms, seed),
        Subject::Evacuations => Setup::evacuations(vms, seed),
    };
    let named = |name: &str, setup: Setup| (name.to_owned(), setup);
    let mut setups = vec![
        named("nothing else", of()),
        named("no other news", Setup { rewrites: false, ..of() }),
        named("a fifth of the packets lost", Setup { loss: 0.2, ..of() }),
        named("one region", Setup { regions: 1, ..of() }),
        named("a slow store", of().with_fault(FaultKind::Slow, Target::Share(1.0), -2_000, 6_000)),
        named("followers turned away until 0.1 s before", with_refused_watchers(of())),
        named(
            "followers turned away long before, then again",
            with_refused_watchers(of()).with_fault(
                FaultKind::Refused,
                Target::Watchers,
                -15_000,
                -9_000,
            ),
        ),
        named(
            "all followers turned away",
            of().with_fault(FaultKind::Refused, Target::Watchers, -500, 8_500),
        ),
        named(
            "the store silent to all followers",
            of().with_fault(FaultKind::Unresponsive, Target::Watchers, -500, 8_500),
        ),
        named(
            "a third hears nothing of the store",
            of().with_fault(FaultKind::Unresponsive, Target::Share(0.35), -500, 8_500),
        ),
        named(
            "all watches hang",
            of().with_fault(FaultKind::HungWatches, Target::Share(1.0), -500, -400),
        ),
        named(
            "a follower frozen",
            of().with_fault(FaultKind::Paused, Target::OneWatcher, -500, 3_500),
        ),
        named(
            "a follower killed",
            of().with_fault(FaultKind::Killed, Target::OneWatcher, -500, 60_000),
        ),
        named(
            "a follower cut from its peers",
            of().with_fault(FaultKind::Partitioned, Target::OneWatcher, -500, 5_000),
        ),
        named(
            "one region, its follower frozen",
            Setup { regions: 1, ..of() }.with_fault(
                FaultKind::Paused,
                Target::OneWatcher,
                -500,
                3_500,
            ),
        ),
        named(
            "one region, the store silent to one follower",
            Setup { regions: 1, ..of() }.with_fault(
                FaultKind::Unresponsive,
                Target::OneWatcher,
                -500,
                8_500,
            ),
        ),
        named("one region, its followers cut off in turn", with_followers_cut_in_turn(of())),
        named("one region, two followers cut off at once", with_two_followers_cut(of())),
        named(
            "the store away, back 4 s before",
            of().with_fault(FaultKind::Outage, Target::Share(1.0), -10_000, -4_000),
        ),
        named(
            "followers turned away, a third frozen",
            with_refused_watchers(of()).with_fault(
                FaultKind::Paused,
                Target::Share(0.35),
                -500,
                3_500,
            ),
        ),
    ];
    // Evacuations are told as a whole list, of which nothing can be missed.
    if subject == Subject::Upstreams {
        let missed = of().with_fault(FaultKind::Missed, Target::Share(0.35), -100, 60_000);
        setups.push(named("a third misses the news", missed));
    }
    setups
}

/// In one region, the VM that watches the store is cut off from it, long before, and then the one that took over, as the
/// upstreams leave.
pub fn with_followers_cut_in_turn(setup: Setup) -> Setup {
    let one = Setup { regions: 1, leave_at: Millis::new(30_000), ..setup };
    let silent = FaultKind::Unresponsive;
    let first = one.with_fault(silent, Target::OneWatcher, -20_100, -14_600);
    first.with_fault(silent, Target::OneWatcher, -100, 5_400)
}

/// In one region, the VM that watches the store is cut off from it, and then the one that took over as well, while the first
/// still is and as the upstreams leave. Nothing else changes at the store.
pub fn with_two_followers_cut(setup: Setup) -> Setup {
    let one = Setup { regions: 1, rewrites: false, ..setup };
    let silent = FaultKind::Unresponsive;
    let first = one.with_fault(silent, Target::OneWatcher, -4_000, 8_000);
    first.with_fault(silent, Target::OneWatcher, -100, 8_000)
}

/// The store refuses the VMs that watch it for a moment that ends just before the upstreams leave.
pub fn with_refused_watchers(setup: Setup) -> Setup {
    setup.with_fault(FaultKind::Refused, Target::Watchers, -1_000, -100)
}
