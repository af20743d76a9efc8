use tgw_clock::Millis;

/// What is played.
#[derive(Clone, Debug)]
pub struct Setup {
    /// VMs in all, over six failure domains in three regions.
    pub vms: usize,
    /// The whole fleet starts for the first time.
    pub first: bool,
    /// Seeds that are down for good, of three.
    pub seeds_down: usize,
    /// The store answers from then on; from the start on by default.
    pub store_from: Millis,
    /// The part of the VMs that the store turns away.
    pub refused: f64,
    /// The chance that a packet is lost.
    pub loss: f64,
    /// The seeds die so long after their start, before they have told all.
    pub seeds_die: Option<Millis>,
    /// Seed of what is drawn.
    pub seed: u64,
}

impl Setup {
    /// So many VMs that lose power together, with nothing else wrong.
    pub fn of(vms: usize, seed: u64) -> Self {
        Self {
            vms,
            first: false,
            seeds_down: 0,
            store_from: Millis::ZERO,
            refused: 0.0,
            loss: 0.01,
            seeds_die: None,
            seed,
        }
    }
}

/// The starts that are printed: sizes, and what may be wrong beside.
pub fn setups(vms: usize, seed: u64) -> Vec<(String, Setup)> {
    let of = |change: fn(&mut Setup)| {
        let mut setup = Setup::of(vms, seed);
        change(&mut setup);
        setup
    };
    vec![
        ("for the first time".into(), of(|s| s.first = true)),
        ("all lose power".into(), of(|_| ())),
        ("two seeds down".into(), of(|s| s.seeds_down = 2)),
        ("all seeds down".into(), of(|s| s.seeds_down = 3)),
        ("a third turned away by the store".into(), of(|s| s.refused = 0.35)),
        ("store away for 2 s".into(), of(|s| s.store_from = Millis::new(2_000))),
        ("seeds die while they tell".into(), of(|s| s.seeds_die = Some(Millis::new(150)))),
        ("a fifth of the packets lost".into(), of(|s| s.loss = 0.2)),
    ]
}
