//! Tests of the tanagergw binary, run as a child process.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // Tests fail by panicking.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tgw_demo::{Client, Fleet, Size};
use tgw_standin::size::{Spread, User};

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergw");
/// Limit for each wait of a test.
const TEST_TIMEOUT_S: Duration = Duration::from_secs(60);

/// Starts the stand-in platform and upstreams without any VM.
fn start_stand_ins() -> Fleet {
    Fleet::open(Size {
        user: User::Aspen,
        vms: 0,
        spread: Spread::Together,
        distances: false,
        seed: 3,
        sample: 1,
        record: None,
    })
    .expect("stand-ins")
}

/// Writes a settings file for this platform, in which all listeners get free ports.
fn write_settings(platform: SocketAddr) -> PathBuf {
    let example = include_str!("../../../examples/tanagergw.ini");
    let mut text = example.replace("127.0.0.1:7900", &platform.to_string());
    for port in ["7800", "7801", "7802"] {
        text = text.replace(&format!("127.0.0.1:{port}"), "127.0.0.1:0");
    }
    let path = std::env::temp_dir().join(format!("tanagergw-test-{}.ini", std::process::id()));
    std::fs::write(&path, text).expect("a settings file");
    path
}

/// Starts `serve` and returns the process and its callers address, which is read from its log.
fn start_serve(settings: &PathBuf) -> (Child, SocketAddr) {
    let mut child = Command::new(BINARY)
        .args(["serve", "--settings"])
        .arg(settings)
        .env("NO_COLOR", "1")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let mut log = BufReader::new(child.stderr.take().expect("the log of serve"));
    let mut line = String::new();
    let addr = loop {
        line.clear();
        assert!(log.read_line(&mut line).expect("the log of serve") > 0, "serve ended early");
        if let Some((_, rest)) = line.split_once("callers=") {
            let text = rest.split_whitespace().next().expect("an address");
            break text.parse().expect("an address");
        }
    };
    // Keep reading the log: the process would block on a full pipe.
    std::thread::spawn(move || log.lines().for_each(drop));
    (child, addr)
}

async fn search(client: Client, addr: SocketAddr, number: u32) -> (u16, serde_json::Value) {
    let body = format!("{{\"n\":{number}}}").into_bytes().into();
    let path = "/v1/publican-panel/search";
    let called = client.call(hyper::Method::POST, addr, path, &[], body, TEST_TIMEOUT_S).await;
    let (status, body) = called.expect("the connection must not break");
    (status.as_u16(), serde_json::from_slice(&body).expect("an answer"))
}

// Guards against broken connections for callers when a VM is replaced while a hundred of their searches run.
#[test]
fn sigterm_breaks_no_running_search_and_exits_with_zero() {
    const SEARCHES: u32 = 100;
    let fleet = start_stand_ins();
    // The long deadline keeps a slow machine from turning a broken request into a missed deadline or the reverse.
    let mut table = User::Aspen.table();
    table.rows.values_mut().for_each(|row| row.deadline_ms = 60_000);
    let value = serde_json::to_value(&table).expect("a table");
    fleet.platform.write("table", "main", value);
    let settings = write_settings(fleet.platform_addr);
    let (mut child, addr) = start_serve(&settings);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let client = Client::default();
        let deadline = Instant::now() + TEST_TIMEOUT_S;
        while search(client.clone(), addr, 0).await.0 != 200 {
            assert!(Instant::now() < deadline, "serve did not become ready for queries");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.upstreams.iter().for_each(|u| u.set(|k| k.median_ms = 40.0));
        let started = || fleet.upstreams.iter().map(|u| u.journal().searches).sum::<u64>();
        let before = started();
        let running: Vec<_> =
            (0..SEARCHES).map(|n| tokio::spawn(search(client.clone(), addr, n))).collect();
        while started() < before + 20 {
            assert!(Instant::now() < deadline, "the searches did not start");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let signalled = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        assert!(signalled.expect("the signal").success());
        for search in running {
            let (status, answer) = search.await.expect("no panic");
            assert_eq!(status, 200, "{answer}");
            assert_eq!(answer["coverage"]["missing"], serde_json::json!([]), "{answer}");
        }
    });
    assert!(child.wait().expect("serve exits").success(), "serve must exit with zero");
    let _ = std::fs::remove_file(settings);
    fleet.close();
}

#[test]
fn invalid_settings_exit_with_two_and_print_every_finding() {
    let path = std::env::temp_dir().join(format!("tanagergw-wrong-{}.ini", std::process::id()));
    std::fs::write(&path, "[vm]\nname = a\nregion = x\nplace = 1\n").expect("a file");
    let output =
        Command::new(BINARY).args(["settings", "check"]).arg(&path).output().expect("runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for expected in
        [":3: vm.region: not a number", ":4: vm.place: unknown key", "peer.key: missing"]
    {
        assert!(text.contains(expected), "{expected} is not in:\n{text}");
    }
    let _ = std::fs::remove_file(path);
}

#[test]
fn bench_gives_the_same_figures_for_the_same_seed() {
    let run = || {
        let args = [
            "bench",
            "mangled",
            "--user",
            "aspen",
            "--policy",
            "tier",
            "--seconds",
            "0.3",
            "--json",
        ];
        let output = Command::new(BINARY).args(args).output().expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("text")
    };
    let first = run();
    assert!(first.contains("\"p99_ms\""));
    assert_eq!(first, run());
}
