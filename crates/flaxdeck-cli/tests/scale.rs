//! Small scale runs with real processes: up to fifty hollow forwarders, two planners and a stand-in coordinator.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::Path;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use flaxdeck_scale::measurement::{Metric, Role};
use flaxdeck_scale::options::{MessageCount, RunOptions};
use flaxdeck_scale::run::{RunResult, play};
use flaxdeck_scale::scenario;

const SMALL: &str =
    "(scale (name \"small\") (seed 3) (sizes (hollow 50) (processes 2) (hosts 100) (planners 2))
    (rates (purges 33) (host-changes 2)) (times (settle-s 1) (window-s 5) (drain-s 3)))";
/// Seconds' worth of messages by which the counts of both sides may differ when they are read. Reports, their answers
/// and messages of the coordinator may be in flight, or only one side may have written them to its counters file.
const MAX_COUNT_LAG_S: f64 = 0.7;

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_flaxdeck"))
}

fn play_scenario(text: &str) -> RunResult {
    let scenario = scenario::read("small.scale", text).unwrap();
    let (point, seed, fault) = (scenario.points[0], scenario.seed, scenario.fault);
    let options = RunOptions {
        scenario: &scenario,
        point,
        seed,
        fault,
        keeps_files: false,
        binary: binary(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(play(&options, &|_| ())).unwrap()
}

fn is_alive(process: u32) -> bool {
    Path::new(&format!("/proc/{process}")).exists()
}

#[test]
fn fifty_hollow_forwarders_receive_every_event_and_message_counts_match() {
    let start = Instant::now();
    let RunResult {
        rows,
        message_totals,
        processes,
    } = play_scenario(SMALL);
    let sum = |role, metric| rows.sum(role, metric).unwrap();
    let hollow = |metric| sum(Role::HollowForwarder, metric);
    let expected = hollow(Metric::EventsExpected);
    assert!(expected > 50.0 * 35.0 * 4.0, "{expected} events expected");
    let faulty_deliveries = [
        Metric::EventsLost,
        Metric::EventsReplaced,
        Metric::EventsDoubled,
        Metric::EventsOutOfOrder,
    ];
    assert_eq!(
        faulty_deliveries.map(hollow),
        [0.0; 4],
        "lost, replaced, doubled, out of order"
    );
    assert!(hollow(Metric::DelayWorstMs) >= hollow(Metric::DelayMedianMs));
    for side in &message_totals {
        let [sent, received] =
            [side.sent, side.received].map(|count: MessageCount| count.messages as f64);
        let per_s = match side.kind {
            "feed" => 52.0,
            "reports" | "guidance" => 50.0 * 2.0 * 5.0,
            _ => 0.0,
        };
        assert!(
            (sent - received).abs() <= per_s * MAX_COUNT_LAG_S,
            "message counts differ between the sides: {side:?}"
        );
        let [sent, received] = [side.sent, side.received]
            .map(|count: MessageCount| count.bytes as f64 / count.messages as f64);
        assert!(
            sent.is_nan() || (sent - received).abs() < 0.02 * sent,
            "mean bytes per message differ between the sides: {side:?}"
        );
    }
    let feed = message_totals
        .iter()
        .find(|side| side.kind == "feed")
        .unwrap();
    assert!(feed.received.messages > 52 * 35 * 5, "{feed:?}");
    assert!(
        processes.len() == 5 && !processes.iter().any(|process| is_alive(*process)),
        "{processes:?}"
    );
    assert!(
        start.elapsed() < Duration::from_secs(20),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn forwarders_restarted_from_a_current_configuration_lose_no_event_if_planners_lead_the_coordinator()
 {
    let text =
        "(scale (name \"small\") (seed 4) (sizes (hollow 40) (processes 2) (hosts 50) (planners 2))
        (rates (purges 60) (host-changes 2)) (times (settle-s 1) (window-s 6) (drain-s 3))
        (fault (kind region-restarted) (at-s 2) (lasts-s 0)))";
    let RunResult {
        rows, processes, ..
    } = play_scenario(text);
    let hollow = |metric| rows.sum(Role::HollowForwarder, metric).unwrap();
    assert!(
        hollow(Metric::EventsExpected) > 30.0 * 60.0 * 4.0,
        "{}",
        hollow(Metric::EventsExpected)
    );
    let faulty_deliveries = [
        Metric::EventsLost,
        Metric::EventsReplaced,
        Metric::EventsDoubled,
        Metric::EventsOutOfOrder,
    ];
    assert_eq!(
        faulty_deliveries.map(hollow),
        [0.0; 4],
        "lost, replaced, doubled, out of order"
    );
    assert!(
        !processes.iter().any(|process| is_alive(*process)),
        "{processes:?}"
    );
}

/// Returns the ids of a process's child processes.
fn children(process: u32) -> Vec<u32> {
    let children = std::fs::read_to_string(format!("/proc/{process}/task/{process}/children"))
        .unwrap_or_default();
    children
        .split_whitespace()
        .map(|id| id.parse().unwrap())
        .collect()
}

/// Waits until a condition holds. Returns whether it did within the limit.
fn holds_within(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}

#[test]
fn started_processes_end_when_the_run_is_interrupted_or_killed() {
    let file =
        std::env::temp_dir().join(format!("flaxdeck-scale-test-{}.scale", std::process::id()));
    std::fs::write(&file, SMALL).unwrap();
    for signal in ["INT", "KILL"] {
        let mut run = Command::new(binary());
        let mut run = run
            .arg("scale")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        assert!(
            holds_within(Duration::from_secs(15), || children(run.id()).len() == 5),
            "the run starts five processes"
        );
        let started = children(run.id());
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(run.id().to_string())
            .status()
            .unwrap();
        assert!(sent.success());
        run.wait().unwrap();
        let gone = || !started.iter().any(|process| is_alive(*process));
        assert!(
            holds_within(Duration::from_secs(5), gone),
            "{signal}: {started:?}"
        );
    }
    std::fs::remove_file(file).unwrap();
}

#[test]
fn size_over_a_bound_is_rejected_before_any_process_starts() {
    let file =
        std::env::temp_dir().join(format!("flaxdeck-scale-bound-{}.scale", std::process::id()));
    std::fs::write(
        &file,
        "(scale (name \"huge\") (sizes (hollow 5000) (hosts 3500)))",
    )
    .unwrap();
    let output = Command::new(binary())
        .arg("scale")
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_file(file).unwrap();
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(
        message.contains("the bound is 10000000000 over all processes"),
        "{message}"
    );
}
