//! Tests of what operators do.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod leaving;
mod losses;
mod story;
mod table;
