//! The program's sub-commands as people and scripts meet them.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::PathBuf;
use std::process::{Command, Output};

fn flaxdeck(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_flaxdeck"))
        .env_remove("GW_CONFIG")
        .args(words)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> String {
    let path =
        std::env::temp_dir().join(format!("flaxdeck-commands-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path.to_string_lossy().into_owned()
}

fn own(path: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
        .to_string_lossy()
        .into_owned()
}

#[test]
fn a_good_plan_is_good_and_is_explained() {
    let done = flaxdeck(&["check", &own("deploy/two-levels.plan"), "--explain"]);
    assert!(done.status.success(), "{done:?}");
    let said = text(&done.stdout);
    assert!(
        said.contains("good")
            && said.contains("a grant may be used for                        1200 ms"),
        "{said}"
    );
}

#[test]
fn a_faulty_plan_ends_with_2_and_names_file_line_column_and_how_to_mend() {
    let plan = file(
        "faulty.plan",
        "(plan\n  (key-file \"k\")\n  (planers (planner (name a) (listen \"127.0.0.1:1\"))))\n",
    );
    let done = flaxdeck(&["check", &plan]);
    assert_eq!(done.status.code(), Some(2));
    let said = text(&done.stderr);
    assert!(
        said.contains(&format!("{plan}:3:3: planers is not known in (plan ...)")),
        "{said}"
    );
    assert!(said.contains("write planners"), "{said}");
    let done = flaxdeck(&["check", &plan, "--json"]);
    assert_eq!(done.status.code(), Some(2));
    let json: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
    assert_eq!(
        (&json["good"], &json["faults"][1]["line"]),
        (&false.into(), &3.into()),
        "{json}"
    );
}

#[test]
fn what_cannot_start_says_why_in_a_line_and_ends_with_2() {
    let plan = file(
        "keyless.plan",
        "(plan (key-file \"none.key\") (planners (planner (name a) (listen \"127.0.0.1:0\"))))",
    );
    let config = own("examples/toy/config.json");
    let words = ["forward", "--config", &config, "--plan", &plan];
    let done = flaxdeck(&words);
    assert_eq!(done.status.code(), Some(2));
    assert!(
        text(&done.stderr).contains("none.key: cannot be read"),
        "{done:?}"
    );
    let key = file("short.key", "abc");
    let name = PathBuf::from(&key)
        .file_name()
        .unwrap()
        .to_string_lossy()
        .into_owned();
    let plan = file(
        "short.plan",
        &format!(
            "(plan (key-file \"{name}\") (planners (planner (name a) (listen \"127.0.0.1:0\"))))"
        ),
    );
    let done = flaxdeck(&["plan", "--config", &config, "--plan", &plan, "--name", "a"]);
    assert_eq!(done.status.code(), Some(2));
    assert!(
        text(&done.stderr).contains("a key has 64 hex digits"),
        "{done:?}"
    );
    let good = file("good.key", &"0f".repeat(32));
    let name = PathBuf::from(&good)
        .file_name()
        .unwrap()
        .to_string_lossy()
        .into_owned();
    let plan = file(
        "good.plan",
        &format!(
            "(plan (key-file \"{name}\") (planners (planner (name a) (listen \"127.0.0.1:0\"))))"
        ),
    );
    let done = flaxdeck(&["plan", "--config", &config, "--plan", &plan, "--name", "b"]);
    assert_eq!(done.status.code(), Some(2));
    assert!(
        text(&done.stderr).contains("there is no planner b, there are: a"),
        "{done:?}"
    );
    let broken = file("broken.json", "{\n  \"listen\": }");
    let done = flaxdeck(&["plan", "--config", &broken, "--plan", &plan, "--name", "a"]);
    assert_eq!(done.status.code(), Some(2));
    assert!(text(&done.stderr).contains("broken.json:2:"), "{done:?}");
}
