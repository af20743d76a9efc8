use crate::{
    Decision, Outcome, Permit, Query, Reason, Rejection, Reply, Settings, Ticket,
    attempts::Attempts,
    capacity::UsualWork,
    group::{Group, Left, Service},
    permit::DropList,
    queue::Entry,
};
use smallvec::SmallVec;
use std::{collections::HashMap, rc::Rc};
use tgw_clock::Millis;

/// A query that was admitted and has not ended.
#[derive(Debug)]
struct Running {
    group: u64,
    route: Rc<str>,
    priority: u32,
    started: Millis,
    target: Millis,
}

/// A query that was put into the queue.
#[derive(Debug)]
struct Waiting {
    query: Query,
    start_by: Millis,
    /// Set once it is no longer in the queue.
    left: Option<Left>,
}

/// Decides on the queries of one VM.
#[derive(Debug, Default)]
pub struct Admission {
    settings: Settings,
    dropped: DropList,
    next_number: u64,
    groups: HashMap<u64, Group>,
    services: HashMap<Rc<str>, Service>,
    usual: UsualWork,
    attempts: Attempts,
    running: HashMap<u64, Running>,
    waiting: HashMap<u64, Waiting>,
    wakeups: SmallVec<[u64; 4]>,
}

impl Admission {
    /// Creates it with weights other than the default ones.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Drops what is kept of routes and services that the configuration no longer has.
    pub fn retain(&mut self, has_route: impl Fn(&str) -> bool, has_service: impl Fn(&str) -> bool) {
        self.usual.retain(&has_route);
        self.attempts.retain(&has_route);
        self.services.retain(|name, service| {
            service.retain(&has_route);
            has_service(name)
        });
        // A group that still has queries is dropped by a later version of the configuration.
        self.groups.retain(|_, group| {
            group.retain(&has_route);
            !group.is_idle() || group.services().iter().all(|name| has_service(name))
        });
    }

    /// The time since the first attempt of a caller that states `timeout`; zero if this probably is its first one.
    pub fn elapsed(&mut self, route: &Rc<str>, timeout: Millis) -> Millis {
        self.attempts.record(route, timeout)
    }

    /// Decides on a query over `services` before anything is sent.
    pub fn request(&mut self, now: Millis, query: Query, services: &[Rc<str>]) -> Decision {
        self.collect_dropped(now);
        self.next_number += 1;
        let number = self.next_number;
        if !self.settings.enabled {
            return Decision::Admitted(Permit { number, list: self.dropped.clone() });
        }
        for service in services {
            self.services.entry(service.clone()).or_default().record_query(now, &query);
        }
        self.groups.entry(query.group).or_default().record_query(&query, services);
        self.update(now, query.group);
        let Some(group) = self.groups.get_mut(&query.group) else {
            return Decision::Admitted(Permit { number, list: self.dropped.clone() });
        };
        if !group.take_share(query.priority) {
            group.limit.record_use();
            return reject(now, group, &query, Reason::Backlog);
        }
        let is_next = group.queue.highest_priority().is_none_or(|waiting| waiting > query.priority);
        if is_next && group.has_room(query.priority) {
            group.queue.record_use(now, query.tenant.as_ref(), 1.0);
            return Decision::Admitted(self.start(now, number, &query));
        }
        group.limit.record_use();
        let start_by = group.start_by(&query);
        let entry = Entry {
            number,
            priority: query.priority,
            tenant: query.tenant.clone(),
            queued_at: now,
            start_by,
            cost: 1.0,
        };
        if start_by < now || !group.queue.can_start(now, &entry, group.completion_rate()) {
            return reject(now, group, &query, Reason::Backlog);
        }
        if let Some(displaced) = group.queue.push(now, entry) {
            if displaced.number == number {
                return reject(now, group, &query, Reason::Displaced);
            }
            self.leave(displaced.number, Left::Rejected(Reason::Displaced));
        }
        self.waiting.insert(number, Waiting { query, start_by, left: None });
        Decision::Queued(self.ticket(now, number, start_by))
    }

    /// Decides on a query that waits.
    pub fn poll(&mut self, now: Millis, ticket: Ticket) -> Decision {
        self.collect_dropped(now);
        let number = ticket.number;
        let Some(group) = self.waiting.get(&number).map(|waiting| waiting.query.group) else {
            return Decision::Queued(ticket);
        };
        self.update(now, group);
        let Some(Waiting { query, start_by, left }) = self.waiting.remove(&number) else {
            return Decision::Queued(ticket);
        };
        match left {
            Some(Left::Granted) => {
                Decision::Admitted(Permit { number, list: self.dropped.clone() })
            }
            Some(Left::Rejected(reason)) => match self.groups.get_mut(&group) {
                Some(group) => rejection(group, &query, reason),
                None => Decision::Rejected(Rejection { retry_after: Millis::ZERO, reason }),
            },
            None => {
                self.waiting.insert(number, Waiting { query, start_by, left });
                Decision::Queued(ticket)
            }
        }
    }

    /// Takes the end of an admitted query.
    pub fn finish(&mut self, now: Millis, permit: Permit, outcome: Outcome) {
        if let Some(Running { group, route, priority, started, target }) =
            self.running.remove(&permit.number)
        {
            if let Some(group) = self.groups.get_mut(&group) {
                group.record_release(priority);
                if outcome != Outcome::Failed {
                    group.record_end(&route, now - started, target);
                }
            }
            self.update(now, group);
        }
        drop(permit);
        self.collect_dropped(now);
    }

    /// Takes the numbers of the tickets that are to be polled.
    pub fn take_wakeups(&mut self) -> SmallVec<[u64; 4]> {
        std::mem::take(&mut self.wakeups)
    }

    /// Records the reply to a part.
    pub fn record_reply(&mut self, now: Millis, reply: &Reply<'_>) {
        if !self.settings.enabled {
            return;
        }
        let overloaded = self.is_overloaded(now);
        let Some(service) = self.services.get_mut(reply.service) else { return };
        let latency = (now - reply.sent_at).as_f64();
        let raised = overloaded || service.queue.is_suspected(now);
        let wait = self.usual.record(reply.route, latency, reply.round_trip_ms, raised);
        let allowed = service.allowed_wait(now, self.settings.wait_share);
        service.queue.record_reply(now, (reply.upstream, reply.sent_at), wait, allowed);
        service.record_reply(now);
    }

    /// Records that the query ended while a part had no reply. That is evidence only if it waited longer
    /// than allowed.
    pub fn record_pending(&mut self, now: Millis, pending: &Reply<'_>) {
        let Some(service) = self.services.get_mut(pending.service) else { return };
        let Some(usual) = self.usual.of(pending.route, pending.round_trip_ms) else { return };
        let wait = (now - pending.sent_at).as_f64() - usual;
        let allowed = service.allowed_wait(now, self.settings.wait_share);
        if wait > allowed {
            service.queue.record_reply(now, (pending.upstream, pending.sent_at), wait, allowed);
        }
    }

    /// Records that an upstream of a service shed a part.
    pub fn record_shed(&mut self, now: Millis, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.record_shed(now);
        }
    }

    /// Whether queries compete for upstreams: retries that an answer does not need and lent sends are not made.
    pub fn is_overloaded(&self, _now: Millis) -> bool {
        self.groups.values().any(|group| group.limit.value().is_some())
    }

    fn start(&mut self, now: Millis, number: u64, query: &Query) -> Permit {
        self.record_start(now, number, query);
        Permit { number, list: self.dropped.clone() }
    }

    fn record_start(&mut self, now: Millis, number: u64, query: &Query) {
        if let Some(group) = self.groups.get_mut(&query.group) {
            group.record_start(query.priority);
        }
        let running = Running {
            group: query.group,
            route: query.route.clone(),
            priority: query.priority,
            started: now,
            target: query.answer_by - query.arrived,
        };
        self.running.insert(number, running);
    }

    /// Changes the limit of a group, and admits those that wait for it.
    fn update(&mut self, now: Millis, id: u64) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.update(now, &self.services, self.settings.wait_share);
        let expired = group.queue.expire(now);
        for entry in expired {
            self.leave(entry.number, Left::Rejected(Reason::Expired));
        }
        while let Some(group) = self.groups.get_mut(&id)
            && group.queue.highest_priority().is_some_and(|priority| group.has_room(priority))
            && let Some(entry) = group.queue.pop(now)
        {
            let query = self.waiting.get(&entry.number).map(|waiting| waiting.query.clone());
            if let Some(query) = query {
                self.record_start(now, entry.number, &query);
                self.leave(entry.number, Left::Granted);
            }
        }
    }

    fn leave(&mut self, number: u64, left: Left) {
        if let Some(waiting) = self.waiting.get_mut(&number) {
            waiting.left = Some(left);
            self.wakeups.push(number);
        }
    }

    /// A ticket that is polled when its query has expired.
    fn ticket(&self, now: Millis, number: u64, start_by: Millis) -> Ticket {
        const MIN_POLL_MS: Millis = Millis::new(1);
        let expires_at = start_by.max(now) + MIN_POLL_MS;
        Ticket { number, expires_at, list: self.dropped.clone() }
    }

    fn collect_dropped(&mut self, now: Millis) {
        let dropped = std::mem::take(&mut *self.dropped.borrow_mut());
        for number in &dropped.permits {
            self.release(now, *number);
        }
        for number in &dropped.tickets {
            let Some(waiting) = self.waiting.remove(number) else { continue };
            match waiting.left {
                None => {
                    if let Some(group) = self.groups.get_mut(&waiting.query.group) {
                        group.queue.remove(*number);
                    }
                }
                Some(Left::Granted) => self.release(now, *number),
                Some(Left::Rejected(_)) => {}
            }
        }
    }

    fn release(&mut self, now: Millis, number: u64) {
        let Some(Running { group, priority, .. }) = self.running.remove(&number) else { return };
        if let Some(group) = self.groups.get_mut(&group) {
            group.record_release(priority);
        }
        self.update(now, group);
    }
}

/// Rejects a query that did not wait.
fn reject(now: Millis, group: &mut Group, query: &Query, reason: Reason) -> Decision {
    group.queue.record_rejection(now, query.tenant.as_ref());
    rejection(group, query, reason)
}

fn rejection(group: &mut Group, query: &Query, reason: Reason) -> Decision {
    let retry_after = group.retry_after(query.retry_spread);
    Decision::Rejected(Rejection { retry_after, reason })
}
