use tgw_clock::Millis;

/// What goes wrong.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// The store refuses these VMs at once, and ends their watches.
    Refused,
    /// The store says nothing to these VMs; what they asked is lost.
    Silent,
    /// Watches that wait are lost without a sign; new calls are answered.
    Hung,
    /// These VMs stand still.
    Frozen,
    /// These VMs die.
    Killed,
    /// Nothing passes between these VMs and the others.
    CutOff,
    /// The store is away for all, and entries lapse meanwhile.
    Away,
    /// The store takes 200 ms longer for each answer.
    Slow,
}

/// Which VMs it befalls.
#[derive(Copy, Clone, Debug, PartialEq)]
pub enum Whom {
    /// All that follow the store at that time.
    Followers,
    /// One of these.
    Follower,
    /// A part of all, drawn at random.
    Part(f64),
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
    /// Whom it befalls.
    pub whom: Whom,
}

/// What changes at the store.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Upstreams leave.
    Upstreams,
    /// Failure domains are evacuated, and others are taken back.
    Evacuations,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What changes.
    pub subject: Subject,
    /// VMs in all.
    pub vms: usize,
    /// Regions, of one failure domain each up to nine VMs and of two beyond.
    pub regions: usize,
    /// Upstreams in all.
    pub upstreams: usize,
    /// When the first of them leave; eight at once.
    pub leave_at: Millis,
    /// Entries of upstreams that have just started are written again and again.
    pub news: bool,
    /// The chance that a packet is lost.
    pub loss: f64,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// Seed of what is drawn.
    pub seed: u64,
}

impl Setup {
    /// So many VMs, with nothing wrong but one packet in a hundred lost.
    pub fn of(vms: usize, seed: u64) -> Self {
        Self {
            subject: Subject::Upstreams,
            vms,
            regions: 3,
            upstreams: 60,
            leave_at: Millis::new(20_000),
            news: true,
            loss: 0.01,
            troubles: Vec::new(),
            seed,
        }
    }

    /// The same for evacuations, of which nothing else is written.
    pub fn of_evacuations(vms: usize, seed: u64) -> Self {
        Self { subject: Subject::Evacuations, news: false, upstreams: 0, ..Self::of(vms, seed) }
    }

    /// The same beside a trouble that begins and ends so many ms before or after the upstreams leave.
    #[must_use]
    pub fn beside(mut self, what: What, whom: Whom, from: i64, to: i64) -> Self {
        let leave = self.leave_at.whole();
        let at = |ms: i64| Millis::new(leave.saturating_add_signed(ms));
        self.troubles.push(Trouble { at: at(from), until: at(to), what, whom });
        self
    }
}

/// What is printed: sizes, and what may be wrong beside.
pub fn setups(subject: Subject, vms: usize, seed: u64) -> Vec<(String, Setup)> {
    let of = || match subject {
        Subject::Upstreams => Setup::of(vms, seed),
        Subject::Evacuations => Setup::of_evacuations(vms, seed),
    };
    let named = |name: &str, setup: Setup| (name.to_owned(), setup);
    vec![
        named("nothing else", of()),
        named("no other news", Setup { news: false, ..of() }),
        named("a fifth of the packets lost", Setup { loss: 0.2, ..of() }),
        named("one region", Setup { regions: 1, ..of() }),
        named("a slow store", of().beside(What::Slow, Whom::Part(1.0), -2_000, 6_000)),
        named("followers turned away until 0.1 s before", turned_away(of())),
        named(
            "followers turned away long before, then again",
            turned_away(of()).beside(What::Refused, Whom::Followers, -15_000, -9_000),
        ),
        named(
            "all followers turned away",
            of().beside(What::Refused, Whom::Followers, -500, 8_500),
        ),
        named(
            "the store silent to all followers",
            of().beside(What::Silent, Whom::Followers, -500, 8_500),
        ),
        named(
            "a third hears nothing of the store",
            of().beside(What::Silent, Whom::Part(0.35), -500, 8_500),
        ),
        named("all watches hang", of().beside(What::Hung, Whom::Part(1.0), -500, -400)),
        named("a follower frozen", of().beside(What::Frozen, Whom::Follower, -500, 3_500)),
        named("a follower killed", of().beside(What::Killed, Whom::Follower, -500, 60_000)),
        named(
            "a follower cut from its peers",
            of().beside(What::CutOff, Whom::Follower, -500, 5_000),
        ),
        named(
            "one region, its follower frozen",
            Setup { regions: 1, ..of() }.beside(What::Frozen, Whom::Follower, -500, 3_500),
        ),
        named(
            "one region, the store silent to one follower",
            Setup { regions: 1, ..of() }.beside(What::Silent, Whom::Follower, -500, 8_500),
        ),
        named(
            "the store away, back 4 s before",
            of().beside(What::Away, Whom::Part(1.0), -10_000, -4_000),
        ),
        named(
            "followers turned away, a third frozen",
            turned_away(of()).beside(What::Frozen, Whom::Part(0.35), -500, 3_500),
        ),
    ]
}

/// The store turns the followers away for a moment that ends just before upstreams leave.
pub fn turned_away(setup: Setup) -> Setup {
    setup.beside(What::Refused, Whom::Followers, -1_000, -100)
}
