use crate::{
    Core, Plan, Upstream,
    fleet::Key,
    message::{Reason, Response, SendOrder, Trigger},
    part::{self, Part, State},
    upstream::Entry,
};
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_quarantine::{
    message::Rounds,
    tracker::{QUARANTINE_ROUNDS, Verdict, hash_name},
};
use tgw_route::Target;

/// Number of warm upstreams that a single service keeps when a suspect is sent to another one. Suspects that each took
/// the last warm upstream left a service without any for as long as a replacement takes to start and to become warm.
const MIN_SPARE_UPSTREAMS: usize = 2;

/// Identifies an upstream's incarnation in reports about its end.
pub fn incarnation_hash(entry: &Entry) -> u32 {
    hash_name(&format!("{}/{}", entry.id, entry.started))
}

/// Whether one more send may be made now.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Allowed, with the upstream terminations known for the request.
    Granted(Rounds),
    /// Another send of the request has to end first, or another request that ran on the same upstreams has its turn.
    Wait,
    /// The request is quarantined, or its turn comes after its deadline.
    Denied,
}

/// Limits the sends of a request that may terminate upstreams.
///
/// To the VM, a search that terminates every upstream it reaches looks as if all of them had
/// failed. Retried at once at all other replicas, such a search terminated what was left of three
/// upstreams per shard, at each attempt. After the first termination the request therefore waits
/// for its sends in flight and then continues one part at a time, each at another service, until
/// one is answered: that shows that the request is harmless, and all parts continue. A harmless
/// search whose upstreams terminated for another reason pays one round trip for this; a harmful one
/// terminates two upstreams beyond its first sends.
impl Plan {
    /// Applies the quarantine state of the request. False if it may not be sent at all.
    pub(crate) fn check_quarantine(&mut self, now: Millis, core: &mut Core) -> bool {
        if !core.policy().quarantine {
            return true;
        }
        match core.quarantine.verdict(now, self.fingerprint) {
            Verdict::Allowed => true,
            Verdict::Limited(rounds) => {
                self.trial = core.quarantine.is_quarantined(self.fingerprint);
                self.rounds = rounds;
                true
            }
            Verdict::Rejected(wait) => {
                self.quarantined_for = Some(wait);
                self.parts.iter_mut().for_each(|p| p.state = State::GivenUp);
                false
            }
        }
    }

    /// Consecutive upstream terminations under the request.
    fn rounds(&self, core: &Core) -> u8 {
        match (self.answered, self.trial) {
            (true, _) => 0,
            (false, true) => self.rounds,
            (false, false) => self.rounds.max(core.quarantine.rounds(self.fingerprint)),
        }
    }

    /// Whether the request is limited to one send at a time.
    pub(crate) fn is_limited(&self, core: &Core) -> bool {
        core.policy().quarantine && self.rounds(core) > 0
    }

    /// Records that an upstream replied instead of terminating, which shows that the request is
    /// harmless. A failure, as at the deadline, does not show how far the request ran and does not
    /// count.
    pub(crate) fn record_answer(
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
            self.released |= core.quarantine.record_answer(now, self.fingerprint, &part.service);
        }
    }

    /// Records that an upstream terminated under a send made with the rounds in `known` on record.
    pub(crate) fn record_termination(&mut self, known: Rounds) {
        self.rounds = self.rounds.max(known.total.saturating_add(1));
    }

    /// Whether a send of a part may be made now.
    pub(crate) fn permission(&mut self, now: Millis, index: usize, core: &mut Core) -> Permission {
        let Some(part) = self.parts.get(index) else { return Permission::Denied };
        if !core.policy().quarantine {
            return Permission::Granted(Rounds::default());
        }
        let rounds = self.rounds(core);
        let any_in_flight = self.parts.iter().any(|p| p.in_flight > 0);
        match rounds {
            QUARANTINE_ROUNDS.. => return Permission::Denied,
            1.. if any_in_flight => return Permission::Wait,
            _ => {}
        }
        if self.lacks_spares(now, part, rounds, core) {
            return Permission::Denied;
        }
        let turn = core.quarantine.turn(self.fingerprint, &part.service);
        let turn = turn.filter(|at| !self.answered && *at > now);
        self.resume_at = turn.filter(|at| *at < self.deadline);
        if turn.is_some() {
            return if self.resume_at.is_some() { Permission::Wait } else { Permission::Denied };
        }
        if let Verdict::Rejected(wait) =
            core.quarantine.part_verdict(now, self.fingerprint, &part.service)
        {
            self.quarantined_for = Some(wait);
            return Permission::Denied;
        }
        let known = core.quarantine.known_rounds(self.fingerprint, &part.service);
        Permission::Granted(Rounds { total: rounds.max(known.total), ..known })
    }

    /// Whether the request is a suspect whose next send could leave a single service without warm upstreams. The retry
    /// after the first termination is exempt: most of these are crashes that the request did not cause. So are queries,
    /// whose sends go to another shard each.
    fn lacks_spares(&self, now: Millis, part: &Part, rounds: u8, core: &Core) -> bool {
        let exempt_rounds = if part.sends == 0 { 0 } else { 1 };
        let single = !matches!(self.route.target, Target::Shards(_));
        if !single
            || self.answered
            || rounds <= exempt_rounds
            || !core.quarantine.is_suspect(now, self.fingerprint)
        {
            return false;
        }
        let (service, scope) = (&part.service, core.scope(&self.route));
        let limits = part::send_limits(core, &self.route, service);
        let Some(choice) = core.fleet.pick(now, service, limits, &part.tried, scope) else {
            return false;
        };
        let warm = core.fleet.warm_upstreams(now, service, scope);
        let spares: SmallVec<[(Key, &Upstream); 4]> = warm
            .filter(|(key, upstream)| {
                *key != choice.key && !core.quarantine.has_ended(incarnation_hash(&upstream.entry))
            })
            .collect();
        let region = |upstream: &Upstream| core.fleet.place.region(&upstream.entry.domain);
        let chosen = core.fleet.get(choice.key).and_then(region);
        spares.len() < MIN_SPARE_UPSTREAMS
            || (core.is_restricted(service) && !spares.iter().any(|(_, u)| region(u) == chosen))
    }

    /// Gives a part up because its request is quarantined.
    pub(crate) fn give_up_quarantined(&mut self, index: usize, trigger: Trigger) {
        self.withhold(index, trigger, Reason::Quarantined);
        let part = &mut self.parts[index];
        if part.in_flight == 0 {
            part.state = State::GivenUp;
        }
    }

    /// Makes the delayed sends that are allowed now.
    pub(crate) fn send_delayed(&mut self, now: Millis, core: &mut Core, out: &mut Vec<SendOrder>) {
        while let Some((index, trigger)) = self.next_delayed(now, core) {
            self.parts[index].delayed = None;
            self.order_send(now, index, trigger, core, out);
            self.give_up_or_defer(now, index, core);
        }
    }

    /// The index of the part with which a limited request continues after `step` others.
    ///
    /// The order differs from request to request. If a harmless search and one that terminates
    /// upstreams continued in the same order, each upstream that the harmful one terminates would
    /// terminate under both, and count against both.
    pub(crate) fn limited_order(&self, step: usize) -> usize {
        let parts = self.parts.len().max(1) as u64;
        ((self.fingerprint.content % parts) as usize + step) % parts as usize
    }

    /// The delayed part with the fewest sends, unless a send in flight has to end first: the
    /// outcome at another service says more about the request.
    fn next_delayed(&self, now: Millis, core: &Core) -> Option<(usize, Trigger)> {
        let waits = self.is_limited(core) && self.parts.iter().any(|p| p.in_flight > 0);
        if waits || self.resume_at.is_some_and(|at| now < at) {
            return None;
        }
        let order = (0..self.parts.len()).map(|step| self.limited_order(step));
        let waiting = order.map(|i| (i, &self.parts[i])).filter(|(_, part)| part.waiting());
        let delayed = |(index, part): (usize, &Part)| Some((part.sends, index, part.delayed?));
        // Of equal ones, `min_by_key` returns the first.
        let next = waiting.filter_map(delayed).min_by_key(|(sends, ..)| *sends)?;
        Some((next.1, next.2))
    }
}
