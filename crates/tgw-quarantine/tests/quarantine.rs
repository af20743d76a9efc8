//! Tests of what tells requests apart that end upstreams, and of what is done with them.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod fingerprint;
mod ledger;
mod words;
