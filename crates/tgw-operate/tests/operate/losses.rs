//! Tests of the count of requests that were not answered completely and in time.

use crate::timeline::log_file;
use tgw_operate::losses::{self, Count, Options};

const LOG: &str = r#"
{"timestamp":"2026-01-01T00:01:03.5Z","message":"send ended","request":"lost","upstream":"i-1","service":"s","result":"shed"}
{"timestamp":"2026-01-01T00:01:03.6Z","message":"send ended","request":"lost","upstream":"i-1","service":"s","result":"shed"}
{"timestamp":"2026-01-01T00:01:03.7Z","message":"send withheld","request":"lost","service":"s","why":"retry","reason":"budget used up"}
{"timestamp":"2026-01-01T00:01:03.8Z","message":"request","request":"lost","outcome":"failed","cause":"too few parts","got":7,"parts":10,"late":false}
{"timestamp":"2026-01-01T00:01:04.1Z","message":"send ended","request":"saved","upstream":"i-2","service":"s","result":"shed"}
{"timestamp":"2026-01-01T00:01:04.2Z","message":"request","request":"saved","outcome":"merged","cause":"","got":10,"parts":10,"late":false}
{"timestamp":"2026-01-01T00:01:05.0Z","message":"request","request":"part","outcome":"merged","cause":"","got":9,"parts":10,"late":false}
{"timestamp":"2026-01-01T00:01:06.0Z","message":"request","request":"slow","outcome":"forwarded","cause":"","got":0,"parts":1,"late":true}
{"timestamp":"2026-01-01T00:01:07.0Z","message":"request","request":"no","outcome":"refused","cause":"no configuration"}
{"timestamp":"2026-01-01T00:01:08.0Z","message":"log lines left out in the last interval","left_out":4}
"#;

#[test]
fn each_lost_request_counts_once_per_category() {
    let losses = losses::read(&[log_file("losses.log", LOG)], &Options::default()).unwrap();
    let one = Count { failed: 1, ..Count::default() };
    assert_eq!(losses.all, Count { failed: 1, refused: 1, late: 1, partial: 1 });
    assert_eq!(losses.causes["too few parts"], one);
    assert_eq!(losses.windows[&62], one);
    assert_eq!(losses.windows[&64], Count { partial: 1, ..Count::default() });
    assert_eq!(losses.upstreams["i-1 shed"], one);
    assert!(!losses.upstreams.contains_key("i-2 shed"), "its request succeeded with another send");
    assert_eq!(losses.services["s"], one);
    assert_eq!(losses.withheld["retry: budget used up"], one);
    assert_eq!(losses.left_out, 4);
    let text = losses.to_string();
    assert!(text.starts_with("4 log lines were left out"), "{text}");
    assert!(text.contains("00:01:02"), "{text}");
}

const OVERLOAD_LOG: &str = r#"
{"timestamp":"2026-01-01T00:01:03.5Z","message":"query rejected","request":"a","priority":1,"tenant":"mill","reason":"backlog","waited_ms":0}
{"timestamp":"2026-01-01T00:01:03.5Z","message":"query rejected","request":"a","priority":1,"tenant":"mill","reason":"backlog","waited_ms":0}
{"timestamp":"2026-01-01T00:01:03.5Z","message":"request","request":"a","outcome":"refused","cause":"overload","got":0,"parts":9}
{"timestamp":"2026-01-01T00:01:03.6Z","message":"query rejected","request":"b","priority":0,"reason":"expired","waited_ms":40}
{"timestamp":"2026-01-01T00:01:03.6Z","message":"request","request":"b","outcome":"refused","cause":"overload","got":0,"parts":9,"waited_ms":40}
{"timestamp":"2026-01-01T00:01:03.7Z","message":"request","request":"c","outcome":"merged","cause":"","got":9,"parts":9,"late":true,"waited_ms":30}
{"timestamp":"2026-01-01T00:01:03.8Z","message":"request","request":"d","outcome":"merged","cause":"","got":9,"parts":9,"late":false,"waited_ms":30}
"#;

// Guards against an overload whose tables name neither the decisions nor the tenants that they met.
#[test]
fn rejections_are_counted_by_reason_and_tenant() {
    let file = log_file("losses-overload.log", OVERLOAD_LOG);
    let losses = losses::read(&[file], &Options::default()).unwrap();
    let one = Count { refused: 1, ..Count::default() };
    assert_eq!(losses.causes["overload"], Count { refused: 2, ..Count::default() });
    assert_eq!(losses.rejections["backlog"], one);
    assert_eq!(losses.rejections["expired"], one);
    assert_eq!(losses.rejected["priority 1, mill"], one);
    assert_eq!(losses.rejected["priority 0"], one);
    assert_eq!(losses.waited, Count { refused: 1, late: 1, ..Count::default() });
    let text = losses.to_string();
    assert!(text.contains("query rejected: reason"), "{text}");
}

// Half of a day's requests only probe which configuration is in force. Where they find no route, thousands of harmless
// refusals hide the few requests that callers really lost.
#[test]
fn requests_of_an_excluded_cause_are_not_counted() {
    let options = Options { leave_out: vec!["too few parts".into()] };
    let losses = losses::read(&[log_file("losses-left-out.log", LOG)], &options).unwrap();
    assert_eq!(losses.all, Count { failed: 0, refused: 1, late: 1, partial: 1 });
    assert!(!losses.causes.contains_key("too few parts"));
    assert!(
        !losses.upstreams.contains_key("i-1 shed"),
        "failed sends of excluded requests must not count"
    );
}
