//! Tests of the operator commands.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // Tests fail by panicking.

mod leaving;
mod losses;
mod spread;
mod table;
mod timeline;
