//! Tests of the report on how long changes take to reach all VMs.

use crate::timeline::log_file;
use tgw_operate::spread;

const LOG: &str = r#"
v1 {"timestamp":"2026-01-01T00:00:01.000Z","message":"start"}
v2 {"timestamp":"2026-01-01T00:00:01.100Z","message":"start"}
v1 {"timestamp":"2026-01-01T00:00:02.000Z","message":"configuration in force","config":7}
v2 {"timestamp":"2026-01-01T00:00:02.250Z","message":"configuration in force","config":7}
v3 {"timestamp":"2026-01-01T00:00:05.000Z","message":"start"}
v3 {"timestamp":"2026-01-01T00:00:05.400Z","message":"configuration in force","config":7}
v2 {"timestamp":"2026-01-01T00:00:06.000Z","message":"upstream out of service","upstream":"i-1"}
v3 {"timestamp":"2026-01-01T00:00:06.500Z","message":"upstream out of service","upstream":"i-1"}
"#;

// Guards against a VM that starts later and counts as slow to hear, and against one that never hears and is not shown.
#[test]
fn delays_are_of_vms_that_ran_when_the_change_came() {
    let report = spread::read(&[log_file("spread.log", LOG)]).unwrap();
    let configuration = &report.configurations[&7];
    assert_eq!((configuration.vms, configuration.unaware), (2, 0));
    assert_eq!((configuration.p50_ms, configuration.last_ms), (0, 250));
    let left = &report.departures["i-1"];
    assert_eq!((left.vms, left.unaware, left.last_ms, &*left.last_vm), (2, 1, 500, "v3"));
    let text = report.to_string();
    assert!(text.contains("upstream i-1 left"), "{text}");
}
