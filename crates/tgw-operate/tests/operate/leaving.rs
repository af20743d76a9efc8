//! Tests of the account of an upstream that leaves.

use crate::story::file;
use tgw_operate::leaving;

const LOG: &str = r#"
v1 {"timestamp":"2026-01-01T00:00:01.000Z","message":"upstream changed","upstream":"i-1","draining":false}
v2 {"timestamp":"2026-01-01T00:00:02.000Z","message":"upstream removed","upstream":"i-1","revision":80}
v1 {"timestamp":"2026-01-01T00:00:02.250Z","message":"upstream removed","upstream":"i-1","from":"10.0.0.2:7060"}
v1 {"timestamp":"2026-01-01T00:00:02.250Z","message":"upstream doubted","upstream":"i-1","left_ms":900}
v1 {"timestamp":"2026-01-01T00:00:05.300Z","message":"send to a doubted upstream","request":"r","upstream":"i-1","known_ms":3050}
v1 {"timestamp":"2026-01-01T00:00:06.000Z","message":"upstream doubted no more","upstream":"i-1","late_ms":2850}
v3 {"timestamp":"2026-01-01T00:00:06.500Z","message":"upstream removed","upstream":"i-2","revision":81}
"#;

// A request reaches an upstream seconds after it left. Who asks why has to see in one place which VM knew when, that
// one of them kept the upstream, and for how much too long.
#[test]
fn it_tells_who_knew_when_and_who_sent_all_the_same() {
    let leaving = leaving::read("i-1", &[file("leaving.log", LOG)]).unwrap();
    assert_eq!((leaving.vms["v2"].after_ms, &*leaving.vms["v2"].from), (0, "the store"));
    let late = &leaving.vms["v1"];
    assert_eq!((late.after_ms, &*late.from, late.late_ms), (250, "10.0.0.2:7060", 2_850));
    assert_eq!(late.sent, [("r".to_owned(), 3_050)]);
    assert_eq!(leaving.unaware, ["v3"]);
    let text = leaving.to_string();
    assert!(text.contains("sent r there, 3050 ms after it had heard"), "{text}");
}
