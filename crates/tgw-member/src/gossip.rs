use crate::packet::{MAX_UPDATES_PER_PACKET, Update};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use tgw_topology::{Vm, place::Domain};

/// The subject of an update; a later update on the same subject replaces the earlier one.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Vm(Vm),
    Reachability(Domain),
    Rollout(Domain),
}

/// Updates to disseminate, each with the number of transmissions left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: BTreeMap<Subject, (u32, Update)>,
}

impl Gossip {
    /// Queues an update to be sent in `transmissions` packets.
    pub(crate) fn enqueue(&mut self, update: Update, transmissions: u32) {
        let subject = match &update {
            Update::Record(record) => Subject::Vm(record.vm),
            Update::Reachability { domain, .. } => Subject::Reachability(*domain),
            Update::Rollout { domain, .. } => Subject::Rollout(*domain),
        };
        self.queue.insert(subject, (transmissions, update));
    }

    /// Takes the updates for one packet, those with the most transmissions left first.
    pub(crate) fn take_batch(&mut self) -> SmallVec<[Update; 2]> {
        let mut order: SmallVec<[(u32, Subject); 16]> =
            self.queue.iter().map(|(subject, (left, _))| (*left, *subject)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let mut batch = SmallVec::new();
        for (_, subject) in order.into_iter().take(MAX_UPDATES_PER_PACKET) {
            let Some((left, update)) = self.queue.get_mut(&subject) else { continue };
            batch.push(update.clone());
            *left -= 1;
            if *left == 0 {
                self.queue.remove(&subject);
            }
        }
        batch
    }
}
