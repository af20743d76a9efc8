//! Choice of the snapshot that a query is answered from.

use crate::path::Paths;
use std::cmp::Reverse;
use tgw_table::row::Choice;
use tgw_topology::{
    Catalog, Service, Shard, Snapshot,
    catalog::{Entry, Index, Version},
};

/// A snapshot and how much of it can be served.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Shards of its layout.
    pub shards: usize,
    /// Shards that some group is believed to hold.
    pub servable: usize,
    /// The least part of any servable shard's replicas that hold it, in percent.
    pub replicas: u8,
}

/// A choice, and what it was made from.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Chosen {
    catalog: Version,
    epoch: u64,
    choice: Choice,
    offer: Option<Offer>,
}

/// With [`Choice::Newest`], the least part of a shard's replicas that must hold the newest snapshot,
/// in percent: fewer could not carry the load of all.
const ENOUGH: u8 = 50;

/// Chooses among the service's snapshots; `except` were given up before. `None` if none has a shard
/// that could be served.
pub fn choose(
    (catalog, index): (&Catalog, &Index),
    paths: &mut Paths,
    service: Service,
    choice: Choice,
    except: &[Snapshot],
) -> Option<Offer> {
    if !except.is_empty() {
        return find((catalog, index), paths, service, choice, except);
    }
    let epoch = paths.epoch();
    let known = paths
        .chosen
        .get(&service)
        .filter(|c| (c.catalog, c.epoch, c.choice) == (catalog.version, epoch, choice));
    if let Some(known) = known {
        return known.offer;
    }
    let offer = find((catalog, index), paths, service, choice, except);
    paths.chosen.insert(service, Chosen { catalog: catalog.version, epoch, choice, offer });
    offer
}

fn find(
    (catalog, index): (&Catalog, &Index),
    paths: &Paths,
    service: Service,
    choice: Choice,
    except: &[Snapshot],
) -> Option<Offer> {
    let entry = catalog.services.get(&service)?;
    let offers: Vec<Offer> = entry
        .snapshots
        .iter()
        .filter(|s| !except.contains(s))
        .filter_map(|s| offer((catalog, index), paths, entry, *s))
        .filter(|o| o.servable > 0)
        .collect();
    let newest = offers.iter().find(|o| o.servable == o.shards && o.replicas >= ENOUGH);
    if let Some(newest) = newest.filter(|_| choice == Choice::Newest) {
        return Some(*newest);
    }
    // A version that arrives replica by replica is whole as soon as one replica of each shard has
    // it, and that one would get the load of all. The one held by most replicas is taken, and the
    // newer of two that are held by as many.
    let rank = |o: &Offer| {
        let part = o.servable * 1_000_000 / o.shards.max(1);
        (part, o.replicas)
    };
    offers.into_iter().enumerate().max_by_key(|(i, o)| (rank(o), Reverse(*i))).map(|(_, o)| o)
}

fn offer(
    (catalog, index): (&Catalog, &Index),
    paths: &Paths,
    entry: &Entry,
    snapshot: Snapshot,
) -> Option<Offer> {
    let partition = entry.layouts.iter().find(|l| l.id == snapshot.layout)?;
    let shards = partition.shards.len();
    let mut servable = 0;
    let mut least = 100;
    for shard in 0..shards {
        let shard = Shard(shard as u16);
        let part = part_held((catalog, index), paths, entry.id, snapshot, shard);
        if part > 0 {
            servable += 1;
            least = least.min(part);
        }
    }
    Some(Offer { snapshot, shards, servable, replicas: least })
}

/// The part of a shard's replicas that hold a snapshot, in percent. A group tells how many of its
/// upstreams do, not which; each is taken to hold it with that chance.
fn part_held(
    (catalog, index): (&Catalog, &Index),
    paths: &Paths,
    service: Service,
    snapshot: Snapshot,
    shard: Shard,
) -> u8 {
    let replicas = catalog.replicas(service, snapshot.layout, shard);
    let part = |node: &tgw_topology::catalog::Node| {
        let group = node.group();
        let members = f64::from(index.get(group).map_or(1, |m| m.staying).max(1));
        paths.holders(group, snapshot).map_or(1.0, |count| (f64::from(count) / members).min(1.0))
    };
    let held: f64 = replicas.iter().filter_map(|u| catalog.upstreams.get(u)).map(part).sum();
    (held * 100.0 / replicas.len().max(1) as f64).ceil() as u8
}
