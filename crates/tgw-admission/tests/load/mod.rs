use std::rc::Rc;
use tgw_admission::{Admission, Decision, Outcome, Permit, Query, Reply, Ticket};
use tgw_clock::Millis;

/// How much longer a request takes at a slow upstream.
const SLOW_MS: Millis = Millis::new(200);

/// Queries over some services whose replies take a given time.
pub(crate) struct Load {
    pub(crate) admission: Admission,
    pub(crate) now: Millis,
    /// An upstream to which all requests of the first services go, which waits there.
    pub(crate) slow: Option<(u64, usize)>,
    /// The priority of its queries.
    pub(crate) priority: u32,
    /// The route of its queries and their latency target.
    pub(crate) route: (&'static str, Millis),
    services: Vec<Rc<str>>,
    running: Vec<(Millis, (u64, Millis), Permit)>,
}

impl Load {
    pub(crate) fn new(services: usize) -> Self {
        let services = (0..services).map(|s| format!("s{s}").into()).collect();
        let now = Millis::new(10_000);
        Self {
            admission: Admission::default(),
            now,
            slow: None,
            priority: 1,
            route: ("full", Millis::new(200)),
            services,
            running: Vec::new(),
        }
    }

    /// Runs a query each `gap` ms, whose replies take the latency that `latency` gives for its number;
    /// returns how many were admitted and rejected.
    pub(crate) fn run(
        &mut self,
        duration: u64,
        gap: u64,
        latency: impl Fn(u64) -> u64,
    ) -> (u64, u64) {
        let (mut admitted, mut rejected) = (0, 0);
        for number in 0..duration / gap {
            self.now += Millis::new(gap);
            self.end_due();
            let query = self.query(number as u32);
            match self.admission.request(self.now, query, &self.services) {
                Decision::Admitted(permit) => {
                    admitted += 1;
                    let end = self.now + Millis::new(latency(number));
                    self.running.push((end, (number % 3, self.now), permit));
                }
                Decision::Queued(_) => {}
                Decision::Rejected(_) => rejected += 1,
            }
        }
        (admitted, rejected)
    }

    /// A query that arrives now.
    pub(crate) fn query(&self, retry_spread: u32) -> Query {
        let (arrived, (route, target)) = (self.now, self.route);
        Query {
            group: 1,
            route: route.into(),
            priority: self.priority,
            tenant: None,
            arrived,
            answer_by: arrived + target,
            deadline: arrived + Millis::new(1_000),
            max_missing: 1,
            retry_spread,
        }
    }

    /// Asks for queries that arrive now and do not end, until one has to wait.
    pub(crate) fn ask_until_queued(&mut self) -> Ticket {
        loop {
            let query = self.query(0);
            match self.admission.request(self.now, query, &self.services) {
                Decision::Admitted(permit) => {
                    self.running.push((Millis::MAX, (0, self.now), permit));
                }
                Decision::Queued(ticket) => return ticket,
                Decision::Rejected(rejection) => panic!("{rejection:?}"),
            }
        }
    }

    /// Ends the queries that run.
    pub(crate) fn end_all(&mut self) {
        for (_, _, permit) in std::mem::take(&mut self.running) {
            self.admission.finish(self.now, permit, Outcome::Failed);
        }
    }

    fn end_due(&mut self) {
        let running = std::mem::take(&mut self.running);
        for (end, (upstream, sent_at), permit) in running {
            if end > self.now {
                self.running.push((end, (upstream, sent_at), permit));
                continue;
            }
            for (index, service) in self.services.iter().enumerate() {
                let slow = self.slow.filter(|(_, services)| index < *services);
                let upstream = slow.map_or(upstream, |(slow, _)| slow);
                let sent_at = if slow.is_some() { sent_at - SLOW_MS } else { sent_at };
                let reply = Reply { service, upstream, route: "full", sent_at, round_trip_ms: 0.0 };
                self.admission.record_reply(end, &reply);
            }
            self.admission.finish(end, permit, Outcome::InTime);
        }
    }
}
