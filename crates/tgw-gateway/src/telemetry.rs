//! Log lines and counts about requests and sends: what was decided, on which inputs, and how old
//! the inputs were.

/// Rejected queries and the level of overload.
mod overload;
/// Requests and their answers.
mod requests;

use crate::{
    broken::BrokenSend,
    exchange::{ActiveSend, OutgoingRequest},
    log_limiter::Category,
    shared::Shared,
};
use requests::identity;
use tgw_clock::Millis;
use tgw_forward::{
    Plan,
    catalog::{self, Change},
    plan::{SendOrder, Trigger, Withheld},
    transition::{Departure, Kind, Transition},
    upstream::{Distance, Entry, SendOutcome},
};

pub(crate) use overload::{overload_changed, query_rejected};
pub(crate) use requests::{
    query_gathered, request_abandoned, request_answered, request_gathered, request_not_admitted,
    request_unauthenticated, request_unconfigured, request_unread, request_unrouted,
};

/// Counts an ordered send. Logs it with the inputs of the decision, unless it is the first send.
pub(crate) fn send_started(
    shared: &Shared,
    now: Millis,
    request: &OutgoingRequest,
    plan: &Plan,
    order: &SendOrder,
) {
    let core = shared.core.borrow();
    let upstream = core.fleet.get(order.ticket.upstream);
    let distance = upstream.map_or(Distance::OtherRegion, |u| u.distance);
    shared.metrics.count_send(order.trigger, distance, order.hop);
    if order.trigger == Trigger::First || !shared.log_limiter.allows(now, Category::Detail) {
        return;
    }
    tracing::info!(
        request = identity(request),
        part = order.part,
        service = plan.service(order.part).map(|s| &**s),
        upstream = upstream.map(|u| &*u.entry.id),
        why = %order.trigger,
        after = order.previous.and_then(|k| core.fleet.get(k)).map(|u| &*u.entry.id),
        cost_ms = upstream.map_or(0.0, |u| u.cost(now, order.hop).round()),
        hop = %order.hop,
        age_ms = plan.age(now).as_whole_ms(),
        "send"
    );
}

/// Logs a send that was wanted but withheld.
pub(crate) fn send_withheld(
    shared: &Shared,
    now: Millis,
    request: &OutgoingRequest,
    plan: &Plan,
    withheld: Withheld,
) {
    if !shared.log_limiter.allows(now, Category::Detail) {
        return;
    }
    tracing::info!(
        request = identity(request),
        part = withheld.part,
        service = plan.service(withheld.part).map(|s| &**s),
        why = %withheld.trigger,
        reason = %withheld.reason,
        vms = shared.core.borrow().vms().all,
        age_ms = plan.age(now).as_whole_ms(),
        "send withheld"
    );
}

/// Logs a send that ended without a good reply, or after its upstream had left.
pub(crate) fn send_ended(
    shared: &Shared,
    request: &OutgoingRequest,
    send: &ActiveSend,
    outcome: SendOutcome,
) {
    let now = shared.now();
    let core = shared.core.borrow();
    let upstream = core.fleet.get(send.ticket.upstream);
    let is_routine = matches!(outcome, SendOutcome::Reply | SendOutcome::Abandoned);
    let has_left = upstream.is_none_or(|u| u.entry.draining);
    if (is_routine && !has_left) || !shared.log_limiter.allows(now, Category::Detail) {
        return;
    }
    let request = identity(request);
    let written_ms = send.written_at.get().map(|at| (now - at).as_whole_ms());
    if is_routine {
        tracing::info!(
            request,
            upstream = &*send.entry.id,
            result = outcome.text(),
            written_ms,
            "send ended after its upstream had left"
        );
        return;
    }
    tracing::info!(
        request,
        upstream = &*send.entry.id,
        service = &*send.entry.service,
        addr = %send.entry.addr,
        known = upstream.is_some(),
        result = outcome.text(),
        hop = %send.hop,
        running = upstream.map_or(0, |u| u.in_flight().saturating_sub(1)),
        expected_ms = upstream.map_or(0.0, |u| u.expected_latency_ms(now).round()),
        took_ms = (now - send.started_at).as_whole_ms(),
        written_ms,
        "send ended"
    );
}

/// Counts and logs an upstream that ended under the given sends.
pub(crate) fn upstream_ended(shared: &Shared, entry: &Entry, sends: &[BrokenSend]) {
    shared.metrics.count_upstream_end(&entry.service);
    if !shared.log_limiter.allows(shared.now(), Category::Crash) {
        return;
    }
    let list =
        |what: fn(&BrokenSend) -> String| sends.iter().map(what).collect::<Vec<_>>().join(" ");
    tracing::info!(
        upstream = &*entry.id,
        service = &*entry.service,
        addr = %entry.addr,
        requests = list(|b| b.request.to_str().unwrap_or_default().to_owned()),
        prints = list(|b| b.fingerprint.to_string()),
        took_ms = sends.first().map(|b| b.took.as_whole_ms()),
        "upstream ended under a send"
    );
}

/// Logs the upstreams that went out of service or came back, or are retained although their entries
/// are missing.
pub(crate) fn upstream_changes(shared: &Shared) {
    transitions(shared);
    let changes = shared.world.borrow_mut().upstreams.take_changes();
    let now = shared.now();
    for Change { id, transition, retention } in changes {
        let kept_ms = (now - retention.since).as_whole_ms();
        match transition {
            catalog::Transition::Retained => tracing::info!(
                upstream = &*id,
                why = "its entry is missing, and the store was away",
                left_ms = (retention.until - now).as_whole_ms(),
                "upstream doubted"
            ),
            catalog::Transition::Back
            | catalog::Transition::GivenUp
            | catalog::Transition::Removed
            | catalog::Transition::Unreadable => tracing::info!(
                upstream = &*id,
                result = %transition,
                kept_ms,
                late_ms = (now - retention.until).as_whole_ms(),
                "upstream doubted no more"
            ),
        }
    }
}

/// A request that reaches an upstream late was either written late, by a VM that did not know, or
/// written in time and read late: these lines tell which.
fn transitions(shared: &Shared) {
    let transitions = shared.core.borrow_mut().fleet.take_transitions();
    let now = shared.now();
    let age_ms = |at: Option<Millis>| at.map(|at| (now - at).as_whole_ms());
    for Transition { id, kind } in transitions {
        match kind {
            Kind::Left(Departure { last_write, oldest_send, in_flight }) => tracing::info!(
                upstream = &*id,
                last_write_ms = age_ms(last_write),
                in_flight,
                oldest_ms = age_ms(oldest_send),
                "upstream out of service"
            ),
            Kind::Returned => tracing::warn!(upstream = &*id, "upstream back in service"),
        }
    }
}

/// Logs a send to an upstream that is kept although its entry is missing.
pub(crate) fn send_to_retained(shared: &Shared, send: &ActiveSend) {
    let Some(retention) = shared.world.borrow().upstreams.retention(&send.entry.id) else { return };
    let now = shared.now();
    if shared.log_limiter.allows(now, Category::Crash) {
        tracing::info!(
            request = identity(&send.request),
            upstream = &*send.entry.id,
            service = &*send.entry.service,
            known_ms = (now - retention.since).as_whole_ms(),
            over_ms = (now - retention.until).as_whole_ms(),
            "send to a doubted upstream"
        );
    }
}
