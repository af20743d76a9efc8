/// Outcome of one send, as far as it affects the upstream's state.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A complete reply.
    Reply,
    /// A complete reply that reports a failure of the upstream.
    Failure,
    /// The upstream declined the request without executing it.
    Shed,
    /// The reply was truncated, corrupt or reset.
    Broken,
    /// No connection could be made: the address does not answer or refuses.
    Unreachable,
    /// The upstream reset a new connection: it is at its connection limit.
    Crowded,
    /// No reply in time.
    Silent,
    /// The peer VM had no room or suspects the upstream; nothing was sent.
    Busy,
    /// Abandoned by this VM; says nothing about the upstream.
    Dropped,
}

impl Sign {
    /// The name in logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::Reply => "reply",
            Self::Failure => "failure",
            Self::Shed => "shed",
            Self::Broken => "broken",
            Self::Unreachable => "unreachable",
            Self::Crowded => "crowded",
            Self::Silent => "silent",
            Self::Busy => "busy",
            Self::Dropped => "dropped",
        }
    }
}
