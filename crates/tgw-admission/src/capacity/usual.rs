use crate::report::{MAX_ROUTES, WORK_UNIT};
use std::{collections::HashMap, rc::Rc};

/// Weight of a reply that was quicker than usual, and of one that was slower: the estimate settles
/// below the median, as it does not include waiting.
const QUICKER_WEIGHT: f64 = 0.1;
const SLOWER_WEIGHT: f64 = 0.02;
/// A slower reply counts as at most this many times the usual work, plus `OUTLIER_MARGIN_MS`.
const OUTLIER_FACTOR: f64 = 1.5;
const OUTLIER_MARGIN_MS: f64 = 1.0;
/// Upper bound in ms on the latency of a reply that is taken in: above any timeout of a caller.
const MAX_LATENCY_MS: f64 = 600_000.0;
/// Replies of a route from which its usual work is known, and up to which that of other VMs counts:
/// the first replies of a VM that starts under load have waited.
const MIN_REPLIES: u32 = 12;
const MAX_THIN_REPLIES: u32 = 60;
/// An estimate of another VM that is lower by this factor replaces the own one.
const MAX_DIFFERENCE: f64 = 1.5;

/// The usual work of one route, by round trip.
#[derive(Debug, Default)]
struct Route {
    replies: u32,
    classes: Vec<(f64, f64)>,
}

impl Route {
    fn least(&self) -> Option<f64> {
        self.classes.iter().map(|(_, usual)| *usual).reduce(f64::min)
    }

    /// Takes in the usual work in ms at another VM.
    fn merge(&mut self, other: f64) {
        for (_, usual) in &mut self.classes {
            *usual = if *usual > other * MAX_DIFFERENCE { other } else { (*usual + other) * 0.5 };
        }
        if self.classes.is_empty() {
            self.classes.push((0.0, other));
        }
        self.replies = self.replies.max(MIN_REPLIES);
    }
}

/// What the requests of each route take at an upstream without waiting, by the round trip to it: the
/// assumed round trip of an upstream may differ from the real one.
#[derive(Debug, Default)]
pub struct UsualWork {
    routes: HashMap<Rc<str>, Route>,
}

impl UsualWork {
    /// Takes in a reply; returns how long it waited at its upstream, in ms, if the usual work is known.
    /// While upstreams are `overloaded`, replies that are slower than usual do not raise the estimate.
    pub fn record(
        &mut self,
        route: &str,
        latency_ms: f64,
        round_trip_ms: f64,
        overloaded: bool,
    ) -> Option<f64> {
        let round_trip = if round_trip_ms.is_finite() { round_trip_ms.max(0.0) } else { 0.0 };
        let work = (latency_ms.clamp(0.0, MAX_LATENCY_MS) - round_trip).max(0.0);
        if !self.routes.contains_key(route) {
            self.routes.insert(route.into(), Route::default());
        }
        let route = self.routes.get_mut(route)?;
        let known = route.classes.iter().position(|(class, _)| *class == round_trip);
        let index = known.unwrap_or_else(|| {
            route.classes.push((round_trip, route.least().unwrap_or(work)));
            route.classes.len() - 1
        });
        route.replies = route.replies.saturating_add(1);
        let (_, usual) = route.classes.get_mut(index)?;
        let wait = work - *usual;
        if wait <= 0.0 {
            *usual += if overloaded { SLOWER_WEIGHT } else { QUICKER_WEIGHT } * wait;
        } else if !overloaded {
            let bound = *usual * OUTLIER_FACTOR + OUTLIER_MARGIN_MS;
            *usual += SLOWER_WEIGHT * (work.min(bound) - *usual);
        }
        (route.replies >= MIN_REPLIES).then_some(wait.max(0.0))
    }

    /// The usual latency of a route in ms at upstreams with that round trip.
    pub fn of(&self, route: &str, round_trip_ms: f64) -> Option<f64> {
        let route = self.routes.get(route).filter(|route| route.replies >= MIN_REPLIES)?;
        let known = route.classes.iter().find(|(class, _)| *class == round_trip_ms);
        known.or(route.classes.first()).map(|(_, usual)| usual + round_trip_ms.max(0.0))
    }

    /// The usual work of routes in 1/10 ms where it is known, by the hash of their names.
    pub(crate) fn report(&self) -> Vec<(u32, u16)> {
        let known = self.routes.iter().filter(|(_, route)| route.replies >= MIN_REPLIES);
        let work = known
            .filter_map(|(name, route)| Some((hash(name), (route.least()? * WORK_UNIT) as u16)));
        let mut work: Vec<_> = work.collect();
        work.sort_unstable();
        work.truncate(MAX_ROUTES);
        work
    }

    /// Takes in the usual work at another VM of routes of which this one has few replies.
    pub(crate) fn apply(&mut self, work: &[(u32, u16)]) {
        for (name, route) in &mut self.routes {
            let own = hash(name);
            if route.replies < MAX_THIN_REPLIES
                && let Some((_, other)) = work.iter().find(|(other, _)| *other == own)
            {
                route.merge(f64::from(*other) / WORK_UNIT);
            }
        }
    }

    /// Creates the entry of a route.
    pub(crate) fn add(&mut self, route: &Rc<str>) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), Route::default());
        }
    }
}

/// FNV-1a.
fn hash(name: &str) -> u32 {
    let mix = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    name.as_bytes().iter().fold(0x811c_9dc5, mix)
}
