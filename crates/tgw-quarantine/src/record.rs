use crate::mark::Mark;
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Upstreams that are remembered by name, so that word of one counts once. More than the rounds need; of a search of
/// many shards the last ones.
const REMEMBERED: usize = 32;

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Wherever it was sent. Held back, it is sent nowhere.
    pub(crate) all: Mark,
    /// At services under which upstreams ended, hashed: one shard may hold what the others bear.
    pub(crate) services: SmallVec<[(u32, Mark); 1]>,
    /// Upstreams that ended under it, by incarnation, hashed.
    ended: SmallVec<[u32; 4]>,
    /// When it was last asked for, or word of it came.
    pub(crate) touched: Millis,
}

impl Record {
    /// Whether word of this upstream is new.
    pub(crate) fn note(&mut self, upstream: u32) -> bool {
        if self.ended.contains(&upstream) {
            return false;
        }
        if self.ended.len() >= REMEMBERED {
            self.ended.remove(0);
        }
        self.ended.push(upstream);
        true
    }

    /// Upstreams that ended under it, as far as they are remembered.
    pub(crate) fn ended(&self) -> usize {
        self.ended.len()
    }

    /// Of a service, or of the request wherever it is sent.
    pub(crate) fn mark(&self, service: Option<u32>) -> Mark {
        let Some(service) = service else { return self.all };
        let known = self.services.iter().find(|(name, _)| *name == service);
        known.map(|(_, mark)| *mark).unwrap_or_default()
    }

    pub(crate) fn mark_mut(&mut self, service: Option<u32>) -> &mut Mark {
        let Some(service) = service else { return &mut self.all };
        let at = self.services.iter().position(|(name, _)| *name == service);
        let at = at.unwrap_or_else(|| {
            self.services.push((service, Mark::default()));
            self.services.len() - 1
        });
        &mut self.services[at].1
    }

    /// All of them, with their services.
    pub(crate) fn marks_mut(&mut self) -> impl Iterator<Item = (Option<u32>, &mut Mark)> {
        let services = self.services.iter_mut().map(|(name, mark)| (Some(*name), mark));
        services.chain([(None, &mut self.all)])
    }

    /// All of them, with their services.
    pub(crate) fn marks(&self) -> impl Iterator<Item = (Option<u32>, &Mark)> {
        let services = self.services.iter().map(|(name, mark)| (Some(*name), mark));
        services.chain([(None, &self.all)])
    }

    /// Whether it is held back anywhere.
    pub(crate) fn held(&self) -> bool {
        self.marks().any(|(_, mark)| mark.held())
    }
}
