use crate::{
    Core, Plan,
    message::{Order, Reason, Response, Why},
    part::{Part, State},
};
use tgw_clock::Millis;
use tgw_quarantine::{
    ledger::{LIMIT, Verdict},
    message::Seen,
};

/// Whether one more send may be made now.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Clearance {
    /// It may; so much is known of the request.
    Go(Seen),
    /// Another send of the request has to end first.
    Wait,
    /// Upstreams end under the request.
    Never,
}

/// How a request is sent under which upstreams may end.
///
/// A search under which upstreams end looks, from here, as if they had all failed it. Tried again at once at all others,
/// it ended whatever was left of three upstreams a shard, at each attempt. From the first upstream that ends under it,
/// it waits for the sends that are under way, and goes on one part at a time, each at another service, until one is
/// answered: then it is no such request, and all of its parts go on. That costs a search which was at upstreams when
/// these ended one way there and back; one that ends them, two upstreams more than its first sends.
impl Plan {
    /// Takes in what is known of the request. False if it may not be sent at all.
    pub(crate) fn judge(&mut self, now: Millis, core: &mut Core) -> bool {
        if !core.policy().quarantine {
            return true;
        }
        match core.quarantine.verdict(now, self.print) {
            Verdict::Free => true,
            Verdict::Careful(rounds) => {
                self.trial = core.quarantine.holds(self.print);
                self.rounds = rounds;
                true
            }
            Verdict::Held(wait) => {
                self.held = Some(wait);
                self.parts.iter_mut().for_each(|p| p.state = State::GivenUp);
                false
            }
        }
    }

    /// How often upstreams ended under the request, one time after the other.
    fn rounds(&self, core: &Core) -> u8 {
        match (self.answered, self.trial) {
            (true, _) => 0,
            (false, true) => self.rounds,
            (false, false) => self.rounds.max(core.quarantine.rounds(self.print)),
        }
    }

    /// Whether it is sent to one upstream at a time.
    pub(crate) fn careful(&self, core: &Core) -> bool {
        core.policy().quarantine && self.rounds(core) > 0
    }

    /// An upstream replied, and did not end: the request is no deadly one. Of one that failed, as at its deadline, it is
    /// not known how far it ran.
    pub(crate) fn note_answer(
        &mut self,
        now: Millis,
        index: usize,
        response: &Response,
        core: &mut Core,
    ) {
        if response.status.is_server_error() {
            return;
        }
        self.answered = true;
        if let Some(part) = self.parts.get(index) {
            self.released |= core.quarantine.answered(now, self.print, &part.service);
        }
    }

    /// An upstream ended under a send that was made knowing of `seen`.
    pub(crate) fn note_end(&mut self, seen: Seen) {
        self.rounds = self.rounds.max(seen.all.saturating_add(1));
    }

    /// Whether a send of a part may be made now.
    pub(crate) fn clearance(&mut self, now: Millis, index: usize, core: &mut Core) -> Clearance {
        let Some(part) = self.parts.get(index) else { return Clearance::Never };
        if !core.policy().quarantine {
            return Clearance::Go(Seen::default());
        }
        let rounds = self.rounds(core);
        let under_way = self.parts.iter().any(|p| p.open > 0);
        match rounds {
            LIMIT.. => return Clearance::Never,
            1.. if under_way => return Clearance::Wait,
            _ => {}
        }
        if let Verdict::Held(wait) = core.quarantine.part(now, self.print, &part.service) {
            self.held = Some(wait);
            return Clearance::Never;
        }
        let seen = core.quarantine.known(self.print, &part.service);
        Clearance::Go(Seen { all: rounds, ..seen })
    }

    /// Gives a part up, as upstreams end under the request.
    pub(crate) fn quarantine(&mut self, index: usize, why: Why) {
        self.withhold(index, why, Reason::Quarantined);
        let part = &mut self.parts[index];
        if part.open == 0 {
            part.state = State::GivenUp;
        }
    }

    /// Makes the sends that had to wait for others, as far as they may be made now.
    pub(crate) fn resume(&mut self, now: Millis, core: &mut Core, out: &mut Vec<Order>) {
        while let Some((index, why)) = self.next_delayed(core) {
            self.parts[index].delayed = None;
            self.place(now, index, why, core, out);
            self.give_up(now, index, core);
        }
    }

    /// The part that waits for others and was sent least often, if none is under way that it has to wait for: what
    /// happens at another service says more.
    fn next_delayed(&self, core: &Core) -> Option<(usize, Why)> {
        if self.careful(core) && self.parts.iter().any(|p| p.open > 0) {
            return None;
        }
        let waiting = self.parts.iter().enumerate().filter(|(_, p)| p.waiting());
        let delayed = |(index, part): (usize, &Part)| Some((part.sends, index, part.delayed?));
        let next = waiting.filter_map(delayed).min_by_key(|(sends, index, _)| (*sends, *index))?;
        Some((next.1, next.2))
    }
}
