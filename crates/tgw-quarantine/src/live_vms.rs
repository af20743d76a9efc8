use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The live VMs, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveVms {
    pub(crate) own: u64,
    pub(crate) others: Vec<u64>,
}

impl LiveVms {
    /// Whether this VM is the one of all live VMs that tries a quarantined request again.
    ///
    /// If any VM that receives the request could try it, a trial would end as many upstreams as there are VMs.
    /// Rendezvous hashing makes all VMs agree without messages; VMs that do not see one another may both try.
    pub(crate) fn is_own_trial(&self, content: u64) -> bool {
        let rank = |vm: u64| (xxh3_64_with_seed(&vm.to_le_bytes(), content), vm);
        let own = rank(self.own);
        self.others.iter().all(|other| rank(*other) <= own)
    }
}
