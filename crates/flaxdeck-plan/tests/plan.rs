//! The operator's file: the one that comes with the program is good, faulty ones are refused with place and reason.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_plan::read;

const GOOD: &str = include_str!("../../../deploy/two-levels.plan");

fn faults(text: &str) -> Vec<String> {
    read("x.plan", text)
        .err()
        .into_iter()
        .flatten()
        .map(|fault| fault.to_string())
        .collect()
}

#[test]
fn the_file_that_comes_with_the_program_is_good() {
    let plan = read("two-levels.plan", GOOD).unwrap();
    assert_eq!(plan.planners.len(), 2);
    assert_eq!(
        (plan.reserve, plan.grant_ms, plan.has_slot),
        (0.0, 1_200, true)
    );
}

#[test]
fn each_faulty_file_is_refused_with_the_place_and_the_reason() {
    let good = "(plan (key-file \"k\") (planners (planner (name a) (listen \"127.0.0.1:1\")))";
    // The @ marks where the fault is.
    for (rest, what) in [
        (
            " @(sharez (reserve 0.1)))",
            "sharez is not known in (plan ...), a misspelt word",
        ),
        (" (shares (reserve @0.95)))", "it is a number from 0 to 0.9"),
        (
            " (shares (reserve 0.1) @(reserve 0.2)))",
            "reserve is set a second time",
        ),
        (" (shares (seated @maybe)))", "it is yes or no"),
        (" @(shares (seated no)))", "lives on what others lend alone"),
        (" (reports @(every-ms 900)))", "must outlast three reports"),
        (" (blind (after-ms @100)))", "from 300 to 60000"),
        (
            " (blind @(after-ms 3000) (then go-on)))",
            "take after-ms out",
        ),
        (" @(state))", "folder is missing"),
        (" (state (folder @here)))", "put it in double quotes"),
        (" (log (format @xml)))", "one of: text json"),
        (" (log @json))", "json stands alone"),
        (" (log (levels @info)))", "put it in double quotes"),
        ("@", "not an S-expression"),
    ] {
        let text = format!("{good}{rest}");
        let column = text.find('@').unwrap() + 1;
        let found = faults(&text.replace('@', ""));
        assert!(found.len() == 1, "{rest}: {found:?}");
        let place = format!("x.plan:1:{column}: ");
        let at = found[0].starts_with(&place) || rest == "@";
        assert!(
            at && found[0].contains(what),
            "{rest}: {place} {}",
            found[0]
        );
    }
    assert!(faults(&format!("{good}) (plan)"))[0].contains("2 forms stand at the top"));
    assert!(
        faults("(plan (planers))")
            .iter()
            .any(|fault| fault.contains("write planners"))
    );
    assert_eq!(faults("(plan)").len(), 2, "all faults come together");
    let listen = "(plan (key-file \"k\") (planners (planner (name a) (listen \"here:1\"))))";
    assert!(faults(listen)[0].contains("names are not looked up"));
    let twice = good.replacen(
        "(planner ",
        "(planner (name a) (listen \"127.0.0.1:2\")) (planner ",
        1,
    ) + ")";
    assert!(faults(&twice)[0].contains("name a is taken"));
}
