//! Tests of the messages about queries that are handed over.

use postcard::{from_bytes, to_allocvec};
use serde::Deserialize;
use tgw_clock::Millis;
use tgw_forward::plan::Cause;
use tgw_spread::gather::{Message, Outcome};

/// The messages without a query of a build that knows neither [`Message::Full`] nor [`Cause::Overload`].
#[derive(Debug, Deserialize, PartialEq)]
enum EarlierMessage {
    Query(()),
    Accepted(u64),
    Refused(u64),
    Probe(u64),
    Ended(u64, EarlierOutcome),
    Cancelled(u64),
}

#[derive(Debug, Deserialize, PartialEq)]
enum EarlierOutcome {
    Merged { signatures: Vec<Vec<u8>>, missing: u32, body: Vec<u8> },
    Refused { retry_after: Millis, cause: EarlierCause },
}

#[derive(Debug, Deserialize, PartialEq)]
enum EarlierCause {
    NoUpstream,
    Cold,
    Residency,
    Full,
}

fn as_earlier(message: &Message) -> Option<EarlierMessage> {
    from_bytes(&to_allocvec(message).unwrap()).ok()
}

// Guards against a rolling update in which VMs of the earlier build wait in vain for the reply of a gatherer that
// rejects a query: they would pass it over for 2 s, or answer 502 for a query that was not executed.
#[test]
fn earlier_builds_understand_each_rejection_by_its_fallback() {
    let full = Message::Full(7, Millis::new(90));
    assert_eq!(as_earlier(&full), None);
    assert_eq!(as_earlier(&full.fallback().unwrap()), Some(EarlierMessage::Refused(7)));
    let retry_after = Millis::new(90);
    let rejected = |cause| Message::Ended(7, Outcome::Refused { retry_after, cause });
    assert_eq!(as_earlier(&rejected(Cause::Overload)), None);
    let outcome = EarlierOutcome::Refused { retry_after, cause: EarlierCause::Full };
    assert_eq!(
        as_earlier(&rejected(Cause::Overload).fallback().unwrap()),
        Some(EarlierMessage::Ended(7, outcome))
    );
    assert_eq!(rejected(Cause::Cold).fallback(), None);
    for message in [Message::Accepted(7), Message::Refused(7), Message::Cancelled(7)] {
        assert!(as_earlier(&message).is_some() && message.fallback().is_none(), "{message:?}");
    }
}
