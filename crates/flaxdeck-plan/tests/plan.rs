//! The plan file that is shipped with the program is valid; invalid files are rejected with position and reason.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_plan::read;

const SHIPPED_PLAN: &str = include_str!("../../../deploy/two-levels.plan");

/// Returns all faults of a plan as text; none if it is valid.
fn faults(text: &str) -> Vec<String> {
    read("x.plan", text)
        .err()
        .into_iter()
        .flatten()
        .map(|fault| fault.to_string())
        .collect()
}

#[test]
fn the_shipped_plan_is_valid() {
    let plan = read("two-levels.plan", SHIPPED_PLAN).unwrap();
    assert_eq!(plan.planners.len(), 2);
    assert_eq!(
        (plan.reserve, plan.grant_ms, plan.has_slot),
        (0.0, 1_200, true)
    );
}

#[test]
fn each_fault_is_reported_with_its_position_and_reason() {
    let valid = "(plan (key-file \"k\") (planners (planner (name a) (listen \"127.0.0.1:1\")))";
    // The @ marks the position of the fault.
    for (rest, expected) in [
        (
            " @(sharez (reserve 0.1)))",
            "sharez is not known in (plan ...), an unknown word",
        ),
        (
            " (shares (reserve @0.95)))",
            "it must be a number from 0 to 0.9",
        ),
        (
            " (shares (reserve 0.1) @(reserve 0.2)))",
            "reserve is set a second time",
        ),
        (" (shares (seated @maybe)))", "it must be yes or no"),
        (
            " @(shares (seated no)))",
            "has only the quota that others lend",
        ),
        (" (reports @(every-ms 900)))", "must outlast three reports"),
        (" (blind (after-ms @100)))", "from 300 to 60000"),
        (" (blind @(after-ms 3000) (then go-on)))", "remove after-ms"),
        (" @(state))", "folder is missing"),
        (" (state (folder @here)))", "put it in double quotes"),
        (" (log (format @xml)))", "one of: text json"),
        (" (log @json))", "json in (log ...) is not a form"),
        (" (log (levels @info)))", "put it in double quotes"),
        ("@", "not an S-expression"),
    ] {
        let text = format!("{valid}{rest}");
        let column = text.find('@').unwrap() + 1;
        let found = faults(&text.replace('@', ""));
        assert!(found.len() == 1, "{rest}: {found:?}");
        let position = format!("x.plan:1:{column}: ");
        // A syntax error is reported where the parser stopped.
        let is_at_position = found[0].starts_with(&position) || rest == "@";
        assert!(
            is_at_position && found[0].contains(expected),
            "{rest}: expected {position}{expected}, got {}",
            found[0]
        );
    }
    assert!(faults(&format!("{valid}) (plan)"))[0].contains("2 forms at the top level"));
    assert!(
        faults("(plan (planers))")
            .iter()
            .any(|fault| fault.contains("write planners"))
    );
    assert_eq!(faults("(plan)").len(), 2, "all faults are reported at once");
    let listen = "(plan (key-file \"k\") (planners (planner (name a) (listen \"here:1\"))))";
    assert!(faults(listen)[0].contains("host names are not resolved"));
    let twice = valid.replacen(
        "(planner ",
        "(planner (name a) (listen \"127.0.0.1:2\")) (planner ",
        1,
    ) + ")";
    assert!(faults(&twice)[0].contains("name a is used twice"));
}
