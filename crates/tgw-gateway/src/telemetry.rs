//! Log lines and counts about requests and sends: what was decided, on which inputs, and how old
//! the inputs were.

use crate::{
    admission::{Refusal, RefusalKind},
    authentication,
    broken::BrokenSend,
    drive::Run,
    exchange::{ActiveSend, OutgoingRequest},
    log_limiter::Category,
    shared::Shared,
};
use http::HeaderValue;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_forward::{
    Plan,
    catalog::{self, Change},
    plan::{self, Answer, SendOrder, Trigger, Withheld},
    transition::{Departure, Kind, Transition},
    upstream::{Distance, Entry, SendOutcome},
};
use tgw_route::{Route, Target};

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

/// Counts and logs the answer to a request.
pub(crate) fn request_answered(shared: &Shared, run: &Run, route: &Route, version: u64) {
    let now = shared.now();
    let Run { request, plan, answer } = run;
    let (outcome, cause, complete) = describe(answer);
    shared.metrics.count_request(&route.name, outcome, cause, plan.age(now));
    let late = plan.age(now) > route.target_latency;
    let category = if complete && !late { Category::Routine } else { Category::Outcome };
    if !shared.log_limiter.allows(now, category) {
        return;
    }
    let (sends, got, parts) = plan.progress();
    let since = shared.config.borrow().since;
    tracing::info!(
        request = identity(request),
        print = %request.fingerprint,
        tenant = request.principal.as_ref().map(|p| &*p.tenant),
        route = &*route.name,
        safety = %route.safety,
        config = version,
        config_age_ms = (now - since).as_whole_ms(),
        outcome,
        cause,
        sends,
        got,
        parts,
        late,
        age_ms = plan.age(now).as_whole_ms(),
        "request"
    );
}

/// The outcome of a request, its cause, and whether nothing is missing.
fn describe(answer: &Answer) -> (&'static str, &'static str, bool) {
    match answer {
        Answer::Forward(reply) => ("forwarded", "", reply.is_signed_success()),
        Answer::Merged { missing, .. } => ("merged", "", *missing == 0),
        Answer::Refused { cause, .. } => ("refused", cause.text(), false),
        Answer::Failed(cause) => ("failed", cause.text(), false),
        Answer::TimedOut => ("timed out", "", false),
    }
}

/// Counts and logs the answer to a request that was handed over to a gatherer.
pub(crate) fn request_gathered(
    shared: &Shared,
    request: &OutgoingRequest,
    options: &plan::Options,
    gatherer: SocketAddr,
    age: Millis,
    answer: &Answer,
) {
    let (outcome, cause, complete) = describe(answer);
    let route = &options.route;
    let (parts, missing) = match (&route.target, answer) {
        (Target::Shards(shards), Answer::Merged { missing, .. }) => {
            (shards.services.len(), *missing)
        }
        (Target::Shards(shards), _) => (shards.services.len(), shards.services.len()),
        _ => (1, 1),
    };
    let version = shared.config.borrow().version;
    shared.metrics.count_request(&route.name, outcome, cause, age);
    shared.metrics.count_handed_over(outcome);
    let late = age > route.target_latency;
    let category = if complete && !late { Category::Routine } else { Category::Outcome };
    if !shared.log_limiter.allows(shared.now(), category) {
        return;
    }
    tracing::info!(
        request = identity(request),
        print = %request.fingerprint,
        tenant = request.principal.as_ref().map(|p| &*p.tenant),
        route = &*route.name,
        %gatherer,
        config = version,
        outcome,
        cause,
        got = parts.saturating_sub(missing),
        parts,
        late,
        age_ms = age.as_whole_ms(),
        "request"
    );
}

/// Logs the answer to a query that this VM made for another one, which counts the request.
pub(crate) fn query_gathered(shared: &Shared, run: &Run, route: &Route, from: SocketAddr) {
    let now = shared.now();
    let Run { request, plan, answer } = run;
    let (outcome, cause, complete) = describe(answer);
    let category = if complete { Category::Routine } else { Category::Outcome };
    if !shared.log_limiter.allows(now, category) {
        return;
    }
    let (sends, got, parts) = plan.progress();
    tracing::info!(
        request = identity(request),
        print = %request.fingerprint,
        route = &*route.name,
        %from,
        outcome,
        cause,
        sends,
        got,
        parts,
        age_ms = plan.age(now).as_whole_ms(),
        "query gathered"
    );
}

/// Counts and logs a request that matches no route.
pub(crate) fn request_unrouted(
    shared: &Shared,
    now: Millis,
    request: Option<&str>,
    host: Option<&str>,
    path: &str,
    version: u64,
) {
    shared.metrics.count_request("", "refused", "no route", Millis::ZERO);
    if shared.log_limiter.allows(now, Category::Outcome) {
        let since = shared.config.borrow().since;
        tracing::info!(
            request,
            host,
            path,
            config = version,
            config_age_ms = (now - since).as_whole_ms(),
            outcome = "refused",
            cause = "no route",
            "request"
        );
    }
}

/// Counts and logs a request that could not be read.
pub(crate) fn request_unread(
    shared: &Shared,
    now: Millis,
    request: Option<&str>,
    cause: &'static str,
) {
    shared.metrics.count_request("", "refused", cause, Millis::ZERO);
    if shared.log_limiter.allows(now, Category::Outcome) {
        tracing::info!(
            request,
            outcome = "refused",
            cause,
            free = shared.memory.free_bytes(),
            "request"
        );
    }
}

/// Counts and logs a request that arrived before any configuration was known.
pub(crate) fn request_unconfigured(shared: &Shared, now: Millis, request: Option<&str>) {
    shared.metrics.count_request("", "refused", "no configuration", Millis::ZERO);
    if shared.log_limiter.allows(now, Category::Outcome) {
        let blind = shared.reachability.borrow().is_unreachable();
        tracing::info!(request, outcome = "refused", cause = "no configuration", blind, "request");
    }
}

/// Counts and logs a request that is refused for its API key, which is not logged.
pub(crate) fn request_unauthenticated(
    shared: &Shared,
    now: Millis,
    request: Option<&str>,
    error: authentication::Error,
    version: u64,
) {
    let cause = match error {
        authentication::Error::UnknownKey => "unknown API key",
        authentication::Error::Unverified => "API key cannot be verified",
    };
    shared.metrics.count_request("", "refused", cause, Millis::ZERO);
    if shared.log_limiter.allows(now, Category::Outcome) {
        let since = shared.config.borrow().since;
        tracing::info!(
            request,
            config = version,
            config_age_ms = (now - since).as_whole_ms(),
            outcome = "refused",
            cause,
            "request"
        );
    }
}

/// Counts and logs a request that is not admitted within its tenant's limit.
pub(crate) fn request_not_admitted(
    shared: &Shared,
    now: Millis,
    request: &HeaderValue,
    tenant: &str,
    refusal: Refusal,
) {
    let Refusal { kind, retry_after, by } = refusal;
    let cause = match kind {
        RefusalKind::OverLimit => "over its tenant's limit",
        RefusalKind::Undecided => "tenant's limit undecided",
    };
    shared.metrics.count_request("", "refused", cause, Millis::ZERO);
    if shared.log_limiter.allows(now, Category::Outcome) {
        tracing::info!(
            request = request.to_str().unwrap_or_default(),
            tenant,
            outcome = "refused",
            cause,
            counted_by = by.map(tracing::field::display),
            retry_ms = retry_after.as_whole_ms(),
            "request"
        );
    }
}

/// Counts and logs a request whose caller left before the answer, which cancels its sends.
pub(crate) fn request_abandoned(shared: &Shared, request: &OutgoingRequest, sends: usize) {
    let now = shared.now();
    shared.metrics.count_request("", "abandoned", "caller left", Millis::ZERO);
    if shared.log_limiter.allows(now, Category::Outcome) {
        let request = identity(request);
        tracing::info!(request, outcome = "abandoned", cause = "caller left", sends, "request");
    }
}

fn identity(request: &OutgoingRequest) -> &str {
    request.identity.to_str().unwrap_or_default()
}
