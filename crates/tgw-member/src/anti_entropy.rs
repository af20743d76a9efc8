use crate::{
    Member, Record,
    event::Action,
    member::Actions,
    packet::{Body, MAX_UPDATES_PER_PACKET},
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

/// How long the record of a dead or leaving VM is kept.
const DEPARTED_RETENTION_MS: Millis = Millis::new(600_000);

impl Member {
    /// Merges records that another VM sent after a comparison. A joining VM receives all records; if
    /// it disseminated each of them, the cost of every join would grow with the size of the fleet.
    pub(crate) fn merge_records(&mut self, now: Millis, records: Vec<Record>, out: &mut Actions) {
        let newer = |r: &Record| self.records.get(&r.vm).is_none_or(|known| r.supersedes(known));
        let updates: Vec<Record> = records.into_iter().filter(newer).collect();
        let few = updates.len() <= MAX_UPDATES_PER_PACKET;
        for record in updates {
            if few || record.vm == self.options.vm {
                self.apply_record(now, record, out);
            } else {
                self.store_record(now, &record);
            }
        }
    }

    pub(crate) fn hashes(&self) -> SmallVec<[(Domain, u64); 4]> {
        let mut hashes: BTreeMap<Domain, u64> = BTreeMap::new();
        for record in self.records.values() {
            let member = &record.member;
            let fields = (record.vm.0, member.incarnation, member.state as u8);
            let mut bytes = [0; 17];
            bytes[..8].copy_from_slice(&fields.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&fields.1.to_le_bytes());
            bytes[16] = fields.2;
            *hashes.entry(member.place.domain).or_default() ^= xxh3_64(&bytes);
        }
        hashes.into_iter().collect()
    }

    pub(crate) fn start_comparison(&mut self, out: &mut Actions) {
        let hashes = self.hashes();
        let mut partners = self.neighbours();
        partners.shuffle(&mut self.rng);
        if let Some(addr) = partners.first().and_then(|vm| self.addr(*vm)) {
            self.send(addr, Body::Hashes(hashes.clone()), out);
        }
        let domains = self.other_domains();
        if self.is_relay() && !domains.is_empty() {
            let domain = domains[self.rng.random_range(0..domains.len())];
            self.send_to_relay(domain, Body::Hashes(hashes), out);
        }
    }

    /// Sends the records of each domain whose hash differs from that of the other VM.
    pub(crate) fn compare(
        &mut self,
        addr: SocketAddr,
        theirs: &[(Domain, u64)],
        out: &mut Actions,
    ) {
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
        out.push(Action::SendRecords(addr, records));
    }

    pub(crate) fn evict_departed(&mut self, now: Millis) {
        let old: Vec<Vm> = self
            .departed_since
            .iter()
            .filter(|(_, since)| now - **since >= DEPARTED_RETENTION_MS)
            .map(|(vm, _)| *vm)
            .collect();
        for vm in old {
            self.departed_since.remove(&vm);
            self.records.remove(&vm);
            self.changed = true;
        }
    }
}
