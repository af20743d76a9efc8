//! Forwarding under overload and faults: the decision core of several VMs against modelled
//! upstreams.
//!
//! Each VM's [`tgw_forward::Core`] and its [`tgw_forward::Plan`]s run under a virtual clock. An
//! upstream is a queue in front of some slots; it pauses, turns slow, sheds or stops answering. One
//! way between regions takes 8 ms. Connections are open from the start and cost no time: their cost
//! is measured on real sockets only.

/// Figures of a run, and their ratios to the oracle.
pub mod figures;
/// The oracle, which knows the state of each upstream.
mod oracle;
/// Generation of queries.
mod query;
/// Event loop of the virtual clock.
mod run;
/// The faults and when they occur.
pub mod scenario;
/// Upstreams that end during a query.
mod termination;
/// Model of an upstream.
mod upstream;
/// The VMs and their routes.
mod vms;

pub use figures::{Figures, Report};
pub use run::Choice;
pub use scenario::Scenario;
pub use vms::SHARDS;

/// Number of queries that end upstreams, where there are several.
const DEADLY_QUERIES: usize = 4;

/// Parameters of a report.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Number of seeds; each is run with every choice.
    pub seeds: u64,
    /// VMs in total over three regions; nine by default.
    pub vms: Option<usize>,
    /// Shards of the index; [`SHARDS`] by default.
    pub shards: Option<usize>,
    /// Queries that end upstreams, in [`Scenario::QueriesOfDeath`]; four by default.
    pub deadly: Option<usize>,
    /// Overrides of the forwarding policy for [`Choice::Tier`], such as `hedges=no`.
    pub set: Vec<String>,
}

/// Runs a scenario with each choice on the same seeds.
///
/// # Errors
///
/// An override that the policy does not know or does not accept.
pub fn report(
    scenario: Scenario,
    options: &Options,
) -> Result<Report, tgw_forward::policy::Invalid> {
    let mut policy = tgw_forward::Policy::default();
    options.set.iter().try_for_each(|setting| policy.set(setting))?;
    let size = vms::Size {
        vms: options.vms.unwrap_or(vms::VMS).max(vms::REGIONS),
        shards: options.shards.unwrap_or(SHARDS).max(1),
    };
    let deadly = options.deadly.unwrap_or(DEADLY_QUERIES);
    let played = |choice: Choice| {
        let play = |seed| run::simulate((scenario, deadly), choice, (size, policy), seed);
        let seeds = (1..=options.seeds).map(play);
        Figures::of(choice, seeds)
    };
    let figures = Choice::ALL.map(played);
    Ok(Report { scenario, seeds: options.seeds, figures: figures.into() })
}
