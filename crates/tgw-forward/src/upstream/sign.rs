/// How one send ended, as far as the upstream's state goes.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A complete reply.
    Reply,
    /// A complete reply that reports a failure of the upstream.
    Failure,
    /// It turned the request away unexecuted.
    Shed,
    /// The reply was cut, spoiled or reset.
    Broken,
    /// No connection could be made: the address does not answer or refuses.
    Unreachable,
    /// The upstream reset a new connection: it holds as many as it accepts.
    Crowded,
    /// No reply in time.
    Silent,
    /// The VM that was asked to send had no room, or doubts the upstream; nothing was sent.
    Busy,
    /// Given up on this side; tells nothing.
    Dropped,
}

impl Sign {
    /// Its name in logs and metrics.
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
