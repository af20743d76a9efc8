//! Log lines and counts about overload: rejected queries, and changes of this VM's level.

use super::requests::identity;
use crate::{
    admission_progress::Rejected, exchange::OutgoingRequest, log_limiter::Category, shared::Shared,
};
use tgw_clock::Millis;
use tgw_forward::plan;

/// Counts and logs a query that was rejected before anything was sent.
pub(crate) fn query_rejected(
    shared: &Shared,
    request: &OutgoingRequest,
    options: &plan::Options,
    rejected: Rejected,
) {
    let Rejected { reason, retry_after, waited } = rejected;
    shared.metrics.count_query_rejected(options.priority, reason, waited);
    if !shared.log_limiter.allows(shared.now(), Category::Rejection) {
        return;
    }
    tracing::info!(
        request = identity(request),
        route = &*options.route.name,
        priority = options.priority,
        tenant = options.tenant.as_deref(),
        %reason,
        retry_ms = retry_after.map(Millis::as_whole_ms),
        waited_ms = waited.unwrap_or_default().as_whole_ms(),
        overloaded = shared.overload.get().is_overloaded,
        "query rejected"
    );
}

/// Logs that this VM has become overloaded, or is no longer; `lasted` is the time since the previous change.
pub(crate) fn overload_changed(shared: &Shared, now: Millis, is_overloaded: bool, lasted: Millis) {
    if shared.log_limiter.allows(now, Category::Level) {
        tracing::info!(
            overloaded = is_overloaded,
            waiting = shared.waiting.len(),
            lasted_ms = lasted.as_whole_ms(),
            "level of overload changed"
        );
    }
}
