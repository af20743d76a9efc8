//! Tests of the limits of a process: its log and its memory for bodies.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use std::{
    io::{self, Write},
    sync::mpsc,
};
use tgw_clock::Millis;
use tgw_gateway::{
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
