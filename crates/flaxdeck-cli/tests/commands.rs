//! Output and exit codes of the sub-commands `check`, `forward` and `plan`, run as processes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::PathBuf;
use std::process::{Command, Output};

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
    let key = temporary_file("short.key", "abc");
    let name = PathBuf::from(&key)
        .file_name()
        .unwrap()
        .to_string_lossy()
        .into_owned();
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
    let good = temporary_file("good.key", &"0f".repeat(32));
    let name = PathBuf::from(&good)
        .file_name()
        .unwrap()
        .to_string_lossy()
        .into_owned();
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
