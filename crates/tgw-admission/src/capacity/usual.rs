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

/// What the requests of each route take at an upstream without waiting, by the round trip to it: the
/// assumed round trip of an upstream may differ from the real one.
#[derive(Debug, Default)]
pub struct UsualWork {
    routes: HashMap<Rc<str>, Vec<(f64, f64)>>,
}

impl UsualWork {
    /// Drops the routes that `keep` does not hold for.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Takes in a reply; returns how long it waited at its upstream, in ms. While upstreams are
    /// `overloaded`, replies that are slower than usual do not raise the estimate.
    pub fn record(
        &mut self,
        route: &str,
        latency_ms: f64,
        round_trip_ms: f64,
        overloaded: bool,
    ) -> f64 {
        let round_trip = if round_trip_ms.is_finite() { round_trip_ms.max(0.0) } else { 0.0 };
        let work = (latency_ms.clamp(0.0, MAX_LATENCY_MS) - round_trip).max(0.0);
        if !self.routes.contains_key(route) {
            self.routes.insert(route.into(), Vec::new());
        }
        let Some(classes) = self.routes.get_mut(route) else { return 0.0 };
        let known = classes.iter().position(|(class, _)| *class == round_trip);
        let index = known.unwrap_or_else(|| {
            let similar = classes.iter().map(|(_, usual)| *usual).reduce(f64::min);
            classes.push((round_trip, similar.unwrap_or(work)));
            classes.len() - 1
        });
        let Some((_, usual)) = classes.get_mut(index) else { return 0.0 };
        let wait = work - *usual;
        if wait <= 0.0 {
            *usual += if overloaded { SLOWER_WEIGHT } else { QUICKER_WEIGHT } * wait;
        } else if !overloaded {
            let bound = *usual * OUTLIER_FACTOR + OUTLIER_MARGIN_MS;
            *usual += SLOWER_WEIGHT * (work.min(bound) - *usual);
        }
        wait.max(0.0)
    }

    /// The usual latency of a route in ms at upstreams with that round trip.
    pub fn of(&self, route: &str, round_trip_ms: f64) -> Option<f64> {
        let classes = self.routes.get(route)?;
        let known = classes.iter().find(|(class, _)| *class == round_trip_ms);
        known.or(classes.first()).map(|(_, usual)| usual + round_trip_ms.max(0.0))
    }
}
