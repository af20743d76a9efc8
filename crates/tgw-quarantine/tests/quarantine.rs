//! Tests of what tells requests apart that end upstreams.

mod fingerprint;
