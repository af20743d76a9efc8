//! Tests of the limits of a process: its log, its memory for bodies, and the queries that it gathers.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use std::{
    io::{self, Write},
    sync::mpsc,
};
use tgw_clock::Millis;
use tgw_gateway::{
    gather_load::GatherLoad,
    log::{self, BUFFER_LINES, Category, Limiter, Log},
    memory::Budget,
};

/// A pipe without a reader: the first write blocks until the test drops the sender.
struct BlockedPipe(mpsc::Receiver<()>);

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the test has dropped the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against logging that blocks requests. The log collector hangs while thousands of lines are
// written; each call must return at once, and lines that do not fit into the buffer are dropped and
// counted.
#[test]
fn logging_into_a_blocked_pipe_drops_lines_instead_of_blocking() {
    const LINES: u64 = 20_000;
    let (unblock, blocked) = mpsc::channel();
    let Log { subscriber, dropped_lines, guard } = log::open(BlockedPipe(blocked), "info").unwrap();
    tracing::subscriber::with_default(subscriber, || {
        for request in 0..LINES {
            tracing::info!(request, "send ended");
        }
    });
    // The writer holds one line, the buffer the others.
    let kept = LINES - dropped_lines.count();
    assert!(kept <= BUFFER_LINES as u64 + 1, "{kept} kept");
    assert!(kept >= BUFFER_LINES as u64, "{kept} kept");
    drop(unblock);
    drop(guard);
}

// Guards against hedges displacing the lines that name the cause of a failure. While a shard is
// slow, hedges flood the log; the answers of failed requests must still be logged.
#[test]
fn detail_lines_do_not_displace_outcome_lines() {
    let limiter = Limiter::default();
    let now = Millis::new(5_500);
    let details = (0..10_000).filter(|_| limiter.allows(now, Category::Detail)).count();
    let routine = (0..10_000).filter(|_| limiter.allows(now, Category::Routine)).count();
    assert!((0..250).all(|_| limiter.allows(now, Category::Outcome)));
    assert!(details < 500 && routine < 10, "{details} and {routine} in a second");
    assert_eq!(limiter.left_out(), 10_000 - details as u64);
    assert!(limiter.allows(now + Millis::new(1_000), Category::Detail));
}

// Guards against rejected queries displacing the lines that name the cause of a failure, and the lines that say since
// when the VM is overloaded.
#[test]
fn lines_about_rejections_displace_neither_outcomes_nor_levels() {
    let limiter = Limiter::default();
    let now = Millis::new(5_500);
    let rejections = (0..10_000).filter(|_| limiter.allows(now, Category::Rejection)).count();
    assert!(rejections < 500, "{rejections} in a second");
    assert!((0..250).all(|_| limiter.allows(now, Category::Outcome)));
    assert!(limiter.allows(now, Category::Level));
    assert_eq!(limiter.left_out(), 10_000 - rejections as u64);
}

// Guards against the process being killed for lack of memory. Callers send bodies until the budget
// is used up; the next reservation fails, and succeeds once another one is released.
#[test]
fn memory_for_bodies_is_limited_and_released() {
    let budget = Budget::new(1_000);
    let mut first = budget.reserve(600).unwrap();
    assert!(budget.reserve(600).is_none());
    first.shrink(100);
    let second = budget.reserve(600).unwrap();
    drop((first, second));
    assert_eq!(budget.free_bytes(), 1_000);
}

// Guards against a gatherer that rejects queries while its processor is free, because others wait for admission there,
// and against one that holds any number of waiting ones.
#[test]
fn waiting_queries_are_bounded_but_do_not_count_as_running() {
    let load = GatherLoad::new(500);
    assert!(!load.is_full(31, 0));
    assert!(load.is_full(32, 0));
    assert!(!load.is_full(127, 100));
    assert!(load.is_full(128, 128));
    assert!(GatherLoad::new(0).is_full(1, 0), "a VM without stated power takes one at a time");
}

// Guards against callers of a full gatherer that return at a fixed interval and sustain the overload: the delay has to
// grow with the queries' duration and with the callers that are expected back, within bounds, and shrink again.
#[test]
fn retry_delay_follows_the_load_of_a_gatherer() {
    let mut load = GatherLoad::new(1_000);
    assert_eq!(load.retry_after(64), Millis::new(50));
    for _ in 0..100 {
        load.record_end(Millis::new(200));
    }
    let slow = load.retry_after(64);
    assert!(slow > Millis::new(190) && slow <= Millis::new(200), "{slow}");
    (0..128).for_each(|_| load.record_rejection());
    assert!(load.retry_after(64) > slow + Millis::new(190));
    (0..10_000).for_each(|_| load.record_rejection());
    assert_eq!(load.retry_after(64), Millis::new(650));
    (0..200).for_each(|_| load.tick());
    assert_eq!(load.retry_after(64), slow);
}
