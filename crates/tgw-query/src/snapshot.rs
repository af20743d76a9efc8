//! Choice of the snapshot that a query is answered from.

use crate::path::Paths;
use tgw_table::row::Choice;
use tgw_topology::{Catalog, Service, Shard, Snapshot};

/// A snapshot and how much of it can be served.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Shards of its layout.
    pub shards: usize,
    /// Shards that some group is believed to hold.
    pub servable: usize,
}

/// Chooses among the service's snapshots, newest first; `except` were given up before. `None` if
/// none has a shard that could be served.
pub fn choose(
    catalog: &Catalog,
    paths: &Paths,
    service: Service,
    choice: Choice,
    except: &[Snapshot],
) -> Option<Offer> {
    let entry = catalog.services.get(&service)?;
    let offers = entry
        .snapshots
        .iter()
        .filter(|s| !except.contains(s))
        .filter_map(|s| offer(catalog, paths, service, *s))
        .filter(|o| o.servable > 0);
    let mut best: Option<Offer> = None;
    for offer in offers {
        if choice == Choice::Newest || offer.servable == offer.shards {
            // Nothing older can be better; with `Covered` an earlier, newer one may tie.
            return Some(best.filter(|b| part(b) >= part(&offer)).unwrap_or(offer));
        }
        if best.is_none_or(|b| part(&offer) > part(&b)) {
            best = Some(offer);
        }
    }
    best
}

fn part(offer: &Offer) -> f64 {
    offer.servable as f64 / offer.shards.max(1) as f64
}

fn offer(catalog: &Catalog, paths: &Paths, service: Service, snapshot: Snapshot) -> Option<Offer> {
    let partition = catalog.partition(service, snapshot.layout)?;
    let servable = |index: usize| {
        let shard = Shard(index as u16);
        catalog
            .replicas(service, snapshot.layout, shard)
            .iter()
            .filter_map(|u| catalog.upstreams.get(u))
            .any(|node| paths.holds(node.group(), snapshot))
    };
    let shards = partition.shards.len();
    let servable = (0..shards).filter(|index| servable(*index)).count();
    Some(Offer { snapshot, shards, servable })
}
