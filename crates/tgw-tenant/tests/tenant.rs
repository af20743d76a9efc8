//! Tests of tenants, their keys and their limits.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod directory;
mod limit;
