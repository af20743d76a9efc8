//! Log lines and counts about requests: what was decided, by which inputs, how old they were.

use crate::{
    exchange::{Outgoing, Sent},
    governor::Rank,
    loss::Break,
    shared::Shared,
};
use tgw_clock::Millis;
use tgw_forward::{
    Plan,
    catalog::{Change, What},
    plan::{Answer, Order, Why, Withheld},
    upstream::{Distance, Entry, Sign},
};
use tgw_route::Route;

/// A send was ordered. First sends are counted; what the other ones were decided by is logged.
pub(crate) fn send(shared: &Shared, now: Millis, request: &Outgoing, plan: &Plan, order: &Order) {
    let core = shared.core.borrow();
    let upstream = core.fleet.get(order.ticket.upstream);
    let distance = upstream.map_or(Distance::Far, |u| u.distance);
    shared.meters.send(order.why, distance, order.hop);
    if order.why == Why::First || !shared.governor.allows(now, Rank::Detail) {
        return;
    }
    tracing::info!(
        request = identity(request),
        part = order.part,
        service = plan.service(order.part).map(|s| &**s),
        upstream = upstream.map(|u| &*u.entry.id),
        why = %order.why,
        after = order.after.and_then(|k| core.fleet.get(k)).map(|u| &*u.entry.id),
        cost_ms = upstream.map_or(0.0, |u| u.cost(now, order.hop).round()),
        hop = %order.hop,
        age_ms = plan.age(now).whole(),
        "send"
    );
}

/// A send was wanted and not made.
pub(crate) fn withheld(
    shared: &Shared,
    now: Millis,
    request: &Outgoing,
    plan: &Plan,
    withheld: Withheld,
) {
    if !shared.governor.allows(now, Rank::Detail) {
        return;
    }
    tracing::info!(
        request = identity(request),
        part = withheld.part,
        service = plan.service(withheld.part).map(|s| &**s),
        why = %withheld.why,
        reason = %withheld.reason,
        vms = shared.core.borrow().vms().all,
        age_ms = plan.age(now).whole(),
        "send withheld"
    );
}

/// A send ended without a good reply.
pub(crate) fn ended(shared: &Shared, request: &Outgoing, sent: &Sent, sign: Sign) {
    let now = shared.now();
    let quiet = matches!(sign, Sign::Reply | Sign::Dropped);
    if quiet || !shared.governor.allows(now, Rank::Detail) {
        return;
    }
    let core = shared.core.borrow();
    let upstream = core.fleet.get(sent.ticket.upstream);
    tracing::info!(
        request = identity(request),
        upstream = &*sent.entry.id,
        service = &*sent.entry.service,
        addr = %sent.entry.addr,
        known = upstream.is_some(),
        result = sign.text(),
        hop = %sent.hop,
        running = upstream.map_or(0, |u| u.running().saturating_sub(1)),
        expected_ms = upstream.map_or(0.0, |u| u.expected(now).round()),
        took_ms = (now - sent.sent).whole(),
        "send ended"
    );
}

/// An upstream ended under the sends that it broke.
pub(crate) fn upstream_ended(shared: &Shared, entry: &Entry, breaks: &[Break]) {
    shared.meters.upstream_ended(&entry.service);
    if !shared.governor.allows(shared.now(), Rank::Loss) {
        return;
    }
    let list = |what: fn(&Break) -> String| breaks.iter().map(what).collect::<Vec<_>>().join(" ");
    tracing::info!(
        upstream = &*entry.id,
        service = &*entry.service,
        addr = %entry.addr,
        requests = list(|b| b.request.to_str().unwrap_or_default().to_owned()),
        prints = list(|b| b.print.to_string()),
        took_ms = breaks.first().map(|b| b.took.whole()),
        "upstream ended under a send"
    );
}

/// What became of upstreams whose entries are missing.
pub(crate) fn doubts(shared: &Shared) {
    let changes = shared.world.borrow_mut().upstreams.take_changes();
    let now = shared.now();
    for Change { id, what, doubt } in changes {
        let kept_ms = (now - doubt.since).whole();
        match what {
            What::Doubted => tracing::info!(
                upstream = &*id,
                why = "its entry is missing, and the store was away",
                left_ms = (doubt.until - now).whole(),
                "upstream doubted"
            ),
            What::Back | What::GivenUp | What::Removed | What::Unreadable => tracing::info!(
                upstream = &*id,
                result = %what,
                kept_ms,
                late_ms = (now - doubt.until).whole(),
                "upstream doubted no more"
            ),
        }
    }
}

/// A send begins to an upstream whose entry is missing.
pub(crate) fn doubtful(shared: &Shared, sent: &Sent) {
    let Some(doubt) = shared.world.borrow().upstreams.doubted(&sent.entry.id) else { return };
    let now = shared.now();
    if shared.governor.allows(now, Rank::Loss) {
        tracing::info!(
            request = identity(&sent.request),
            upstream = &*sent.entry.id,
            service = &*sent.entry.service,
            known_ms = (now - doubt.since).whole(),
            over_ms = (now - doubt.until).whole(),
            "send to a doubted upstream"
        );
    }
}

/// A request was answered.
pub(crate) fn answer(
    shared: &Shared,
    request: &Outgoing,
    route: &Route,
    version: u64,
    plan: &Plan,
    answer: &Answer,
) {
    let now = shared.now();
    let (outcome, cause, plain) = match answer {
        Answer::Forward(reply) => ("forwarded", "", reply.good()),
        Answer::Merged { missing, .. } => ("merged", "", *missing == 0),
        Answer::Refused { cause, .. } => ("refused", cause.text(), false),
        Answer::Failed(cause) => ("failed", cause.text(), false),
        Answer::TimedOut => ("timed out", "", false),
    };
    shared.meters.request(&route.name, outcome, cause, plan.age(now));
    let late = plan.age(now) > route.aim;
    let rank = if plain && !late { Rank::Ordinary } else { Rank::Outcome };
    if !shared.governor.allows(now, rank) {
        return;
    }
    let (sends, got, parts) = plan.progress();
    let since = shared.config.borrow().since;
    tracing::info!(
        request = identity(request),
        print = %request.print,
        route = &*route.name,
        safety = %route.safety,
        config = version,
        config_age_ms = (now - since).whole(),
        outcome,
        cause,
        sends,
        got,
        parts,
        late,
        age_ms = plan.age(now).whole(),
        "request"
    );
}

/// No route takes a request.
pub(crate) fn unrouted(
    shared: &Shared,
    now: Millis,
    request: Option<&str>,
    host: Option<&str>,
    path: &str,
    version: u64,
) {
    shared.meters.request("", "refused", "no route", Millis::ZERO);
    if shared.governor.allows(now, Rank::Outcome) {
        let since = shared.config.borrow().since;
        tracing::info!(
            request,
            host,
            path,
            config = version,
            config_age_ms = (now - since).whole(),
            outcome = "refused",
            cause = "no route",
            "request"
        );
    }
}

/// A request could not be taken in.
pub(crate) fn unread(shared: &Shared, now: Millis, request: Option<&str>, cause: &'static str) {
    shared.meters.request("", "refused", cause, Millis::ZERO);
    if shared.governor.allows(now, Rank::Outcome) {
        tracing::info!(request, outcome = "refused", cause, free = shared.room.free(), "request");
    }
}

/// A request came before any configuration.
pub(crate) fn unconfigured(shared: &Shared, now: Millis, request: Option<&str>) {
    shared.meters.request("", "refused", "no configuration", Millis::ZERO);
    if shared.governor.allows(now, Rank::Outcome) {
        let blind = shared.sight.borrow().is_blind();
        tracing::info!(request, outcome = "refused", cause = "no configuration", blind, "request");
    }
}

/// A caller left before its answer; its sends are ended.
pub(crate) fn abandoned(shared: &Shared, request: &Outgoing, sends: usize) {
    let now = shared.now();
    shared.meters.request("", "abandoned", "caller left", Millis::ZERO);
    if shared.governor.allows(now, Rank::Outcome) {
        let request = identity(request);
        tracing::info!(request, outcome = "abandoned", cause = "caller left", sends, "request");
    }
}

fn identity(request: &Outgoing) -> &str {
    request.identity.to_str().unwrap_or_default()
}
