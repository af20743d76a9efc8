use tgw_clock::Millis;

/// Setup of one start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// VMs in total, over three regions.
    pub vms: usize,
    /// The whole fleet starts for the first time.
    pub first_start: bool,
    /// Seeds that stay down, of three.
    pub seeds_down: usize,
    /// Time from which the store answers; by default it always does.
    pub store_from: Millis,
    /// Share of the VMs that the store refuses.
    pub refused: f64,
    /// Probability that a packet is lost.
    pub loss: f64,
    /// The seeds die this long after their start, before all VMs have copied from them.
    pub seeds_die: Option<Millis>,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Setup {
    /// A simultaneous start after a power loss, without other faults.
    pub fn healthy(vms: usize, seed: u64) -> Self {
        Self {
            vms,
            first_start: false,
            seeds_down: 0,
            store_from: Millis::ZERO,
            refused: 0.0,
            loss: 0.01,
            seeds_die: None,
            seed,
        }
    }
}

/// The named setups of a report, with and without faults.
pub fn setups(vms: usize, seed: u64) -> Vec<(String, Setup)> {
    let of = |change: fn(&mut Setup)| {
        let mut setup = Setup::healthy(vms, seed);
        change(&mut setup);
        setup
    };
    vec![
        ("for the first time".into(), of(|s| s.first_start = true)),
        ("all lose power".into(), of(|_| ())),
        ("two seeds down".into(), of(|s| s.seeds_down = 2)),
        ("all seeds down".into(), of(|s| s.seeds_down = 3)),
        ("a third turned away by the store".into(), of(|s| s.refused = 0.35)),
        ("store away for 2 s".into(), of(|s| s.store_from = Millis::new(2_000))),
        ("seeds die while they tell".into(), of(|s| s.seeds_die = Some(Millis::new(150)))),
        ("a fifth of the packets lost".into(), of(|s| s.loss = 0.2)),
    ]
}
