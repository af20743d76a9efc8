//! Finding other VMs through the store, and evidence that there are none. No I/O.
//!
//! A VM that knows no other one may be the only one, or may not have been found yet. Neither an address that nobody answers
//! at nor a store that is silent tells: only VMs that watch the store for others publish their addresses, and each of them
//! may have gone. So it works the other way round: the VM publishes its own address, and those that watch the store call
//! each VM that does. If the store goes on answering and nobody calls for longer than it takes to replace a VM that watches,
//! there is nobody.

use tgw_clock::Millis;

/// Time in ms within which a VM that has published its address is called by the others, if there are any: another one
/// takes over within about 2 s from one that watched the store, or that one notices within 4 s that its connection is
/// silent, and then lists the addresses.
const CALL_TIMEOUT_MS: Millis = Millis::new(6_000);

/// The lookup of other VMs by one VM.
#[derive(Copy, Clone, Debug, Default)]
pub struct Lookup {
    is_published: bool,
    has_failed: bool,
    /// Since when the store has answered each call, all of them after it acknowledged this VM's address.
    answered_since: Option<Millis>,
    is_alone: bool,
}

impl Lookup {
    /// Whether this VM has to publish its address: others could not find it otherwise.
    pub fn has_to_publish(&self, watches_store: bool, knows_nobody: bool) -> bool {
        (watches_store || knows_nobody) && !self.is_published
    }

    /// Records whether the store has acknowledged the address.
    pub fn record_publication(&mut self, is_done: bool) {
        self.is_published = is_done;
        self.record_answer(is_done);
    }

    /// Records a list of the addresses that was requested at `called_at`, and whether the store answered it. A silence
    /// starts the wait anew: the others may not have been able to read this VM's address either.
    pub fn record_list(&mut self, called_at: Millis, is_answered: bool) {
        self.record_answer(is_answered);
        if is_answered && self.is_published {
            let since = *self.answered_since.get_or_insert(called_at);
            self.is_alone |= called_at - since >= CALL_TIMEOUT_MS;
        }
    }

    fn record_answer(&mut self, is_answered: bool) {
        self.has_failed = !is_answered;
        if !is_answered {
            self.answered_since = None;
        }
    }

    /// Whether the store did not answer the last call, so that it is to be asked again soon.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether the store has shown that a VM that knows no other one is the only one.
    pub fn is_alone(&self) -> bool {
        self.is_alone
    }
}
