use crate::{
    group::{Group, Task},
    leaf::Stock,
    owner::Passed,
    pick::Candidate,
    trust::{Rank, Trust},
};
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::Upstream;

/// Waiting requests for each trusted slot above which suspects are used without a pause.
const PRESSED: usize = 1;
/// The pressure of a group without a trusted upstream.
const UNFIT: f32 = 4.0;

impl Group {
    /// Whether another group should be asked at once: every upstream that could serve the request is
    /// set aside after failures. A group that fails at once looks fast and empty, and would draw
    /// ever more requests.
    pub(crate) fn unfit(&self, now: Millis, number: u64) -> bool {
        let Some(task) = self.tasks.get(&number) else { return false };
        let set_aside = |i: &usize| self.upstreams[*i].rank(now) >= Rank::Ejected;
        task.leaf.give_back.is_some() && task.eligible.iter().all(set_aside)
    }

    /// Whether more waits than the trusted upstreams can soon serve.
    pub(crate) fn pressed(&self) -> bool {
        let trusted = self.upstreams.iter().filter(|u| u.trusted());
        let slots: usize = trusted.map(|u| usize::from(u.slots)).sum();
        self.queue.len() > slots * PRESSED
    }

    /// Requests that wait or run, as a part of the slots that may be used.
    pub(crate) fn pressure(&self, now: Millis) -> f32 {
        let usable = self.upstreams.iter().filter(|u| u.rank(now) == Rank::Trusted);
        let slots: f64 = usable.map(|u| f64::from(u.slots) * self.share).sum();
        if slots == 0.0 {
            return UNFIT + self.tasks.len() as f32;
        }
        (self.tasks.len() as f64 / slots) as f32
    }

    /// The snapshots held by upstreams that may be used; `None` while nothing is known. An upstream
    /// that has not told what it holds counts for each snapshot that another does.
    pub(crate) fn stock(&self) -> Option<Stock> {
        let usable = || self.upstreams.iter().filter(|u| !u.leaving());
        let mut stock = Stock::new();
        for snapshot in usable().filter_map(Trust::held).flatten() {
            if !stock.iter().any(|(s, _)| s == snapshot) {
                let count = usable().filter(|u| u.holds(*snapshot)).count();
                stock.push((*snapshot, count as u8));
            }
        }
        let known = usable().any(|u| u.held().is_some());
        known.then_some(stock)
    }

    /// The upstreams that may be sent a request: eligible, holding its snapshot, not running it.
    pub(crate) fn usable(&self, task: &Task) -> SmallVec<[usize; 4]> {
        let fits = |i: &&usize| {
            let upstream = &self.upstreams[**i];
            !upstream.leaving()
                && (task.leaf.once() || upstream.holds(task.leaf.snapshot))
                && !task.runs.iter().any(|(_, running)| running == *i)
        };
        task.eligible.iter().filter(fits).copied().collect()
    }

    pub(crate) fn candidates(&self, now: Millis, indices: &[usize]) -> SmallVec<[Candidate; 4]> {
        let pressed = self.pressed();
        let view = |i: &usize| {
            let upstream = &self.upstreams[*i];
            Candidate {
                upstream: upstream.id,
                free: upstream.free(now, self.share, pressed),
                load: upstream.runs.len(),
                latency: upstream.latency.get(),
                rank: upstream.rank(now),
            }
        };
        indices.iter().map(view).collect()
    }

    pub(crate) fn passed(
        &self,
        now: Millis,
        number: u64,
        chosen: usize,
    ) -> SmallVec<[(Upstream, Passed); 4]> {
        let pressed = self.pressed();
        let Some(task) = self.tasks.get(&number) else { return SmallVec::new() };
        let reason = |index: usize, upstream: &Trust| match upstream.rank(now) {
            Rank::Leaving => Passed::Leaving,
            _ if !upstream.holds(task.leaf.snapshot) => Passed::Gone,
            _ if !task.eligible.contains(&index) => Passed::Tried,
            Rank::Ejected => Passed::Ejected,
            Rank::Suspect => Passed::Suspect,
            Rank::Trusted if upstream.free(now, self.share, pressed) => Passed::Lower,
            Rank::Trusted => Passed::Busy,
        };
        self.upstreams
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != chosen)
            .map(|(index, upstream)| (upstream.id, reason(index, upstream)))
            .collect()
    }
}
