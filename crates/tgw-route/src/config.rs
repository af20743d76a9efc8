//! One version of the configuration.

use crate::Residency;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Its version; later versions have higher numbers, not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// All services by name.
    pub services: BTreeMap<Rc<str>, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// Where a request goes and what may be done with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Rc<str>,
    /// The host that callers name.
    pub host: Rc<str>,
    /// The beginning of the paths it takes; begins and ends with a slash.
    pub prefix: Rc<str>,
    /// Where its requests go.
    pub target: Target,
    /// Whether a request may run more than once.
    pub safety: Safety,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer is worth most to its caller.
    pub aim: Millis,
    /// The most upstreams that one request is sent to, for each shard.
    pub attempts: u32,
    /// Its rank; zero is the most urgent.
    pub priority: u32,
    /// Where its requests may be served.
    pub residency: Residency,
}

/// Whether a request may run more than once.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Safety {
    /// It may be repeated and hedged.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("at-most-once")]
    Once,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one service.
    One(Rc<str>),
    /// To one of several services, each with its weight.
    Weighted(Vec<(Rc<str>, f64)>),
    /// To every shard.
    Shards(Shards),
}

/// The shards of a route, each a service, and how their parts become one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// The services.
    pub services: Vec<Rc<str>>,
    /// The number of records that an answer holds at most.
    pub limit: usize,
    /// The least share of the shards (0 to 1) that a success holds.
    pub least: f64,
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one of its upstreams accepts from all callers together.
    pub connections: u32,
    /// What its upstreams bear until they are warm.
    pub warmup: Warmup,
}

/// What an upstream bears while it is cold.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long it is cold after its start.
    pub span: Millis,
    /// Requests a second that it bears meanwhile; zero where it states none.
    pub rate: f64,
}

/// What callers may send.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Time for a request's head.
    pub head_timeout: Millis,
    /// Time that a kept connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// What holds until the first configuration is known: the values common for HTTP servers.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 256 << 10,
            head_timeout: Millis::new(3_000),
            idle_timeout: Millis::new(15_000),
        }
    }
}
