//! Tests of fingerprints and of the quarantine of requests that end upstreams.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod answers;
mod attribution;
mod fingerprint;
mod ledger;
mod reports;
mod snapshot;
