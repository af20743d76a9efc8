use crate::{
    Member, Record,
    member::{Action, Out},
    packet::{Body, NEWS},
};
use rand::{Rng, seq::SliceRandom};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use tgw_clock::Millis;
use tgw_topology::{Vm, place::Domain};
use xxhash_rust::xxh3::xxh3_64;

/// A dead VM's record is kept this long.
const FORGET: Millis = Millis::new(600_000);

impl Member {
    /// Takes in records that another VM sent for comparison. A VM that joins gets all of them; if it
    /// spread each as news, every join would cost as much as the fleet is large.
    pub(crate) fn merge(&mut self, now: Millis, records: Vec<Record>, out: &mut Out) {
        let newer = |r: &Record| self.records.get(&r.vm).is_none_or(|known| r.supersedes(known));
        let news: Vec<Record> = records.into_iter().filter(newer).collect();
        let few = news.len() <= NEWS;
        for record in news {
            if few || record.vm == self.options.vm {
                self.learn(now, record, out);
            } else {
                self.take(now, &record);
            }
        }
    }

    pub(crate) fn hashes(&self) -> SmallVec<[(Domain, u64); 4]> {
        let mut sums: BTreeMap<Domain, u64> = BTreeMap::new();
        for record in self.records.values() {
            let member = &record.member;
            let text = (record.vm.0, member.incarnation, member.state as u8);
            let mut bytes = [0; 17];
            bytes[..8].copy_from_slice(&text.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&text.1.to_le_bytes());
            bytes[16] = text.2;
            *sums.entry(member.place.domain).or_default() ^= xxh3_64(&bytes);
        }
        sums.into_iter().collect()
    }

    pub(crate) fn start_compare(&mut self, out: &mut Out) {
        let hashes = self.hashes();
        let mut partners = self.neighbours();
        partners.shuffle(&mut self.rng);
        if let Some(addr) = partners.first().and_then(|vm| self.addr(*vm)) {
            self.send(addr, Body::Hashes(hashes.clone()), out);
        }
        let foreign = self.foreign_domains();
        if self.is_relay() && !foreign.is_empty() {
            let domain = foreign[self.rng.random_range(0..foreign.len())];
            self.contact(domain, Body::Hashes(hashes), out);
        }
    }

    /// Sends the records of the domains in which another VM's differ.
    pub(crate) fn compare(&mut self, addr: SocketAddr, theirs: &[(Domain, u64)], out: &mut Out) {
        let differs = |(domain, hash): &(Domain, u64)| !theirs.contains(&(*domain, *hash));
        let domains: BTreeSet<Domain> =
            self.hashes().iter().filter(|h| differs(h)).map(|h| h.0).collect();
        if domains.is_empty() {
            return;
        }
        let records: Vec<Record> = self
            .records
            .values()
            .filter(|r| domains.contains(&r.member.place.domain))
            .cloned()
            .collect();
        out.push(Action::Sync(addr, records));
    }

    pub(crate) fn forget(&mut self, now: Millis) {
        let old: Vec<Vm> = self
            .dead_since
            .iter()
            .filter(|(_, since)| now - **since >= FORGET)
            .map(|(vm, _)| *vm)
            .collect();
        for vm in old {
            self.dead_since.remove(&vm);
            self.records.remove(&vm);
            self.changed = true;
        }
    }
}
