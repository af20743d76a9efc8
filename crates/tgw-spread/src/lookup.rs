//! Finding other VMs through the store, and evidence that there are none. No I/O.
//!
//! A VM that knows no other one may be the only one, or may not have been found yet. It publishes its address, and lists
//! the addresses of all VMs after the store has acknowledged that. Of two VMs that both do so, at least one sees the other
//! and asks it, whatever the order of their calls: the store's answers are linearizable.

use tgw_clock::Millis;

/// Time in ms in which a VM whose address is listed answers, if it lives: several round trips, one of which may be lost.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(1_000);

/// What the store has told of other VMs.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
enum Finding {
    /// Nothing yet.
    #[default]
    Unknown,
    /// The store did not answer: it tells neither that there are others nor that there are none.
    Unavailable,
    /// There are no other addresses.
    Nobody,
    /// The VMs at the addresses found were asked, and those that live answer until then.
    Asked(Millis),
}

/// The lookup of other VMs by one VM.
#[derive(Copy, Clone, Debug, Default)]
pub struct Lookup {
    is_published: bool,
    finding: Finding,
}

impl Lookup {
    /// Whether this VM has to publish its address: others could not find it otherwise.
    pub fn has_to_publish(&self, is_relay: bool, is_alone: bool) -> bool {
        (is_relay || is_alone) && !self.is_published
    }

    /// Records whether the store has acknowledged the address.
    pub fn record_publication(&mut self, is_done: bool) {
        self.is_published = is_done;
        if !is_done && self.finding == Finding::Unknown {
            self.finding = Finding::Unavailable;
        }
    }

    /// Whether this VM has to list the addresses: it knows no other VM, or has published its own and not listed since.
    pub fn has_to_list(&self, is_alone: bool) -> bool {
        is_alone || (self.is_published && self.finding == Finding::Unknown)
    }

    /// Records a list of the addresses: the number of others, or `None` if the store did not answer.
    pub fn record_list(&mut self, now: Millis, others: Option<usize>) {
        // A VM that acts as the only one by evidence does not stop again at each later list, which may name dead ones.
        if matches!(self.finding, Finding::Nobody | Finding::Asked(_)) {
            return;
        }
        self.finding = match others {
            None => Finding::Unavailable,
            // Another VM that listed before this one was published has not seen it either.
            Some(_) if !self.is_published => self.finding,
            Some(0) => Finding::Nobody,
            Some(_) => Finding::Asked(now + ANSWER_TIMEOUT_MS),
        };
    }

    /// Whether the store did not answer, so that it is to be asked again soon.
    pub fn has_failed(&self) -> bool {
        self.finding == Finding::Unavailable
    }

    /// Whether this VM may take itself for the only one if it knows no other.
    pub fn is_over(&self, now: Millis) -> bool {
        match self.finding {
            Finding::Unknown | Finding::Unavailable => false,
            Finding::Nobody => true,
            Finding::Asked(until) => now >= until,
        }
    }
}
