use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The live VMs, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    pub(crate) own: u64,
    pub(crate) others: Vec<u64>,
}

impl Roster {
    /// Whether this VM is the one of all live ones that tries a request again.
    ///
    /// Were it any VM at which the request comes, a trial would end as many upstreams as there are VMs. By rendezvous
    /// hashing all agree without a word; VMs that do not see one another may both try.
    pub(crate) fn leads(&self, content: u64) -> bool {
        let rank = |vm: u64| (xxh3_64_with_seed(&vm.to_le_bytes(), content), vm);
        let own = rank(self.own);
        self.others.iter().all(|other| rank(*other) <= own)
    }
}
