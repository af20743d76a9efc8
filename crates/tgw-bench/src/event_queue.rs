use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};
use tgw_clock::Millis;

/// Events of a virtual clock. Events of one time come in the order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, E>,
    last: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), events: BTreeMap::new(), last: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn schedule(&mut self, at: Millis, event: E) {
        let number = self.next_number();
        self.heap.push(Reverse((at, number)));
        self.events.insert(number, event);
    }

    /// Removes the next event up to `end`, with its time.
    pub(crate) fn pop(&mut self, end: Millis) -> Option<(Millis, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        (at <= end).then_some((at, event))
    }

    /// A number that no event has.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
