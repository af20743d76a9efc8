use std::collections::VecDeque;
use tgw_clock::Millis;

/// Time for which each reply has to wait before the queue counts as standing: longer than the pauses
/// of upstreams (300 ms).
const INTERVAL_MS: Millis = Millis::new(350);
/// The same where half of the services of a query have such a queue: these do not pause at the same
/// time. Longer than the replies of a VM that was paused itself take to arrive.
const SHORT_INTERVAL_MS: Millis = Millis::new(120);
/// Replies in that time, at least: fewer may all have met one paused or slow upstream.
const MIN_REPLIES: u32 = 4;
/// Replies among these that waited; the others may be shed ones.
const MIN_WAITS: u32 = 2;
/// Time after which replies say nothing about the present queue.
const MAX_AGE_MS: Millis = Millis::new(1_000);
/// Number of latest replies over which the shortest wait is taken.
const MAX_REPLIES: usize = 12;

/// Replies that all waited longer than allowed, up to the latest one.
#[derive(Copy, Clone, Debug)]
struct Run {
    since: Millis,
    last: Millis,
    replies: u32,
    shed: u32,
    /// The upstream of the first reply, and whether another one replied since.
    upstream: u64,
    others: bool,
}

/// The wait of one reply.
#[derive(Copy, Clone, Debug)]
struct Wait {
    at: Millis,
    sent_at: Millis,
    wait_ms: f64,
}

/// Whether requests to one service wait at all its upstreams.
#[derive(Debug, Default)]
pub struct StandingQueue {
    run: Option<Run>,
    waits: VecDeque<Wait>,
}

impl StandingQueue {
    /// Records a reply of an upstream to a request sent at `sent_at` that waited `wait_ms` there, where
    /// `allowed_ms` are allowed.
    pub fn record_reply(
        &mut self,
        now: Millis,
        (upstream, sent_at): (u64, Millis),
        wait_ms: f64,
        allowed_ms: f64,
    ) {
        if self.waits.len() >= MAX_REPLIES {
            self.waits.pop_front();
        }
        self.waits.push_back(Wait { at: now, sent_at, wait_ms });
        if wait_ms <= allowed_ms {
            self.run = None;
            return;
        }
        let fresh = Run { since: now, last: now, replies: 0, shed: 0, upstream, others: false };
        let run = self.fresh_run(now).unwrap_or(fresh);
        let since = run.since.min(now);
        let replies = run.replies.saturating_add(1);
        let others = run.others || run.upstream != upstream;
        self.run = Some(Run { since, last: now, replies, others, ..run });
    }

    /// Records that an upstream shed a request. That counts only beside replies that waited: an
    /// upstream may shed requests while it is idle.
    pub fn record_shed(&mut self, now: Millis) {
        if let Some(run) = &mut self.run {
            run.last = run.last.max(now);
            run.shed = run.shed.saturating_add(1);
        }
    }

    /// Whether each reply of an interval waited longer than allowed, at more than one upstream.
    pub fn is_standing(&self, now: Millis) -> bool {
        self.has_run(now, INTERVAL_MS, MIN_REPLIES) && self.run.is_some_and(|run| run.others)
    }

    /// The same for a shorter interval or one upstream, which is evidence only where many services agree.
    pub fn is_building_up(&self, now: Millis) -> bool {
        self.has_run(now, SHORT_INTERVAL_MS, MIN_REPLIES)
            || self.has_run(now, INTERVAL_MS, MIN_REPLIES / 2)
    }

    /// Whether the latest reply waited longer than allowed.
    pub fn is_suspected(&self, now: Millis) -> bool {
        self.fresh_run(now).is_some()
    }

    /// The shortest wait in ms of the latest replies to requests that were sent from `since`, and
    /// the number of these; `None` without recent ones.
    pub fn shortest_wait(&self, now: Millis, since: Millis) -> Option<(f64, usize)> {
        let counts = |w: &&Wait| w.sent_at >= since && now - w.at <= MAX_AGE_MS;
        let waits = self.waits.iter().filter(counts).map(|w| (w.wait_ms, 1));
        waits.reduce(|(least, count), (wait, one)| (least.min(wait), count + one))
    }

    fn fresh_run(&self, now: Millis) -> Option<Run> {
        self.run.filter(|run| now - run.last <= MAX_AGE_MS)
    }

    fn has_run(&self, now: Millis, interval: Millis, replies: u32) -> bool {
        self.fresh_run(now).is_some_and(|run| {
            run.replies >= replies.min(MIN_WAITS)
                && run.replies.saturating_add(run.shed) >= replies
                && run.last - run.since >= interval
        })
    }
}
