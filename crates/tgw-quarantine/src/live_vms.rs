use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The live VMs, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveVms {
    pub(crate) own: u64,
    pub(crate) others: Vec<u64>,
}

impl LiveVms {
    /// The place of this VM in the order in which all live VMs may try a quarantined request again.
    ///
    /// If any VM that receives the request could try it, a trial would end as many upstreams as there are VMs.
    /// Rendezvous hashing makes all VMs agree without messages; VMs that do not see one another may both try.
    pub(crate) fn trial_rank(&self, content: u64) -> usize {
        let rank = |vm: u64| (xxh3_64_with_seed(&vm.to_le_bytes(), content), vm);
        let own = rank(self.own);
        self.others.iter().filter(|other| rank(**other) > own).count()
    }
}
