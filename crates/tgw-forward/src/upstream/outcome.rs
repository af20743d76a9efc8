/// Outcome of one send, as far as it affects the upstream's state.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
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
    ConnectionLimit,
    /// No reply in time.
    TimedOut,
    /// The peer VM had no room or suspects the upstream; nothing was sent.
    PeerRefused,
    /// Abandoned by this VM; says nothing about the upstream.
    Abandoned,
}

impl SendOutcome {
    /// The name in logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::Reply => "reply",
            Self::Failure => "failure",
            Self::Shed => "shed",
            Self::Broken => "broken",
            Self::Unreachable => "unreachable",
            Self::ConnectionLimit => "crowded",
            Self::TimedOut => "silent",
            Self::PeerRefused => "busy",
            Self::Abandoned => "dropped",
        }
    }
}
