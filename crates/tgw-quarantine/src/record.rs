use crate::evidence::Evidence;
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Ended upstreams that are remembered by incarnation, so that repeated reports of one count once. This is more than
/// the rounds need; of a search of many shards the last ones are kept.
const MAX_ENDED_UPSTREAMS: usize = 32;

/// Evidence against one request of one caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Evidence from all services. A request quarantined by this is sent nowhere.
    pub(crate) overall: Evidence,
    /// Evidence by hashed service: a request may end the upstreams of one shard and run on all others.
    pub(crate) services: SmallVec<[(u32, Evidence); 1]>,
    /// Incarnations of the upstreams that ended under the request, hashed.
    ended: SmallVec<[u32; 4]>,
    /// Time of the last request or report.
    pub(crate) last_used: Millis,
}

impl Record {
    /// Records an ended upstream; false if it is recorded already.
    pub(crate) fn add_ended(&mut self, upstream: u32) -> bool {
        if self.ended.contains(&upstream) {
            return false;
        }
        if self.ended.len() >= MAX_ENDED_UPSTREAMS {
            self.ended.remove(0);
        }
        self.ended.push(upstream);
        true
    }

    /// Number of remembered upstreams that ended under the request.
    pub(crate) fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// The evidence at a service, or from all services.
    pub(crate) fn evidence_at(&self, service: Option<u32>) -> Evidence {
        let Some(service) = service else { return self.overall };
        let known = self.services.iter().find(|(name, _)| *name == service);
        known.map(|(_, evidence)| *evidence).unwrap_or_default()
    }

    pub(crate) fn evidence_at_mut(&mut self, service: Option<u32>) -> &mut Evidence {
        let Some(service) = service else { return &mut self.overall };
        let at = self.services.iter().position(|(name, _)| *name == service);
        let at = at.unwrap_or_else(|| {
            self.services.push((service, Evidence::default()));
            self.services.len() - 1
        });
        &mut self.services[at].1
    }

    /// All evidence, with its service; `None` for all services.
    pub(crate) fn all_evidence_mut(
        &mut self,
    ) -> impl Iterator<Item = (Option<u32>, &mut Evidence)> {
        let services = self.services.iter_mut().map(|(name, evidence)| (Some(*name), evidence));
        services.chain([(None, &mut self.overall)])
    }

    /// All evidence, with its service; `None` for all services.
    pub(crate) fn all_evidence(&self) -> impl Iterator<Item = (Option<u32>, &Evidence)> {
        let services = self.services.iter().map(|(name, evidence)| (Some(*name), evidence));
        services.chain([(None, &self.overall)])
    }

    /// Whether the request is quarantined at any service or everywhere.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.all_evidence().any(|(_, evidence)| evidence.is_quarantined())
    }
}
