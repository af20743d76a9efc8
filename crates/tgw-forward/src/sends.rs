use crate::{
    Core, Plan,
    fleet::{Choice, Hop},
    message::{Reason, SendOrder, Trigger, Withheld},
    part::Placement,
    quarantine::Permission,
    upstream::Distance,
};
use tgw_clock::Millis;
use tgw_quarantine::message::Rounds;
use tgw_route::Safety;

/// Lower bound of the hedge delay in ms; earlier hedges duplicated replies that were about to
/// arrive.
const MIN_HEDGE_DELAY_MS: Millis = Millis::new(8);
/// Fraction of the latency target after which a hedge could no longer meet it.
const MAX_HEDGE_DELAY_FACTOR: f64 = 0.4;

/// First sends, hedges and retries of a request.
impl Plan {
    /// Tries deferred parts again.
    pub(crate) fn retry_deferred(
        &mut self,
        now: Millis,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) {
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if part.waiting() && part.deferred_until.is_some_and(|at| now >= at) {
                part.end_deferral();
                let trigger = if part.sends == 0 { Trigger::First } else { Trigger::Retry };
                self.order_send(now, index, trigger, core, out);
                self.give_up_or_defer(now, index, core);
            }
        }
    }

    pub(crate) fn send_hedges(&mut self, now: Millis, core: &mut Core, out: &mut Vec<SendOrder>) {
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if part.waiting() && part.late_at.is_some_and(|at| now >= at) {
                part.late_at = None;
                self.late_upstreams.extend(part.tried.last().copied());
                let late_distance =
                    part.tried.last().and_then(|k| core.fleet.get(*k)).map(|u| u.distance);
                if let Some(distance) = late_distance {
                    core.hedge(&self.route, distance).record_late();
                }
            }
            let part = &mut self.parts[index];
            if part.waiting() && part.hedge_at.is_some_and(|at| now >= at) {
                part.hedge_at = None;
                if core.policy().hedges {
                    self.order_send(now, index, Trigger::Hedge, core, out);
                }
            }
        }
    }

    /// Orders one more send for a part, if an upstream, the route and the budget allow it.
    pub(crate) fn order_send(
        &mut self,
        now: Millis,
        index: usize,
        trigger: Trigger,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) {
        let seen = match self.permission(now, index, core) {
            Permission::Granted(seen) => seen,
            Permission::Wait => {
                self.parts[index].delayed = Some(trigger);
                return;
            }
            Permission::Denied => return self.give_up_quarantined(index, trigger),
        };
        if trigger == Trigger::Hedge && seen != Rounds::default() {
            return;
        }
        let route = self.route.clone();
        let requirement = self.requirement(index);
        let part = &mut self.parts[index];
        let placement = match part.choose_upstream(now, (trigger, requirement), &route, core) {
            Ok(placement) => placement,
            Err(reason) => return self.withhold(index, trigger, reason),
        };
        let Placement { choice: Choice { key, hop }, fallback, lent } = placement;
        let previous = part.tried.last().copied();
        if lent {
            part.lent.push(key);
        }
        part.tried.push(key);
        part.seen.push((key, seen));
        part.sent_at.push((key, now));
        part.tries += 1;
        part.sends += 1;
        part.in_flight += 1;
        let ticket = core.fleet.record_send(now, key);
        part.hedge_at = None;
        part.late_at = None;
        if part.can_send(&route) && route.safety == Safety::Idempotent {
            let distance = core.fleet.get(key).map_or(Distance::OtherRegion, |u| u.distance);
            let hedge = core.hedge(&route, distance);
            if trigger == Trigger::First {
                hedge.record_request();
            }
            let delay = hedge
                .delay()
                .min(route.target_latency.mul_f64(MAX_HEDGE_DELAY_FACTOR))
                .max(MIN_HEDGE_DELAY_MS);
            part.late_at = Some(now + delay);
            let other_region_delay = core.hedge(&route, Distance::OtherRegion).delay();
            let latest = (self.answer_by - now) - other_region_delay;
            let extra_delay = (latest - delay).mul_f64(core.policy().hedge_wait);
            part.hedge_at = Some(now + delay + extra_delay);
        }
        let limits = if hop == Hop::Peer { self.part_limits() } else { None };
        out.push(SendOrder {
            part: index,
            ticket,
            trigger,
            hop,
            fallback,
            lent,
            previous,
            limits,
            seen,
        });
    }

    pub(crate) fn withhold(&mut self, index: usize, trigger: Trigger, reason: Reason) {
        let withheld = Withheld { part: index, trigger, reason };
        // A deferred part is tried each 20 ms: while all upstreams of a service were gone, half of
        // all log lines repeated this.
        if self.parts[index].last_withheld.replace(withheld) != Some(withheld) {
            self.withheld.push(withheld);
        }
    }
}
