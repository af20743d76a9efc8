//! Tests of the decision core of a VM and of the messages between VMs.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use bytes::Bytes;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Failure, Key, Operation, Outcome};
use tgw_node::{
    Message,
    message::{Completion, Order, Request},
};
use tgw_order::ledger::Reason;
use tgw_topology::{Group, Layout, Query, Service, Shard, Snapshot, Upstream, Vm, place::Domain};
use tgw_wire::Keys;

fn messages() -> Vec<Message> {
    let query = Query { incarnation: 7, number: 8 };
    let key = Key { from: Vm(1), query, shard: Shard(3), attempt: 2 };
    let snapshot = Snapshot { version: 4, layout: Layout(1) };
    let group = Group { service: Service(1), instance: 2, domain: Domain(3) };
    let request = |operation| Request {
        group,
        stand_in: true,
        key,
        snapshot,
        remaining: Millis::new(5),
        queue_timeout: Some(Millis::new(1)),
        body: Bytes::from_static(b"{}"),
        log_decisions: true,
        operation,
    };
    let order_key =
        tgw_order::Key::parse(Service(1), "1800000000-a", 1_800_000_000).expect("valid");
    let order = Order {
        request_id: 1,
        key: order_key,
        key_age_s: Some(1),
        remaining: Millis::new(5),
        body: Bytes::from_static(b"{}"),
    };
    let outcome_message = |outcome| Message::Outcome(Completion::unqueued(key, outcome));
    vec![
        Message::Request(request(Operation::Search)),
        Message::Request(request(Operation::Order("o".into()))),
        Message::Cancel(key),
        outcome_message(Outcome::Items(Bytes::from_static(b"[]"))),
        outcome_message(Outcome::Failed(Failure::Malformed)),
        outcome_message(Outcome::Moved(Some(Vm(9)))),
        Message::Heartbeat,
        Message::Probe,
        Message::Order(order),
        Message::OrderOutcome(1, tgw_order::Outcome::Ran { result: "{}".into() }),
        Message::OrderOutcome(2, tgw_order::Outcome::NotRun { reason: Reason::Deadline }),
        Message::OrderOutcome(3, tgw_order::Outcome::Unknown),
        Message::Leaving(Upstream(4)),
    ]
}

// Guards against a message that the codec encodes but cannot decode, such as a tagged enum: the receiver
// rejects the frame and closes the link with all messages on it, so that every order ends as unknown
// and half of the searches miss shards.
#[test]
fn every_message_decodes_as_it_was_encoded() {
    let keys = Keys::new([7; 32], None);
    for message in messages() {
        let frame = tgw_wire::encode(&keys, &message).expect("the message fits a frame");
        let read: Message = tgw_wire::decode(&keys, &frame).expect("the frame decodes");
        assert_eq!(read, message);
    }
}
