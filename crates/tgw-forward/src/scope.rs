//! Where a request may be sent.

use crate::{
    Core, Fleet, Upstream,
    fleet::{Key, Ticket},
};
use tgw_clock::Millis;
use tgw_route::{Residency, Route};

/// The regions in which a request may be served.
///
/// Homes may change while a request is under way, and the newer word may be here before the request or after it: what
/// its route said when it arrived binds, and what the configuration in force says binds too.
#[derive(Copy, Clone, Debug, Default)]
pub struct Scope<'a> {
    arrived: Option<&'a Residency>,
    now: Option<&'a Residency>,
}

impl Scope<'_> {
    /// Whether the request may be sent into a region; `None` where the region is not known.
    pub fn admits(&self, region: Option<&str>) -> bool {
        [self.arrived, self.now].into_iter().flatten().all(|residency| residency.admits(region))
    }
}

impl Core {
    /// Where requests of a route may be sent, the route as it was when they arrived.
    pub fn scope<'a>(&'a self, route: &'a Route) -> Scope<'a> {
        Scope { arrived: Some(&route.residency), now: self.residency(&route.name) }
    }

    /// Whether a request may be sent to an upstream now; `route` is as it was when the request arrived, `None` where
    /// this VM has none for it.
    pub fn permits(&self, route: Option<&Route>, upstream: Key) -> bool {
        let scope = route.map(|route| self.scope(route)).unwrap_or_default();
        self.fleet.takes(upstream, scope)
    }

    /// A send's request is about to be written; false if it may not be, or not now.
    pub fn clear(&mut self, now: Millis, route: Option<&Route>, ticket: Ticket) -> bool {
        self.permits(route, ticket.upstream) && self.fleet.write(now, ticket)
    }
}

/// All ways by which a request leaves a VM ask one of these.
impl Fleet {
    /// Whether an upstream is there, takes new work, and lies where the request may be sent.
    pub fn takes(&self, key: Key, scope: Scope<'_>) -> bool {
        self.get(key).is_some_and(|upstream| self.is_open(upstream, scope))
    }

    /// Whether a service has such an upstream.
    pub fn serves(&self, service: &str, scope: Scope<'_>) -> bool {
        self.of(service).iter().any(|key| self.takes(*key, scope))
    }

    pub(crate) fn is_open(&self, upstream: &Upstream, scope: Scope<'_>) -> bool {
        let domain = &*upstream.entry.domain;
        let taken = !upstream.entry.draining && !self.is_evacuated(domain);
        taken && scope.admits(self.place.region(domain))
    }
}
