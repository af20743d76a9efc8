use crate::packet::{NEWS, News};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use tgw_topology::{Vm, place::Domain};

/// What news is about: later news of the same subject replaces the earlier.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Vm(Vm),
    Reach(Domain),
    Force(Domain),
}

/// News and how often it still has to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: BTreeMap<Subject, (u32, News)>,
}

impl Gossip {
    /// Queues news to be told `times`.
    pub(crate) fn add(&mut self, news: News, times: u32) {
        let subject = match &news {
            News::Record(record) => Subject::Vm(record.vm),
            News::Reach { domain, .. } => Subject::Reach(*domain),
            News::Force { domain, .. } => Subject::Force(*domain),
        };
        self.queue.insert(subject, (times, news));
    }

    /// Takes news for one packet, what was told least first.
    pub(crate) fn take(&mut self) -> SmallVec<[News; 2]> {
        let mut order: SmallVec<[(u32, Subject); 16]> =
            self.queue.iter().map(|(subject, (left, _))| (*left, *subject)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let mut taken = SmallVec::new();
        for (_, subject) in order.into_iter().take(NEWS) {
            let Some((left, news)) = self.queue.get_mut(&subject) else { continue };
            taken.push(news.clone());
            *left -= 1;
            if *left == 0 {
                self.queue.remove(&subject);
            }
        }
        taken
    }
}
