//! Replays the committed traces at both users' sizes, and checks that a replay detects differences.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // Tests fail by panicking.

use std::{
    fs::{self, File},
    io::{BufReader, Cursor},
    path::{Path, PathBuf},
};
use test_case::test_case;
use tgw_replay::{Outcome, replay};

fn traces_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn read_trace(name: &str) -> String {
    fs::read_to_string(traces_dir().join(name)).expect("a committed trace")
}

fn replay_text(text: &str) -> Outcome {
    replay(Cursor::new(text)).expect("a readable trace")
}

#[test]
fn committed_traces_replay_to_the_same_decisions() {
    let mut count = 0;
    for entry in fs::read_dir(traces_dir()).expect("the folder of traces") {
        let path = entry.expect("an entry").path();
        if path.extension().is_none_or(|e| e != "jsonl") {
            continue;
        }
        let file = BufReader::new(File::open(&path).expect("a trace"));
        let outcome = replay(file).expect("a readable trace");
        assert_eq!(outcome.differences, [], "{}", path.display());
        assert!(outcome.answers > 0, "{}: no caller was answered", path.display());
        count += 1;
    }
    assert!(count >= 13, "only {count} traces");
}

// Guards against a comparison that finds no difference although the core's outputs differ from the trace.
#[test_case("\"answer ", "\"answer 9"; "another caller answered")]
#[test_case("10/10", "9/10"; "another coverage")]
#[test_case("\"send t", "\"send x"; "another sending")]
fn changed_output_is_a_difference(from: &str, to: &str) {
    let text = read_trace("coimbra-steady.jsonl");
    let changed = text.replacen(from, to, 1);
    assert_ne!(text, changed, "the trace has no {from}");
    assert_eq!(replay_text(&changed).differences.len(), 1);
}

#[test]
fn missing_input_is_a_difference() {
    let text = read_trace("coimbra-steady.jsonl");
    let reply = text.lines().position(|l| l.contains("\"in\":{\"Done\"")).expect("a reply");
    let without: Vec<&str> =
        text.lines().enumerate().filter(|(i, _)| *i != reply).map(|(_, l)| l).collect();
    assert!(!replay_text(&without.join("\n")).differences.is_empty());
}

#[test_case("", "the trace is empty"; "empty")]
#[test_case("{}", "line 1"; "not a trace")]
#[test_case("nonsense", "line 1"; "not JSON")]
fn unreadable_trace_is_an_error_that_names_the_line(text: &str, expected: &str) {
    let error = replay(Cursor::new(text)).expect_err("unreadable");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn unreadable_line_is_an_error_with_its_number() {
    let text = read_trace("coimbra-steady.jsonl");
    let mut lines: Vec<&str> = text.lines().collect();
    lines[6] = "{\"t\":1,\"in\":{\"Nonsense\":1}}";
    let error = replay(Cursor::new(lines.join("\n"))).expect_err("unreadable");
    assert!(error.to_string().contains("line 7"), "{error}");
}

/// Decisions, answers and refusals of a recorded session, one a line with its time in ms.
fn render_session(name: &str) -> String {
    let shown_prefixes = ["note ", "answer ", "refuse "];
    let mut out = String::new();
    for line in read_trace(name).lines().skip(1).filter(|l| l.contains("\"out\"")) {
        let step: serde_json::Value = serde_json::from_str(line).expect("a step");
        let ms = step["t"].as_u64().expect("a time") as f64 / 1000.0;
        for text in step["out"].as_array().expect("outputs").iter().filter_map(|o| o.as_str()) {
            if shown_prefixes.iter().any(|s| text.starts_with(s)) {
                out += &format!("{ms:>9.3} {text}\n");
            }
        }
    }
    out
}

// Guards against a policy change that alters decisions by accident. The golden file shows each decision and answer of
// a session in the order in which an operator would read them. Run this test with UPDATE_GOLDEN=1 to write it anew.
#[test_case("coimbra-steady"; "coimbra steady")]
#[test_case("aspen-mangled"; "aspen mangled")]
fn rendered_session_equals_its_golden_file(name: &str) {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    let rendered = render_session(&format!("{name}.jsonl"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&golden, &rendered).expect("the golden file is written");
    }
    let committed = fs::read_to_string(&golden).expect("a golden file");
    assert!(rendered == committed, "{name} differs from its golden file");
    assert!(rendered.contains("answer "), "the session has no answer");
}
