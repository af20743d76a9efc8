use crate::{
    Fingerprint,
    evidence::Evidence,
    message::{Rounds, Termination},
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Ended upstreams that are remembered by incarnation, so that repeated reports of one count once. This is more than
/// the rounds need; of a search of many shards the last ones are kept.
const MAX_ENDED_UPSTREAMS: usize = 32;

/// An upstream that ended under a request.
#[derive(Copy, Clone, Debug)]
pub(crate) struct End {
    /// The upstream's incarnation, hashed.
    pub(crate) upstream: u32,
    /// Its service, hashed.
    pub(crate) service: u32,
    /// Rounds known when the request was sent there.
    rounds: Rounds,
    /// Whether it counts at all services together.
    counts: bool,
    /// Whether it counts at its service.
    counts_at_service: bool,
}

impl End {
    /// Whether it counts at all services together.
    pub(crate) fn counts(&self) -> bool {
        self.counts
    }

    /// The report of it, for the request under which the upstream ended.
    pub(crate) fn termination(&self, fingerprint: Fingerprint) -> Termination {
        let Self { upstream, service, rounds, .. } = *self;
        Termination { fingerprint, service, upstream, rounds }
    }

    /// The round in which it counts at a service, or at all; `None` if it does not.
    pub(crate) fn round(&self, service: Option<u32>) -> Option<u8> {
        match service {
            None => self.counts.then_some(self.rounds.total),
            Some(service) => {
                (self.counts_at_service && self.service == service).then_some(self.rounds.service)
            }
        }
    }
}

/// Evidence against one request of one caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Evidence from all services. A request quarantined by this is sent nowhere.
    pub(crate) overall: Evidence,
    /// Evidence by hashed service: a request may end the upstreams of one shard and run on all others.
    pub(crate) services: SmallVec<[(u32, Evidence); 1]>,
    /// The upstreams that ended under the request.
    ended: SmallVec<[End; 2]>,
    /// Time of the last request or report.
    pub(crate) last_used: Millis,
}

impl Record {
    /// Records an ended upstream; false if it is recorded already.
    pub(crate) fn add_ended(&mut self, termination: &Termination) -> bool {
        let Termination { upstream, service, rounds, .. } = *termination;
        if self.ended.iter().any(|end| end.upstream == upstream) {
            return false;
        }
        if self.ended.len() >= MAX_ENDED_UPSTREAMS {
            self.ended.remove(0);
        }
        self.ended.push(End { upstream, service, rounds, counts: true, counts_at_service: true });
        true
    }

    /// The upstreams that ended under the request.
    pub(crate) fn ended(&self) -> &[End] {
        &self.ended
    }

    /// Whether an upstream ended under the request, which is confirmed to be what ends upstreams.
    pub(crate) fn is_known_to_end(&self, upstream: u32) -> bool {
        let Some(end) = self.ended.iter().find(|end| end.upstream == upstream) else {
            return false;
        };
        [None, Some(end.service)]
            .iter()
            .any(|at| self.evidence_at(*at).is_confirmed() && end.round(*at).is_some())
    }

    /// No longer counts the end of an upstream, as another request ended it. Returns the evidence that it counted for.
    pub(crate) fn excuse(&mut self, upstream: u32) -> SmallVec<[Option<u32>; 2]> {
        let Some(end) = self.ended.iter_mut().find(|end| end.upstream == upstream) else {
            return SmallVec::new();
        };
        let scopes = [(end.counts, None), (end.counts_at_service, Some(end.service))];
        (end.counts, end.counts_at_service) = (false, false);
        scopes.into_iter().filter(|(counted, _)| *counted).map(|(_, service)| service).collect()
    }

    /// Clears the evidence at a service, or at all; returns whether that ends a quarantine.
    pub(crate) fn clear(&mut self, now: Millis, service: Option<u32>) -> bool {
        self.discard_ends(service);
        self.evidence_at_mut(service).clear(now)
    }

    /// No longer counts any end at a service, or at all: the request was released.
    pub(crate) fn discard_ends(&mut self, service: Option<u32>) {
        for end in &mut self.ended {
            match service {
                None => end.counts = false,
                Some(service) => end.counts_at_service &= end.service != service,
            }
        }
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
    pub(crate) fn all_evidence(&self) -> impl Iterator<Item = (Option<u32>, &Evidence)> {
        let services = self.services.iter().map(|(name, evidence)| (Some(*name), evidence));
        services.chain([(None, &self.overall)])
    }

    /// Whether the request is quarantined at any service or everywhere.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.all_evidence().any(|(_, evidence)| evidence.is_quarantined())
    }
}
