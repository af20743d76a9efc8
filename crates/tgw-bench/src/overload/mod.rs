//! Forwarding under load at its worst: the real decisions of several VMs against modelled upstreams.
//!
//! Each VM's [`tgw_forward::Core`] and its [`tgw_forward::Plan`]s run under a virtual clock. An upstream is
//! a queue before some slots that pauses, turns slow, sheds or goes dark; a way between regions takes 8 ms.
//! Connections are open from the start and take no time: what these cost is measured on real sockets only.

/// Upstreams that end under a query.
mod death;
/// What a run yields, and the ratios to the oracle.
pub mod figures;
/// The choice that knows the state of each upstream.
mod oracle;
/// The queries as they come.
mod query;
/// The virtual clock's loop.
mod run;
/// What goes wrong.
pub mod scenario;
/// The upstreams' model.
mod upstream;
/// The VMs and their routes.
mod vms;

pub use figures::{Figures, Report};
pub use run::Choice;
pub use scenario::Scenario;
pub use vms::SHARDS;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds; each is played by every choice.
    pub seeds: u64,
    /// VMs in all, over three regions; nine if not stated.
    pub vms: Option<usize>,
    /// Settings of an experiment, as `hedges=no`, for the tier's choice.
    pub set: Vec<String>,
}

/// Plays a scenario with each choice on the same seeds. Errors: a setting that nothing bears.
pub fn report(
    scenario: Scenario,
    options: &Options,
) -> Result<Report, tgw_forward::policy::Invalid> {
    let mut policy = tgw_forward::Policy::default();
    options.set.iter().try_for_each(|setting| policy.set(setting))?;
    let size = vms::Size { vms: options.vms.unwrap_or(vms::VMS).max(vms::REGIONS) };
    let played = |choice: Choice| {
        let play = |seed| run::play(scenario, choice, (size, policy), seed);
        let seeds = (1..=options.seeds).map(play);
        Figures::of(choice, seeds)
    };
    let figures = Choice::ALL.map(played);
    Ok(Report { scenario, seeds: options.seeds, figures: figures.into() })
}
