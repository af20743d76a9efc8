use crate::{
    Core, Plan,
    caution::Clearance,
    fleet::{Choice, Hop},
    message::{Order, Reason, Why, Withheld},
    part::Placed,
    upstream::Distance,
};
use tgw_clock::Millis;
use tgw_quarantine::message::Seen;
use tgw_route::Safety;

/// A second send is not made sooner, in ms; sooner ones were duplicates of what was on its way.
const HEDGE_LEAST: Millis = Millis::new(8);
/// The part of the aim after which a second send could no longer meet it.
const HEDGE_MOST: f64 = 0.4;

/// Which sends a request makes, and when further ones.
impl Plan {
    /// Tries the parts again that found no upstream with room.
    pub(crate) fn unpark(&mut self, now: Millis, core: &mut Core, out: &mut Vec<Order>) {
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if part.waiting() && part.parked.is_some_and(|at| now >= at) {
                part.unpark();
                let why = if part.sends == 0 { Why::First } else { Why::Retry };
                self.place(now, index, why, core, out);
                self.give_up(now, index, core);
            }
        }
    }

    pub(crate) fn hedge(&mut self, now: Millis, core: &mut Core, out: &mut Vec<Order>) {
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if part.waiting() && part.late_at.is_some_and(|at| now >= at) {
                part.late_at = None;
                self.late.extend(part.tried.last().copied());
                let slow = part.tried.last().and_then(|k| core.fleet.get(*k)).map(|u| u.distance);
                if let Some(distance) = slow {
                    core.hedge(&self.route, distance).late();
                }
            }
            let part = &mut self.parts[index];
            if part.waiting() && part.hedge_at.is_some_and(|at| now >= at) {
                part.hedge_at = None;
                if core.policy().hedges {
                    self.place(now, index, Why::Hedge, core, out);
                }
            }
        }
    }

    /// Orders one more send for a part, if an upstream, the route and the budget allow it.
    pub(crate) fn place(
        &mut self,
        now: Millis,
        index: usize,
        why: Why,
        core: &mut Core,
        out: &mut Vec<Order>,
    ) {
        let seen = match self.clearance(now, index, core) {
            Clearance::Go(seen) => seen,
            Clearance::Wait => {
                self.parts[index].delayed = Some(why);
                return;
            }
            Clearance::Never => return self.quarantine(index, why),
        };
        if why == Why::Hedge && seen != Seen::default() {
            return;
        }
        let route = self.route.clone();
        let need = self.need(index);
        let part = &mut self.parts[index];
        let placed = match part.choose(now, (why, need), &route, core) {
            Ok(placed) => placed,
            Err(reason) => return self.withhold(index, why, reason),
        };
        let Placed { choice: Choice { key, hop }, insist, lent } = placed;
        let after = part.tried.last().copied();
        if lent {
            part.lent.push(key);
        }
        part.tried.push(key);
        part.seen.push((key, seen));
        part.tries += 1;
        part.sends += 1;
        part.open += 1;
        let ticket = core.fleet.send(now, key);
        part.hedge_at = None;
        part.late_at = None;
        if part.sendable(&route) && route.safety == Safety::Idempotent {
            let distance = core.fleet.get(key).map_or(Distance::Far, |u| u.distance);
            let hedge = core.hedge(&route, distance);
            if why == Why::First {
                hedge.request();
            }
            let delay = hedge.delay().min(route.aim.scale(HEDGE_MOST)).max(HEDGE_LEAST);
            part.late_at = Some(now + delay);
            let reach = core.hedge(&route, Distance::Far).delay();
            let last = (self.answer_by - now) - reach;
            let put_off = (last - delay).scale(core.policy().hedge_wait);
            part.hedge_at = Some(now + delay + put_off);
        }
        let cut = if hop == Hop::Peer { self.cut() } else { None };
        out.push(Order { part: index, ticket, why, hop, insist, lent, after, cut, seen });
    }

    pub(crate) fn withhold(&mut self, index: usize, why: Why, reason: Reason) {
        let withheld = Withheld { part: index, why, reason };
        // A part that finds no room tries each 20 ms: while all upstreams of a service were gone, half of all log
        // lines said so again.
        if self.parts[index].withheld.replace(withheld) != Some(withheld) {
            self.withheld.push(withheld);
        }
    }
}
