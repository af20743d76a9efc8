//! Log lines and counts about requests: how each was answered, or why it was not taken.

use crate::{
    admission::{Refusal, RefusalKind},
    authentication,
    drive::Run,
    exchange::OutgoingRequest,
    log_limiter::Category,
    shared::Shared,
};
use http::HeaderValue;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_forward::plan::{self, Answer, Cause};
use tgw_route::{Route, Target};

/// Counts and logs the answer to a request.
pub(crate) fn request_answered(shared: &Shared, run: &Run, route: &Route, version: u64) {
    let now = shared.now();
    let Run { request, plan, answer, waited } = run;
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
        waited_ms = waited.map(Millis::as_whole_ms),
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
    let Run { request, plan, answer, waited } = run;
    let (outcome, cause, complete) = describe(answer);
    let category = match answer {
        Answer::Refused { cause: Cause::Overload, .. } => Category::Rejection,
        _ if complete => Category::Routine,
        _ => Category::Outcome,
    };
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
        waited_ms = waited.map(Millis::as_whole_ms),
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

pub(super) fn identity(request: &OutgoingRequest) -> &str {
    request.identity.to_str().unwrap_or_default()
}
