# An entry point for each habit; every recipe is one command that also works by hand.

# Everything that a submission is checked for.
ci:
    .ci/run

# The tests of KNOWN-RED.txt, which fail by a known fault, and no others.
red:
    cargo test --workspace --locked -- --ignored

# The main job: stand-ins, VMs, queries, faults, a report.
demo *ARGS:
    cargo run --release -p tanagergw -- demo {{ARGS}}

# Experiments under the virtual clock.
bench *ARGS:
    cargo run --release -p tanagergw -- bench {{ARGS}}

# Forwarding under load at its worst: crude sends, the tier, an oracle.
overload *ARGS:
    cargo run --release -p tanagergw -- bench overload {{ARGS}}

# Upstreams that leave, beside faults of the store, of VMs and of the ways between.
leaving *ARGS:
    cargo run --release -p tanagergw -- bench leaving {{ARGS}}

# Failure domains that are evacuated, beside the same faults.
evacuations *ARGS:
    cargo run --release -p tanagergw -- bench evacuations {{ARGS}}

# What a cold upstream gets from all VMs together.
warmup *ARGS:
    cargo run --release -p tanagergw -- bench warmup {{ARGS}}

# What units of state and work cost, for docs/CAPACITY.md.
slopes:
    cargo run --release -p tanagergw -- bench slopes

# Records the committed traces and golden sessions anew after a meant change of decisions.
traces:
    traces/record

# Real processes under faults; `just soak --minutes 5` draws fresh seeds.
soak *ARGS:
    cargo build --release -p tanagergw
    cargo run --release -p tgw-soak -- {{ARGS}}

# Requests of tenants that all VMs admit together, beside faults.
limits *ARGS:
    cargo run --release -p tanagergw -- bench limits {{ARGS}}
