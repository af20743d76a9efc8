//! Choice of the snapshot that a query is answered from.

use crate::tracker::Tracker;
use std::cmp::Reverse;
use tgw_table::row::Choice;
use tgw_topology::{
    Catalog, Service, Shard, Snapshot,
    catalog::{Index, ServiceEntry, Version},
};

/// A snapshot and the part of it that can be served.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Shards of its layout.
    pub shards: usize,
    /// Shards that some group holds, as far as is known.
    pub servable: usize,
    /// Percentage of a shard's replicas that hold it, for the servable shard with the lowest.
    pub min_replicas_pct: u8,
}

/// A cached choice, with the inputs that it depends on.
#[derive(Copy, Clone, Debug)]
pub(crate) struct CachedChoice {
    catalog: Version,
    snapshots_epoch: u64,
    choice: Choice,
    candidate: Option<Candidate>,
}

/// With [`Choice::Newest`], the percentage of each shard's replicas that must hold the newest
/// snapshot: fewer could not carry the load of all.
const MIN_REPLICAS_PCT: u8 = 50;

/// Chooses among the service's snapshots other than `except`, which the query has abandoned. `None`
/// if none has a servable shard.
pub fn choose(
    (catalog, index): (&Catalog, &Index),
    tracker: &mut Tracker,
    service: Service,
    choice: Choice,
    except: &[Snapshot],
) -> Option<Candidate> {
    if !except.is_empty() {
        return find_best((catalog, index), tracker, service, choice, except);
    }
    let snapshots_epoch = tracker.snapshots_epoch();
    let cached = tracker.choices.get(&service).filter(|c| {
        (c.catalog, c.snapshots_epoch, c.choice) == (catalog.version, snapshots_epoch, choice)
    });
    if let Some(cached) = cached {
        return cached.candidate;
    }
    let candidate = find_best((catalog, index), tracker, service, choice, except);
    tracker.choices.insert(
        service,
        CachedChoice { catalog: catalog.version, snapshots_epoch, choice, candidate },
    );
    candidate
}

/// The best snapshot with a servable shard. With [`Choice::Newest`], that is the newest one that is
/// servable in all shards and held by at least `MIN_REPLICAS_PCT` of each shard's replicas; without
/// such a one, or with another choice, the one with the largest part of its shards servable, then
/// the highest `min_replicas_pct`, then the newest.
fn find_best(
    (catalog, index): (&Catalog, &Index),
    tracker: &Tracker,
    service: Service,
    choice: Choice,
    except: &[Snapshot],
) -> Option<Candidate> {
    let entry = catalog.services.get(&service)?;
    let candidates: Vec<Candidate> = entry
        .snapshots
        .iter()
        .filter(|s| !except.contains(s))
        .filter_map(|s| candidate((catalog, index), tracker, entry, *s))
        .filter(|c| c.servable > 0)
        .collect();
    let newest = candidates
        .iter()
        .find(|c| c.servable == c.shards && c.min_replicas_pct >= MIN_REPLICAS_PCT);
    if let Some(newest) = newest.filter(|_| choice == Choice::Newest) {
        return Some(*newest);
    }
    // A version that is rolled out replica by replica is complete as soon as one replica of each
    // shard has it, and that replica would get the load of all. Among the snapshots with the most
    // servable shards, the one held by most replicas is chosen; of equal ones, the newest.
    let preference = |c: &Candidate| {
        let coverage_ppm = c.servable * 1_000_000 / c.shards.max(1);
        (coverage_ppm, c.min_replicas_pct)
    };
    candidates
        .into_iter()
        .enumerate()
        .max_by_key(|(i, c)| (preference(c), Reverse(*i)))
        .map(|(_, c)| c)
}

fn candidate(
    (catalog, index): (&Catalog, &Index),
    tracker: &Tracker,
    entry: &ServiceEntry,
    snapshot: Snapshot,
) -> Option<Candidate> {
    let layout = entry.layouts.iter().find(|l| l.id == snapshot.layout)?;
    let shards = layout.shards.len();
    let mut servable = 0;
    let mut min_replicas_pct = 100;
    for shard in 0..shards {
        let shard = Shard(shard as u16);
        let pct = replicas_pct((catalog, index), tracker, entry.id, snapshot, shard);
        if pct > 0 {
            servable += 1;
            min_replicas_pct = min_replicas_pct.min(pct);
        }
    }
    Some(Candidate { snapshot, shards, servable, min_replicas_pct })
}

/// The percentage of a shard's replicas that hold a snapshot. A group reports how many of its
/// upstreams hold it, not which; each counts as a holder with that probability.
fn replicas_pct(
    (catalog, index): (&Catalog, &Index),
    tracker: &Tracker,
    service: Service,
    snapshot: Snapshot,
    shard: Shard,
) -> u8 {
    let replicas = catalog.replicas(service, snapshot.layout, shard);
    let holder_probability = |node: &tgw_topology::catalog::UpstreamEntry| {
        let group = node.group();
        let members = f64::from(index.get(group).map_or(1, |m| m.not_leaving).max(1));
        tracker.holders(group, snapshot).map_or(1.0, |count| (f64::from(count) / members).min(1.0))
    };
    let holders: f64 =
        replicas.iter().filter_map(|u| catalog.upstreams.get(u)).map(holder_probability).sum();
    (holders * 100.0 / replicas.len().max(1) as f64).ceil() as u8
}
