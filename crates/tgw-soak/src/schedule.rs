use crate::{configuration::Trial, fleet::DOMAINS};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// A fault to inject.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A VM gets SIGTERM and is restarted after it has exited.
    Term(usize),
    /// A VM is killed and restarted.
    Kill(usize),
    /// All VMs are killed at once and restarted.
    KillAll,
    /// A VM is paused by SIGSTOP for a while.
    Freeze(usize, Duration),
    /// A VM gets SIGHUP and reloads its settings.
    Hangup(usize),
    /// The link from a VM to the store drops all bytes for a while.
    StoreCut(usize, Duration),
    /// The store refuses all calls for a while.
    StoreDown(Duration),
    /// The store drops its change history.
    Compact,
    /// An upstream pauses for a while.
    Pause(usize, Duration),
    /// The link to an upstream drops all bytes for a while.
    Silence(usize, Duration),
    /// Replies of an upstream are dropped for a while.
    LoseReplies(usize, Duration),
    /// Requests to an upstream and its replies are delayed for a while.
    Slow(usize, Duration),
    /// All connections to an upstream are reset.
    Reset(usize),
    /// An upstream's entry says that it drains, and another upstream replaces it.
    Replace(usize),
    /// An upstream's entry is removed without notice, and another upstream replaces it; the old one keeps
    /// serving for a while.
    Vanish(usize),
    /// A new version of the configuration is written.
    Configure,
    /// The configuration is changed, and changed back after a while.
    Trial(Trial, Duration),
    /// An upstream's process ends, and another starts under the same id.
    Restart(usize),
    /// An upstream's entry is overwritten by another writer with a malformed document, for a while.
    Foreign(usize, Duration),
    /// A failure domain is evacuated for a while.
    Evacuate(usize, Duration),
    /// A caller sends the query of death to a VM.
    Deadly(usize),
    /// An upstream reads nothing for a while, and then what was sent meanwhile.
    Hold(usize, Duration),
    /// The delayed heartbeat of an upstream that has begun to drain takes effect: it says that the
    /// upstream is ready. The next one follows after a heartbeat interval.
    LateHeartbeat(usize),
}

/// A fault and its time since the start of the run.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) fault: Fault,
}

/// Typical interval of random faults; repeated ones overlap.
const FAULT_INTERVAL_MS: u64 = 350;

/// Typical interval of faults of upstreams' entries.
const ENTRY_FAULT_INTERVAL_MS: u64 = 900;
/// Gives these faults their own random sequence, so that they do not change a seed's other faults.
const ENTRY_SEED: u64 = 0x656e_7472;
/// Typical interval of deadly queries.
const DEADLY_INTERVAL_MS: u64 = 900;
/// Own random sequence, as for `ENTRY_SEED`.
const DEADLY_SEED: u64 = 0x6465_6164;

/// Typical interval of upstreams whose entries are removed without notice.
const VANISH_INTERVAL_MS: u64 = 1_500;
/// Own random sequence, as for `ENTRY_SEED`.
const VANISH_SEED: u64 = 0x7661_6e69;

/// Typical interval of upstreams that read nothing for a while.
const HOLD_INTERVAL_MS: u64 = 2_500;
/// Own random sequence, as for `ENTRY_SEED`.
const HOLD_SEED: u64 = 0x686f_6c64;

/// How long a change of the configuration lasts that few VMs see.
const SHORT_TRIAL: Duration = Duration::from_millis(50);
/// Times after an outage of the store at which such changes are made: VMs reach it again over about a second.
const AFTER_OUTAGE_MS: [u64; 3] = [450, 750, 1_050];
/// Typical interval of changes of the configuration that are taken back.
const TRIAL_INTERVAL_MS: u64 = 2_400;
/// Own random sequence, as for `ENTRY_SEED`.
const TRIAL_SEED: u64 = 0x7472_6961;
/// Own random sequence, as for `ENTRY_SEED`.
const MISSED_TRIAL_SEED: u64 = 0x6d69_7373;
/// Time until all VMs go on that missed a change of the configuration or its rollback.
pub(crate) const MISSED_TRIAL_TIME: Duration = Duration::from_millis(7_000);

/// Own random sequence, as for `ENTRY_SEED`.
const CALM_SEED: u64 = 0x6361_6c6d;
/// Groups of upstreams that leave in the calm phase, the number in each, and the time between two groups:
/// all VMs must know of one group before the next, and an upstream serves for some time after it left.
const CALM_GROUPS: u32 = 2;
const CALM_GROUP_SIZE: u32 = 5;
const CALM_GROUP_INTERVAL: Duration = Duration::from_millis(4_500);
/// Upper bound on the time between two upstreams of a group.
const CALM_GROUP_GAP_MS: u64 = 12;

/// Length of the calm phase.
pub(crate) const CALM_TIME: Duration = CALM_GROUP_INTERVAL.saturating_mul(CALM_GROUPS);

/// Own random sequence, as for `ENTRY_SEED`.
const EVACUATION_SEED: u64 = 0x6576_6163;

/// Draws the faults of a seed over `span`, in order of time. Indices are below `vms` and `upstreams`.
pub(crate) fn draw(
    seed: u64,
    span: Duration,
    vms: usize,
    upstreams: usize,
    deadly: u8,
) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(200..800));
    while at < span {
        let fault = draw_fault(&mut rng, vms, upstreams);
        let repeats = if rng.random_bool(0.15) { rng.random_range(1..4) } else { 0 };
        for number in 0..=repeats {
            steps.push(Step { at: at + Duration::from_millis(120 * number), fault });
        }
        at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS / 4..FAULT_INTERVAL_MS * 2));
    }
    steps.extend(draw_entry_faults(seed, span, upstreams));
    // Upstreams that vanish without notice, often while the store is unreachable or down.
    steps.extend(draw_repeated(seed ^ VANISH_SEED, VANISH_INTERVAL_MS, span, |rng| {
        Fault::Vanish(rng.random_range(0..upstreams))
    }));
    steps.extend(draw_repeated(seed ^ HOLD_SEED, HOLD_INTERVAL_MS, span, |rng| {
        let span = Duration::from_millis(rng.random_range(300..2_500));
        Fault::Hold(rng.random_range(0..upstreams), span)
    }));
    if seed.is_multiple_of(2) || deadly > 1 {
        // Every other seed repeats a query of death at random VMs; each seed does if there are several.
        let interval_ms = DEADLY_INTERVAL_MS / u64::from(deadly);
        steps.extend(draw_repeated(seed ^ DEADLY_SEED, interval_ms, span, |rng| {
            Fault::Deadly(rng.random_range(0..vms))
        }));
    }
    if seed.is_multiple_of(3) {
        steps.push(draw_evacuation(seed));
    }
    steps.extend(draw_trials(seed, span, vms));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws the calm phase, in which upstreams leave in groups and nothing else is wrong. Its faults are in
/// order of time, from its start.
pub(crate) fn draw_calm(seed: u64, upstreams: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ CALM_SEED);
    let mut steps = Vec::new();
    for group in 0..CALM_GROUPS {
        let mut at = CALM_GROUP_INTERVAL.saturating_mul(group);
        for _ in 0..CALM_GROUP_SIZE {
            at += Duration::from_millis(rng.random_range(0..CALM_GROUP_GAP_MS));
            let upstream = rng.random_range(0..upstreams);
            if rng.random_bool(0.4) {
                steps.push(Step { at, fault: Fault::Vanish(upstream) });
                continue;
            }
            steps.push(Step { at, fault: Fault::Replace(upstream) });
            let delay = Duration::from_millis(rng.random_range(500..3_800));
            steps.push(Step { at: at + delay, fault: Fault::LateHeartbeat(upstream) });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws changes of the configuration that are taken back: while VMs are stopped, cut from the store or killed, one at
/// the change and one at the rollback; right after the store was down for all; or with nothing else.
fn draw_trials(seed: u64, span: Duration, vms: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ TRIAL_SEED);
    let ms = Duration::from_millis;
    let mut steps = Vec::new();
    let mut at = ms(rng.random_range(300..TRIAL_INTERVAL_MS));
    while at < span {
        let trial = draw_trial(&mut rng);
        let (first, second) = (rng.random_range(0..vms), rng.random_range(0..vms));
        let lasts = ms(rng.random_range(400..2_500));
        let missed = ms(rng.random_range(200..1_500));
        let around = |fault: &dyn Fn(usize, Duration) -> Fault| {
            let before = ms(100);
            let change =
                Step { at: at.saturating_sub(before), fault: fault(first, lasts + missed) };
            let rollback = Step { at: at + lasts - before, fault: fault(second, missed + missed) };
            [change, rollback]
        };
        let mut trials = vec![Step { at, fault: Fault::Trial(trial, lasts) }];
        match rng.random_range(0..6) {
            0 => steps.extend(around(&Fault::Freeze)),
            1 => steps.extend(around(&Fault::StoreCut)),
            2 => steps.extend(around(&|vm, _| Fault::Kill(vm))),
            3 | 4 => {
                // Those that read the store for the others reach it again at different moments.
                let down = ms(rng.random_range(1_500..3_200));
                steps.push(Step { at, fault: Fault::StoreDown(down) });
                let brief = Fault::Trial(trial, SHORT_TRIAL);
                let after = AFTER_OUTAGE_MS.map(|delay| at + down + ms(delay));
                trials = after.map(|at| Step { at, fault: brief }).into();
                at += down;
            }
            _ => {}
        }
        steps.extend(trials);
        at += ms(rng.random_range(TRIAL_INTERVAL_MS / 2..TRIAL_INTERVAL_MS * 2));
    }
    steps
}

/// Draws a change of the configuration that one VM misses together with its rollback, while all others miss the rollback
/// alone, and nothing else is wrong. Each is stopped for longer than a watch of the store lasts, so that it lists the store
/// when it goes on; the one is the first to do so, and tells the others. The faults are in order of time.
pub(crate) fn draw_missed_trial(seed: u64, vms: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ MISSED_TRIAL_SEED);
    let ms = Duration::from_millis;
    let at = ms(600);
    let one = rng.random_range(0..vms);
    // Without any change there would be nothing to miss.
    let trial = Trial { moves_route: true, ..draw_trial(&mut rng) };
    let lasts = ms(rng.random_range(2_200..2_600));
    let stopped = ms(rng.random_range(3_400..3_800));
    let rest = (0..vms).filter(|vm| *vm != one).map(|vm| Fault::Freeze(vm, stopped));
    let rest = rest.map(|fault| Step { at: at + lasts - ms(200), fault });
    let one = Step { at: Duration::ZERO, fault: Fault::Freeze(one, stopped) };
    let trial = Step { at, fault: Fault::Trial(trial, lasts) };
    [one, trial].into_iter().chain(rest).collect()
}

fn draw_trial(rng: &mut StdRng) -> Trial {
    Trial {
        moves_route: rng.random(),
        drops_route: rng.random(),
        adds_key: rng.random(),
        removes_key: rng.random(),
        adds_tenant: rng.random(),
    }
}

/// Draws an evacuation that lasts longer than all VMs may take to learn of it.
fn draw_evacuation(seed: u64) -> Step {
    let mut rng = StdRng::seed_from_u64(seed ^ EVACUATION_SEED);
    let at = Duration::from_millis(rng.random_range(100..600));
    let span = Duration::from_millis(rng.random_range(6_000..6_400));
    Step { at, fault: Fault::Evacuate(rng.random_range(0..DOMAINS.len()), span) }
}

/// Draws restarts of upstreams and overwritten entries.
fn draw_entry_faults(seed: u64, span: Duration, upstreams: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ ENTRY_SEED);
    let interval = |rng: &mut StdRng| {
        Duration::from_millis(
            rng.random_range(ENTRY_FAULT_INTERVAL_MS / 4..ENTRY_FAULT_INTERVAL_MS * 2),
        )
    };
    let mut steps = Vec::new();
    let mut at = interval(&mut rng);
    while at < span {
        let upstream = rng.random_range(0..upstreams);
        let fault = match rng.random_bool(0.5) {
            true => Fault::Restart(upstream),
            false => Fault::Foreign(upstream, Duration::from_millis(rng.random_range(150..2_000))),
        };
        steps.push(Step { at, fault });
        at += interval(&mut rng);
    }
    steps
}

/// Draws repeated faults of one kind from their own random sequence.
fn draw_repeated(
    seed: u64,
    interval_ms: u64,
    span: Duration,
    mut fault: impl FnMut(&mut StdRng) -> Fault,
) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..interval_ms));
    while at < span {
        steps.push(Step { at, fault: fault(&mut rng) });
        at += Duration::from_millis(rng.random_range(interval_ms / 4..interval_ms * 2));
    }
    steps
}

fn draw_fault(rng: &mut StdRng, vms: usize, upstreams: usize) -> Fault {
    let vm = rng.random_range(0..vms);
    let upstream = rng.random_range(0..upstreams);
    let span = Duration::from_millis(rng.random_range(150..2_500));
    match rng.random_range(0..24) {
        0 | 1 => Fault::Term(vm),
        2 | 3 => Fault::Kill(vm),
        4 => Fault::KillAll,
        5 | 6 => Fault::Freeze(vm, span),
        7 => Fault::Hangup(vm),
        8 | 9 => Fault::StoreCut(vm, span),
        10 => Fault::StoreDown(span),
        11 => Fault::Compact,
        12..=14 => Fault::Pause(upstream, span.min(Duration::from_millis(400))),
        15 => Fault::Silence(upstream, span),
        16 => Fault::LoseReplies(upstream, span),
        17 => Fault::Slow(upstream, span),
        18 | 19 => Fault::Reset(upstream),
        20 | 21 => Fault::Replace(upstream),
        _ => Fault::Configure,
    }
}
