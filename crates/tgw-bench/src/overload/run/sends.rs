use super::{Event, LOAD_DRAW_OFFSET, Running, Sim, reported_load};
use crate::overload::{
    termination::{self, InFlight},
    upstream::Outcome,
    vms::REGIONS,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::Rng;
use tgw_clock::Millis;
use tgw_forward::{
    fleet::{Hop, Ticket},
    hosting,
    load::Load,
    plan::{Response, SendOrder, SendResult},
    upstream::SendOutcome,
};

impl Sim {
    pub(super) fn send(
        &mut self,
        now: Millis,
        number: usize,
        running: &mut Running,
        order: &SendOrder,
    ) {
        let SendOrder { part, ticket, hop, trigger, seen, .. } = *order;
        let vm = running.query.vm;
        let Some(upstream) = self.index(vm, ticket.upstream) else { return };
        let region = upstream % REGIONS;
        let delay = self.pool.delay(running.query.region, region);
        running.sends += 1;
        self.tally.send(&running.query, trigger, region);
        let host = (hop == Hop::Peer).then(|| self.host(now + delay, upstream, order));
        let (at, outcome, result) = match host {
            Some(None) => (now + delay, SendOutcome::PeerRefused, SendResult::PeerRefused),
            _ => {
                let outcome = self.outcome(now + delay, upstream, (number, part), running);
                self.send_result(now + delay, outcome, running, (part, upstream))
            }
        };
        let hosted = host.flatten();
        let (from, print) = (hosted.map_or(vm, |(vm, _)| vm), running.query.fingerprint());
        // A new connection shows that the upstream is still there and only its reply was lost.
        let reconnects = outcome == SendOutcome::Broken && self.policy.quarantine;
        let reconnect_delay = self.pool.delay(self.vms[from].region, region).mul_f64(2.0);
        let at = if reconnects { at + reconnect_delay } else { at };
        let load = reported_load(&result);
        let hosted = hosted
            .map(|(vm, ticket)| self.schedule(at, Event::Hosted { vm, ticket, outcome, load }));
        let ended = self.schedule(
            at + delay,
            Event::Ended { vm, query: number, part, ticket, outcome, result },
        );
        let arrives = now + delay;
        self.record_in_flight(
            upstream,
            InFlight { ended, hosted, arrives, from, print, rounds: seen },
        );
    }

    /// How a part of a query ends at its upstream.
    fn outcome(
        &mut self,
        at: Millis,
        upstream: usize,
        (number, part): (usize, usize),
        running: &Running,
    ) -> Outcome {
        let Running { query, sends, .. } = running;
        if !query.deadly {
            let draw = query.draw(part, *sends, upstream);
            return self.pool.upstreams[upstream].arrive(at, query.work[part], draw);
        }
        let (generation, content) = (self.pool.upstreams[upstream].generation(), query.content);
        let outcome = self.pool.upstreams[upstream].arrive_deadly(at);
        if let Outcome::Ends(end) = outcome {
            self.schedule(end, Event::End { upstream, generation, content });
        }
        if matches!(outcome, Outcome::Ends(_) | Outcome::Shed) {
            self.tally.record_deadly_send(at, content, number);
        }
        outcome
    }

    /// A VM of the upstream's region hosts a send for a peer, unless it suspects the upstream.
    fn host(&mut self, at: Millis, upstream: usize, order: &SendOrder) -> Option<(usize, Ticket)> {
        let region = upstream % REGIONS;
        let near: Vec<usize> =
            (0..self.size.vms).filter(|v| self.vms[*v].region == region).collect();
        let host = near[self.rng.random_range(0..near.len())];
        let generation = self.pool.upstreams[upstream].generation();
        let id = termination::name(upstream, generation);
        let request = hosting::Request {
            upstream: &id,
            started: 0,
            fallback: order.fallback,
            lent: order.lent,
            route: None,
        };
        let ticket = self.vms[host].core.host(at, request).ok()?;
        Some((host, ticket))
    }

    /// When a send ends at its upstream, and how.
    pub(super) fn send_result(
        &self,
        at: Millis,
        outcome: Outcome,
        running: &Running,
        (part, upstream): (usize, usize),
    ) -> (Millis, SendOutcome, SendResult) {
        let deadline = running.plan.deadline().max(at);
        match outcome {
            Outcome::Done(end) if end <= deadline => {
                let signature =
                    HeaderValue::from_str(&format!("{part}.{}", running.query.seed)).ok();
                let (status, headers, body) = (StatusCode::OK, HeaderMap::new(), Bytes::new());
                let draw = running.query.draw(part, running.sends, upstream + LOAD_DRAW_OFFSET);
                let load = Some(self.pool.upstreams[upstream].load(end, draw));
                let response = Response { status, headers, signature, load, body };
                (end, SendOutcome::Reply, SendResult::Answered(Box::new(response)))
            }
            Outcome::ReplyLost(end) if end <= deadline => {
                (end, SendOutcome::Broken, SendResult::Broken)
            }
            Outcome::Shed => (at, SendOutcome::Shed, SendResult::Declined),
            Outcome::Refused => (at, SendOutcome::Unreachable, SendResult::NotConnected),
            // The event of the upstream's end breaks these requests earlier.
            Outcome::Ends(_) | Outcome::Done(_) | Outcome::ReplyLost(_) | Outcome::Unanswered => {
                (deadline, SendOutcome::TimedOut, SendResult::TimedOut)
            }
        }
    }

    pub(super) fn record_load(
        &mut self,
        now: Millis,
        vm: usize,
        ticket: Ticket,
        load: Option<Load>,
    ) {
        if let Some(load) = load {
            self.vms[vm].core.fleet.record_load(now, ticket.upstream, load);
        }
    }

    /// Records the end of a send, whether or not its query still waits.
    pub(super) fn record_end(
        &mut self,
        now: Millis,
        vm: usize,
        ticket: Ticket,
        outcome: SendOutcome,
    ) {
        self.vms[vm].core.fleet.record_outcome(now, ticket, outcome);
        if outcome == SendOutcome::Reply {
            self.report_to_peers(now, vm, &[ticket.upstream]);
        }
    }
}
