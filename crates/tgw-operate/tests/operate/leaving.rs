//! Tests of the report on an upstream that leaves.

use crate::timeline::log_file;
use tgw_operate::leaving;

const LOG: &str = r#"
v1 {"timestamp":"2026-01-01T00:00:01.000Z","message":"upstream changed","upstream":"i-1","draining":false}
v2 {"timestamp":"2026-01-01T00:00:02.000Z","message":"upstream removed","upstream":"i-1","revision":80}
v1 {"timestamp":"2026-01-01T00:00:02.250Z","message":"upstream removed","upstream":"i-1","from":"10.0.0.2:7060"}
v1 {"timestamp":"2026-01-01T00:00:02.250Z","message":"upstream out of service","upstream":"i-1","last_write_ms":40,"in_flight":2}
v1 {"timestamp":"2026-01-01T00:00:02.250Z","message":"upstream doubted","upstream":"i-1","left_ms":900}
v1 {"timestamp":"2026-01-01T00:00:05.300Z","message":"send to a doubted upstream","request":"r","upstream":"i-1","known_ms":3050}
v1 {"timestamp":"2026-01-01T00:00:05.400Z","message":"send ended after its upstream had left","request":"q","upstream":"i-1","written_ms":3190}
v1 {"timestamp":"2026-01-01T00:00:05.500Z","message":"upstream back in service","upstream":"i-1"}
v1 {"timestamp":"2026-01-01T00:00:06.000Z","message":"upstream doubted no more","upstream":"i-1","late_ms":2850}
v3 {"timestamp":"2026-01-01T00:00:06.500Z","message":"upstream removed","upstream":"i-2","revision":81}
"#;

// A request reaches an upstream seconds after it left. The report must show when each VM learned of that, which VM
// retained the upstream, and by how much it exceeded the retention period.
#[test]
fn report_shows_when_vms_learned_and_which_sent_afterwards() {
    let report = leaving::read("i-1", &[log_file("leaving.log", LOG)]).unwrap();
    assert_eq!((report.vms["v2"].after_ms, &*report.vms["v2"].from), (0, "the store"));
    let late = &report.vms["v1"];
    assert_eq!((late.after_ms, &*late.from, late.late_ms), (250, "10.0.0.2:7060", 2_850));
    assert_eq!(late.sends, [("r".to_owned(), 3_050)]);
    assert_eq!((late.last_write_ms, late.in_flight), (Some(40), 2));
    assert_eq!(late.ended_later, [("q".to_owned(), 3_190)]);
    assert_eq!(late.returns, ["2026-01-01T00:00:05.500Z"]);
    assert_eq!(report.unaware, ["v3"]);
    let text = report.to_string();
    assert!(text.contains("sent r there, 3050 ms after it had heard"), "{text}");
}
