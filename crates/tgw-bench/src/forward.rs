//! Cost of forwarding: decisions and merge per part, and frames of sends through peers. It does no
//! I/O, so that it is repeatable on any machine.

use crate::slopes::Cost;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Instant,
};
use tgw_clock::Millis;
use tgw_forward::{
    Core, Plan, Policy,
    core::Budget,
    fleet::Place,
    merge,
    plan::{Event, Options, Response, SendResult},
    upstream::{Entry, SendOutcome},
};
use tgw_quarantine::{Fingerprint, message::Rounds};
use tgw_route::{Config, Residency, Route, Safety, Service, Target, Warmup, config::Shards};
use tgw_spread::{
    agreement::{Digest, Digests},
    hop::{Outcome, Reply, Request},
    message::Datagram,
};
use tgw_wire::Keys;

/// Shards of a query.
const SHARDS: [usize; 4] = [10, 36, 54, 110];
/// Parts processed for each figure.
const PARTS_PER_FIGURE: usize = 200_000;
/// Bytes of a part.
const PART_BYTES: usize = 400;
/// Records in an answer.
const RESULT_LIMIT: usize = 20;

/// Measures decisions, merge and frames.
pub(crate) fn costs() -> Vec<Cost> {
    let by_shards = |what, cost: fn(usize) -> f64| Cost {
        what,
        unit: "us a part",
        values: SHARDS.iter().map(|shards| (format!("{shards} shards"), cost(*shards))).collect(),
    };
    let mut costs = vec![
        by_shards("forwarding, decisions and merge", cost_of_queries),
        by_shards("forwarding, merge alone", cost_of_merge),
    ];
    costs.extend(costs_of_frames());
    costs
}

fn route(shards: usize) -> Rc<Route> {
    let services = (0..shards).map(|i| format!("s{i}").into()).collect();
    Rc::new(Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        target: Target::Shards(Shards {
            services,
            result_limit: RESULT_LIMIT,
            min_shard_share: 0.75,
        }),
        safety: Safety::Idempotent,
        timeout: Millis::new(800),
        target_latency: Millis::new(150),
        max_attempts: 2,
        priority: 1,
        residency: Residency::default(),
        anonymous: false,
    })
}

/// A core that knows three upstreams of each shard, one in each of three regions.
fn core(shards: usize) -> Core {
    let domains = ["d0", "d1", "d2"];
    let regions = domains.iter().map(|d| ((*d).into(), format!("r-{d}"))).collect();
    let budget = Budget { share: 0.2, constant: 50.0 };
    let mut core = Core::new(Place { domain: "d0".into(), regions }, budget, Policy::default());
    let mut config = Config::default();
    for shard in 0..shards {
        let service: Rc<str> = format!("s{shard}").into();
        config
            .services
            .insert(service.clone(), Service { max_connections: 77, warmup: Warmup::default() });
        for domain in domains {
            let entry = Entry {
                id: format!("i-{shard}-{domain}").into(),
                started: 0,
                heartbeats: 0,
                service: service.clone(),
                addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                domain: domain.into(),
                slots: 4,
                draining: false,
                warmup: Millis::ZERO,
            };
            core.fleet.put(Millis::ZERO, entry);
        }
    }
    core.configure(&config);
    core
}

fn part(shard: usize) -> Bytes {
    (0..PART_BYTES).map(|i| (i * 31 + shard * 17) as u8).collect()
}

/// Microseconds per part for whole queries, from arrival to answer.
fn cost_of_queries(shards: usize) -> f64 {
    let (route, mut core) = (route(shards), core(shards));
    let bodies: Vec<Bytes> = (0..shards).map(part).collect();
    let signatures: Vec<HeaderValue> = (0..shards).map(|i| HeaderValue::from(i as u64)).collect();
    let queries = PARTS_PER_FIGURE / shards;
    let (mut orders, mut answered) = (Vec::new(), 0);
    let start = Instant::now();
    for query in 0..queries {
        let now = Millis::new(20 * query as u64);
        let options = Options {
            route: route.clone(),
            caller_timeout: None,
            new_connection: false,
            retry_spread: query as u32,
            priority: route.priority,
            tenant: None,
            fingerprint: Fingerprint { content: query as u64, caller: 0 },
        };
        let mut plan = Plan::new(now, &options);
        let mut answer = plan.handle(now, Event::Start, &mut core, &mut orders);
        let later = now + Millis::new(10);
        for order in orders.drain(..) {
            core.fleet.record_outcome(later, order.ticket, SendOutcome::Reply);
            let response = Response {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                signature: Some(signatures[order.part].clone()),
                load: None,
                body: bodies[order.part].clone(),
            };
            let result = SendResult::Answered(Box::new(response));
            let upstream = order.ticket.upstream;
            let event = Event::SendEnded { part: order.part, upstream, result };
            answer = answer.or(plan.handle(later, event, &mut core, &mut Vec::new()));
        }
        answered += usize::from(answer.is_some());
    }
    let took = start.elapsed();
    debug_assert_eq!(answered, queries);
    took.as_secs_f64() * 1e6 / (queries * shards) as f64
}

/// Microseconds per part for the merge alone, a cost that no decision can avoid.
fn cost_of_merge(shards: usize) -> f64 {
    let bodies: Vec<Bytes> = (0..shards).map(part).collect();
    let queries = PARTS_PER_FIGURE / shards;
    let start = Instant::now();
    let bytes: usize = (0..queries)
        .map(|_| merge::greatest(bodies.iter().map(|b| &b[..]), RESULT_LIMIT).len())
        .sum();
    let took = start.elapsed();
    debug_assert!(bytes > 0);
    took.as_secs_f64() * 1e6 / (queries * shards) as f64
}

/// Digests of what a VM holds.
fn digests() -> Datagram {
    let digest = Digest { version: 40_000, hash: 0x9c41_d07b_e2a3_5f68 };
    let digests = Digests { configuration: digest, upstreams: digest, evacuations: digest };
    Datagram::Digests { digests, is_reply: false }
}

/// Bytes and microseconds of the packet that compares lists, and of the two of a send through a peer.
fn costs_of_frames() -> Vec<Cost> {
    let headers = ["host", "x-request", "x-deadline", "accept"];
    let request = Datagram::Hop(Box::new(Request {
        number: 7,
        upstream: "i-7f3a91c2aa".into(),
        started: 1_700_000_000_000,
        fallback: false,
        lent: false,
        limit: 50,
        min_record: None,
        time_left_ms: 700,
        method: "GET".into(),
        uri: "/nono601/no91/2f".into(),
        headers: headers.map(|name| (name.into(), b"9c41d07be2a35f68".to_vec())).into(),
        body: Vec::new(),
        fingerprint: Fingerprint { content: 0x9c41_d07b_e2a3_5f68, caller: 0x9c41_d07b },
        rounds: Rounds::default(),
        principal: None,
    }));
    let outcome = Outcome::Answered {
        status: 200,
        signature: Some(b"3e1b.07.5a2.600.0.c9f2a4d1".to_vec()),
        load: None,
        body: part(1).to_vec(),
    };
    let reply = Datagram::HopEnded(Box::new(Reply { number: 7, outcome }));
    let packets = [("digests", digests()), ("request", request), ("reply", reply)];
    let measured: Vec<(&str, (f64, f64))> =
        packets.iter().map(|(n, d)| (*n, cost_of_frame(d))).collect();
    let values = |of: fn(&(f64, f64)) -> f64| {
        measured.iter().map(|(name, cost)| ((*name).into(), of(cost))).collect()
    };
    vec![
        Cost {
            what: "digests, send through a peer: packet",
            unit: "bytes",
            values: values(|c| c.0),
        },
        Cost {
            what: "digests, send through a peer: made and read",
            unit: "us",
            values: values(|c| c.1),
        },
    ]
}

/// Size of a packet in bytes, and microseconds to encode and decode it.
fn cost_of_frame(datagram: &Datagram) -> (f64, f64) {
    const ROUNDS: u32 = 20_000;
    let keys = Keys::new([7; 32], None);
    let mut size = 0;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let Ok(frame) = tgw_wire::encode(&keys, datagram) else { continue };
        size = tgw_wire::decode::<Datagram>(&keys, &frame).map_or(0, |_| frame.len());
    }
    (size as f64, start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
}
