//! Output and exit codes of the sub-commands `check`, `forward` and `plan`, run as processes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn flaxdeck(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_flaxdeck"))
        .env_remove("GW_CONFIG")
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn temporary_file(name: &str, content: &str) -> String {
    let path =
        std::env::temp_dir().join(format!("flaxdeck-commands-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path.to_string_lossy().into_owned()
}

/// Returns the last part of a path.
fn file_name(path: &str) -> String {
    let name = Path::new(path).file_name().unwrap();
    name.to_string_lossy().into_owned()
}

fn repository_file(path: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
        .to_string_lossy()
        .into_owned()
}

#[test]
fn check_accepts_a_valid_plan_and_explains_its_lease_times() {
    let output = flaxdeck(&[
        "check",
        &repository_file("deploy/two-levels.plan"),
        "--explain",
    ]);
    assert!(output.status.success(), "{output:?}");
    let printed = text(&output.stdout);
    assert!(
        printed.contains("good")
            && printed.contains("a grant may be used for                        1200 ms"),
        "{printed}"
    );
}

#[test]
fn check_prints_position_and_remedy_of_each_fault_and_exits_with_2() {
    let plan = temporary_file(
        "faulty.plan",
        "(plan\n  (key-file \"k\")\n  (planers (planner (name a) (listen \"127.0.0.1:1\"))))\n",
    );
    let output = flaxdeck(&["check", &plan]);
    assert_eq!(output.status.code(), Some(2));
    let printed = text(&output.stderr);
    assert!(
        printed.contains(&format!("{plan}:3:3: planers is not known in (plan ...)")),
        "{printed}"
    );
    assert!(printed.contains("write planners"), "{printed}");
    let output = flaxdeck(&["check", &plan, "--json"]);
    assert_eq!(output.status.code(), Some(2));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (&json["good"], &json["faults"][1]["line"]),
        (&false.into(), &3.into()),
        "{json}"
    );
}

#[test]
fn forward_and_plan_name_the_faulty_file_and_exit_with_2() {
    let plan = temporary_file(
        "keyless.plan",
        "(plan (key-file \"none.key\") (planners (planner (name a) (listen \"127.0.0.1:0\"))))",
    );
    let config = repository_file("examples/toy/config.json");
    let arguments = ["forward", "--config", &config, "--plan", &plan];
    let output = flaxdeck(&arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("none.key: cannot be read"),
        "{output:?}"
    );
    let name = file_name(&temporary_file("short.key", "abc"));
    let plan = temporary_file(
        "short.plan",
        &format!(
            "(plan (key-file \"{name}\") (planners (planner (name a) (listen \"127.0.0.1:0\"))))"
        ),
    );
    let output = flaxdeck(&["plan", "--config", &config, "--plan", &plan, "--name", "a"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("a key has 64 hex digits"),
        "{output:?}"
    );
    let name = file_name(&temporary_file("good.key", &"0f".repeat(32)));
    let plan = temporary_file(
        "good.plan",
        &format!(
            "(plan (key-file \"{name}\") (planners (planner (name a) (listen \"127.0.0.1:0\"))))"
        ),
    );
    let output = flaxdeck(&["plan", "--config", &config, "--plan", &plan, "--name", "b"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("there is no planner b, there are: a"),
        "{output:?}"
    );
    let broken = temporary_file("broken.json", "{\n  \"listen\": }");
    let output = flaxdeck(&["plan", "--config", &broken, "--plan", &plan, "--name", "a"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("broken.json:2:"),
        "{output:?}"
    );
}

/// Starts a forwarder with that plan, and returns what it logs until it listens.
fn log_of_start(config: &str, plan: &str) -> Vec<String> {
    let mut process = Command::new(env!("CARGO_BIN_EXE_flaxdeck"))
        .env_remove("GW_CONFIG")
        .args(["forward", "--config", config, "--plan", plan])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = Vec::new();
    for line in BufReader::new(process.stderr.take().unwrap()).lines() {
        let line = line.unwrap();
        let listens = line.contains("listening at");
        log.push(line);
        if listens {
            break;
        }
    }
    process.kill().unwrap();
    process.wait().unwrap();
    assert!(
        log.iter().any(|line| line.contains("listening at")),
        "the forwarder has ended before it listened: {log:?}"
    );
    log
}

// Guards against a plan by which a planner that hangs delays purges or drains beyond the graces of the settings, without
// anybody being told.
#[test]
fn forward_warns_of_batches_that_are_too_long_for_the_settings() {
    let text = std::fs::read_to_string(repository_file("examples/toy/config.json")).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    let config = temporary_file("late.json", &config.to_string());
    let key = file_name(&temporary_file("late.key", &"0f".repeat(32)));
    // A planner is left after two batches, 400 ms at least; the grace of purges is 500 ms.
    for (batch_ms, is_late) in [(100, false), (200, true), (1000, true)] {
        let plan = temporary_file(
            "late.plan",
            &format!(
                "(plan (key-file \"{key}\") (planners (planner (name a) (listen \"127.0.0.1:1\")))
                 (events (by digest) (batch-ms {batch_ms})))"
            ),
        );
        let log = log_of_start(&config, &plan);
        let warns = log.iter().any(|line| line.contains("if a planner hangs"));
        assert_eq!(warns, is_late, "batches of {batch_ms} ms: {log:?}");
    }
}
