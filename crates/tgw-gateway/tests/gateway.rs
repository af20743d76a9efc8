//! Tests of what bounds a process: its log.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use std::{
    io::{self, Write},
    sync::mpsc,
};
use tgw_clock::Millis;
use tgw_gateway::{
    log::{self, Governor, Log, RING, Rank},
    room::Room,
};

/// A pipe that nobody reads: the first write waits until the test lets go.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the test has let go.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// The collector of logs hangs while upstreams fail by the thousand. Requests must go on: the thread that
// decides returns from each line at once, and what the ring cannot take is dropped and counted.
#[test]
fn a_flood_of_lines_into_a_stuck_pipe_holds_up_no_decision() {
    const LINES: u64 = 20_000;
    let (let_go, stuck) = mpsc::channel();
    let Log { subscriber, dropped, guard } = log::open(Stuck(stuck), "info").unwrap();
    tracing::subscriber::with_default(subscriber, || {
        for request in 0..LINES {
            tracing::info!(request, "send ended");
        }
    });
    // The writer holds one line and the ring the others.
    let kept = LINES - dropped.count();
    assert!(kept <= RING as u64 + 1, "{kept} kept");
    assert!(kept >= RING as u64, "{kept} kept");
    drop(let_go);
    drop(guard);
}

// Hedges flood the log while a shard is slow. The answer of each request that failed is still there: it
// is the line that names the cause.
#[test]
fn details_leave_room_for_outcomes() {
    let governor = Governor::default();
    let now = Millis::new(5_500);
    let details = (0..10_000).filter(|_| governor.allows(now, Rank::Detail)).count();
    let ordinary = (0..10_000).filter(|_| governor.allows(now, Rank::Ordinary)).count();
    assert!((0..250).all(|_| governor.allows(now, Rank::Outcome)));
    assert!(details < 500 && ordinary < 10, "{details} and {ordinary} in a second");
    assert_eq!(governor.left_out(), 10_000 - details as u64);
    assert!(governor.allows(now + Millis::new(1_000), Rank::Detail));
}

// Callers send bodies until the memory that is set aside for them is taken. The next one is turned away
// instead of the process being killed, and is taken as soon as another has gone.
#[test]
fn memory_for_bodies_is_bounded_and_given_back() {
    let room = Room::new(1_000);
    let mut first = room.take(600).unwrap();
    assert!(room.take(600).is_none());
    first.shrink(100);
    let second = room.take(600).unwrap();
    drop((first, second));
    assert_eq!(room.free(), 1_000);
}
