//! Regions to which a request may be sent.

use crate::{
    Core, Fleet, Upstream,
    fleet::{Key, Ticket},
};
use tgw_clock::Millis;
use tgw_route::{Residency, Route};

/// The regions in which a request may be served.
///
/// Homes may change while a request is in flight, and the update may arrive here before or after
/// the request, so that both the route as of the request's arrival and the current configuration
/// are binding.
#[derive(Copy, Clone, Debug, Default)]
pub struct Scope<'a> {
    at_arrival: Option<&'a Residency>,
    current: Option<&'a Residency>,
}

impl Scope<'_> {
    /// Whether the request may be sent to a region; `None` where the region is unknown.
    pub fn admits(&self, region: Option<&str>) -> bool {
        [self.at_arrival, self.current]
            .into_iter()
            .flatten()
            .all(|residency| residency.allows(region))
    }
}

impl Core {
    /// The regions for requests of a route, given the route as of their arrival.
    pub fn scope<'a>(&'a self, route: &'a Route) -> Scope<'a> {
        Scope { at_arrival: Some(&route.residency), current: self.residency(&route.name) }
    }

    /// Whether a request may be sent to an upstream now; `route` is the route as of the request's
    /// arrival, `None` if this VM has none for it.
    pub fn permits(&self, route: Option<&Route>, upstream: Key) -> bool {
        let scope = route.map(|route| self.scope(route)).unwrap_or_default();
        self.fleet.can_send_to(upstream, scope)
    }

    /// Authorizes the write of a send's request; false if it may not be sent at all, or not now.
    pub fn authorize_write(&mut self, now: Millis, route: Option<&Route>, ticket: Ticket) -> bool {
        self.permits(route, ticket.upstream) && self.fleet.authorize_write(now, ticket)
    }
}

/// Eligibility of upstreams; every path by which a request leaves a VM checks it here.
impl Fleet {
    /// Whether an upstream is known, accepts new requests, and is in a region where the request may
    /// be served.
    pub fn can_send_to(&self, key: Key, scope: Scope<'_>) -> bool {
        self.get(key).is_some_and(|upstream| self.is_eligible(upstream, scope))
    }

    /// Whether a service has an eligible upstream.
    pub fn has_eligible(&self, service: &str, scope: Scope<'_>) -> bool {
        self.upstreams_of(service).iter().any(|key| self.can_send_to(*key, scope))
    }

    pub(crate) fn is_eligible(&self, upstream: &Upstream, scope: Scope<'_>) -> bool {
        let domain = &*upstream.entry.domain;
        let accepting = !upstream.entry.draining && !self.is_evacuated(domain);
        accepting && scope.admits(self.place.region(domain))
    }
}
