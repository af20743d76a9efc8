use crate::report::{COUNT_UNIT, GroupReport, MAX_WAIT, SHARE_UNIT, ServiceReport, WAIT_UNIT};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Time constant in ms with which the evidence decays.
const PERIOD_MS: f64 = 300.0;
/// Evidence older than this is neither used nor reported.
const MAX_AGE_MS: Millis = Millis::new(500);
/// Mean wait from which a service counts as overloaded, from which it is reported, and which is aimed
/// at, as a fraction of the allowed wait.
const OVERLOAD_WAIT: f64 = 1.0;
const REPORT_WAIT: f64 = 0.75;
const TARGET_WAIT: f64 = 0.5;
/// Gain of the level on the difference of the wait from its target.
const GAIN: f64 = 0.5;
/// Growth of the level in one step without any wait: a level that is too low is back within 2 s.
const GROWTH: f64 = 0.3;
/// Time between two changes of the level, and the weight of one.
const STEP_MS: Millis = Millis::new(100);
const STEP_WEIGHT: f64 = 0.3;
/// Weight of a received level.
const MERGE_WEIGHT: f64 = 0.1;
/// Bounds of the level before it is applied.
const MIN_LEVEL: f64 = 0.1;
const MAX_LEVEL: f64 = 1.25;
/// Time without overload and rejections after which the level is not in force.
const MAX_CALM_MS: Millis = Millis::new(1_000);
/// Other VMs that must report, at least: one with a wrong view must not limit a region.
const MIN_SENDERS: usize = 3;
/// Queries that the evidence stands for, at least.
const MIN_QUERIES: f64 = 3.0;

/// Evidence on one service, decayed: sums of relative waits and of requests.
#[derive(Copy, Clone, Debug, Default)]
struct Evidence {
    waits: f64,
    requests: f64,
}

impl Evidence {
    fn wait(self) -> f64 {
        if self.requests > 0.0 { self.waits / self.requests } else { 0.0 }
    }
}

/// What the VMs of a region agree on for the queries over one set of services. Each VM averages its
/// evidence with that of the others, so that each knows the mean of the region; all of it decays.
#[derive(Debug, Default)]
pub(crate) struct Region {
    at: Millis,
    replied_at: Option<Millis>,
    /// Queries of this VM alone, and the mean over the region.
    own: f64,
    offered: f64,
    served: f64,
    services: Vec<Evidence>,
    /// `None` while it is not in force.
    level: Option<f64>,
    limited_at: Millis,
    stepped_at: Millis,
}

impl Region {
    fn decay(&mut self, now: Millis) {
        let factor = (-(now - self.at).as_f64() / PERIOD_MS).exp();
        self.own *= factor;
        self.offered *= factor;
        self.served *= factor;
        for service in &mut self.services {
            service.waits *= factor;
            service.requests *= factor;
        }
        self.at = self.at.max(now);
    }

    pub(crate) fn record_query(&mut self, now: Millis, services: usize) {
        self.decay(now);
        if self.services.len() != services {
            self.services = vec![Evidence::default(); services];
        }
        self.own += 1.0;
        self.offered += 1.0;
    }

    /// Records a reply of a service.
    pub(crate) fn record_reply(&mut self, now: Millis) {
        self.decay(now);
        self.served += 1.0 / self.services.len().max(1) as f64;
    }

    /// Records that a request to a service waited `wait` times the allowed wait.
    pub(crate) fn record_wait(&mut self, now: Millis, service: usize, wait: f64) {
        self.decay(now);
        self.replied_at = Some(now);
        if let Some(service) = self.services.get_mut(service) {
            service.waits += if wait.is_finite() { wait.clamp(0.0, MAX_WAIT) } else { MAX_WAIT };
            service.requests += 1.0;
        }
    }

    /// The evidence to report, while there is any.
    pub(crate) fn report(&mut self, now: Millis, group: u64) -> Option<GroupReport> {
        self.decay(now);
        let late = self.services.iter().filter(|s| s.wait() > REPORT_WAIT).count();
        let evident = late > self.services.len() / 4;
        if self.age(now)? > MAX_AGE_MS || !(evident || self.level.is_some()) {
            return None;
        }
        let count = |value: f64| (value * COUNT_UNIT) as u32;
        let services = self.services.iter().map(|service| ServiceReport {
            wait: (service.wait().min(MAX_WAIT) * WAIT_UNIT) as u8,
            requests: count(service.requests),
        });
        let level = (self.level.unwrap_or(1.0).min(1.0) * SHARE_UNIT) as u8;
        let (offered, served) = (count(self.offered), count(self.served));
        Some(GroupReport { group, level, offered, served, services: services.collect() })
    }

    /// Time since the latest reply.
    pub(crate) fn age(&self, now: Millis) -> Option<Millis> {
        self.replied_at.map(|at| now - at)
    }

    /// Averages the evidence with that of another VM, which is `age` old.
    pub(crate) fn apply(&mut self, now: Millis, report: &GroupReport, age: Millis) {
        if report.services.len() != self.services.len() {
            return;
        }
        self.decay(now);
        self.replied_at = self.replied_at.max(Some(now - age));
        let mean = |own: f64, other: f64| (own + other) * 0.5;
        self.offered = mean(self.offered, f64::from(report.offered) / COUNT_UNIT);
        self.served = mean(self.served, f64::from(report.served) / COUNT_UNIT);
        for (service, other) in self.services.iter_mut().zip(&report.services) {
            let requests = f64::from(other.requests) / COUNT_UNIT;
            service.waits = mean(service.waits, requests * f64::from(other.wait) / WAIT_UNIT);
            service.requests = mean(service.requests, requests);
        }
        let level = f64::from(report.level) / SHARE_UNIT;
        if let Some(own) = &mut self.level {
            *own += MERGE_WEIGHT * (level - *own);
        }
    }

    /// Changes the level, where `senders` other VMs reported and answers may miss `max_missing` parts.
    pub(crate) fn update(&mut self, now: Millis, senders: usize, max_missing: usize) {
        if now - self.stepped_at < STEP_MS {
            return;
        }
        self.decay(now);
        self.stepped_at = now;
        let mut waits: SmallVec<[f64; 36]> = self.services.iter().map(|s| s.wait()).collect();
        waits.sort_by(|a, b| b.total_cmp(a));
        let mut requests: SmallVec<[f64; 36]> = self.services.iter().map(|s| s.requests).collect();
        requests.sort_by(f64::total_cmp);
        let wait = waits.get(max_missing).copied().unwrap_or_default();
        let requests = requests.get(requests.len() / 2).copied().unwrap_or_default();
        // Each of the senders has averaged its evidence with as many others.
        let queries = requests * ((1 + senders) as f64).powi(2);
        let known = senders >= MIN_SENDERS && queries >= MIN_QUERIES;
        if known && wait > OVERLOAD_WAIT {
            self.limited_at = now;
            self.level.get_or_insert(1.0);
        }
        let Some(level) = self.level else { return };
        if now - self.limited_at > MAX_CALM_MS {
            self.level = None;
            return;
        }
        if !known {
            return;
        }
        let served = if self.offered > 0.0 { self.served / self.offered } else { 1.0 };
        let level = if wait < TARGET_WAIT {
            level * (1.0 + GROWTH * (1.0 - wait / TARGET_WAIT))
        } else {
            let aim = served * (1.0 + GAIN * (TARGET_WAIT - wait));
            level + STEP_WEIGHT * (aim - level).min(0.0)
        };
        self.level = Some(level.clamp(MIN_LEVEL, MAX_LEVEL));
        if level < 1.0 {
            self.limited_at = now;
        }
    }

    /// The share of the queries that is admitted, if it is in force and the VM alone has fewer
    /// queries than `thin` to decide by.
    pub(crate) fn share(&self, thin: f64) -> Option<f64> {
        self.level.filter(|_| self.own < thin).map(|level| level.min(1.0))
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.level.is_some_and(|level| level < 1.0)
    }
}
