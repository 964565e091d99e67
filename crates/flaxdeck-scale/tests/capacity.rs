//! The capacity page over made-up slopes: its arithmetic, its marks, and that no figure is typed.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::{Path, PathBuf};

use flaxdeck_scale::capacity::estimate::{Known, Lines};
use flaxdeck_scale::capacity::figures::{count, figure, span};
use flaxdeck_scale::capacity::page::page;
use flaxdeck_scale::capacity::rows::{Basis, RoleRows, Row, roles};
use flaxdeck_scale::capacity::state::states;
use flaxdeck_scale::fit::line::{Line, SlopeRow, lines, rows};
use flaxdeck_scale::fit::{NO_FAULT, fit};
use flaxdeck_scale::measurement::{DECISIONS_RUN, Distribution, Measurement, Metric, Role};
use flaxdeck_scale::target::{self, Target};
use flaxdeck_scale::{charts, files};

const TARGET: &str = include_str!("../../../docs/capacity/target.plan");
const TEMPLATE: &str = include_str!("../src/capacity/page.md.j2");

fn the_target() -> Target {
    target::read("target.plan", TARGET).expect("it has no faults")
}

struct Made {
    rows: Vec<Measurement>,
}

impl Made {
    /// One metric over three sizes of each driver, as that function tells.
    fn metric(
        &mut self,
        distribution: Distribution,
        role: Role,
        metric: Metric,
        kind: &str,
        value: impl Fn(f64, f64, f64) -> f64,
    ) {
        for (forwarders, hosts, purges) in [
            (100, 100, 33.0),
            (300, 100, 33.0),
            (1_000, 100, 33.0),
            (1_000, 1_000, 33.0),
            (1_000, 3_500, 33.0),
            (1_000, 3_500, 100.0),
            (1_000, 3_500, 330.0),
        ] {
            self.rows.push(Measurement {
                run: "made-1".into(),
                seed: 1,
                distribution,
                hollow_forwarders: forwarders,
                hosts,
                purges_per_s: purges,
                planners: 2,
                fault: NO_FAULT.into(),
                role,
                metric,
                kind: kind.into(),
                value: value(f64::from(forwarders), f64::from(hosts), purges),
            });
        }
    }
}

/// A forwarder that hears 80 bytes a purge under each event and 3 by digests, beside reports that don't change.
fn made() -> Vec<Measurement> {
    use Distribution::{Digest, EachEvent};
    let mut made = Made { rows: Vec::new() };
    let hollow = Role::HollowForwarder;
    made.metric(
        EachEvent,
        hollow,
        Metric::BytesInPerS,
        "feed",
        |_, _, purges| 80.0 * purges,
    );
    made.metric(
        EachEvent,
        hollow,
        Metric::BytesOutPerS,
        "reports",
        |_, _, _| 1_000.0,
    );
    made.metric(
        Digest,
        hollow,
        Metric::BytesInPerS,
        "deliveries",
        |_, _, purges| 3.0 * purges,
    );
    made.metric(
        Digest,
        hollow,
        Metric::BytesOutPerS,
        "reports",
        |_, _, _| 400.0,
    );
    made.metric(
        EachEvent,
        hollow,
        Metric::ResidentBytes,
        "",
        |_, hosts, _| 1e6 + 500.0 * hosts,
    );
    made.metric(
        EachEvent,
        hollow,
        Metric::DelayWorstMs,
        "",
        |forwarders, _, _| forwarders,
    );
    made.metric(
        EachEvent,
        Role::Planner,
        Metric::Cores,
        "",
        |forwarders, _, purges| 0.01 + forwarders * (purges * 1e-6 + 1e-5),
    );
    made.metric(
        EachEvent,
        Role::Planner,
        Metric::Descriptors,
        "",
        |forwarders, _, _| 20.0 + forwarders,
    );
    made.rows
}

fn with_roles<T>(measurements: &[Measurement], look: impl FnOnce(&[RoleRows]) -> T) -> T {
    let (target, lines): (Target, Vec<Line>) = (the_target(), fit(measurements));
    look(&roles(Basis {
        lines: Lines::new(&lines, 2),
        target: &target,
    }))
}

fn row<'a>(roles: &'a [RoleRows], title: &str, what: &str) -> &'a Row {
    let role = roles
        .iter()
        .find(|role| role.title.starts_with(title))
        .expect("the role stands there");
    role.rows
        .iter()
        .find(|row| row.what.starts_with(what))
        .expect("the row stands there")
}

fn near(found: Option<f64>, truth: f64) {
    let found = found.expect("there is a value");
    assert!(
        (found - truth).abs() <= 1e-6 * truth.abs(),
        "{found} is not {truth}"
    );
}

fn slopes(measurements: &[Measurement]) -> Vec<SlopeRow> {
    fit(measurements).iter().flat_map(rows).collect()
}

#[test]
fn all_control_of_a_dispatcher_is_the_sum_of_its_kinds_over_its_budget() {
    with_roles(&made(), |roles| {
        let row = row(roles, "Dispatcher", "all control");
        near(row.estimates[0].value, 80.0 * 330.0 + 1_000.0);
        near(row.ratios()[0], 27_400.0 / 2_000.0);
        assert!(row.is_over(0));
        near(row.estimates[1].value, 3.0 * 330.0 + 400.0);
        near(row.ratios()[1], 1_390.0 / 2_000.0);
        assert!(!row.is_over(1));
        let known = Known::Slope {
            factor: 1.0,
            held: vec![],
            partly_at: None,
        };
        assert_eq!(
            row.estimates[0].known, known,
            "purges and hosts were measured at the target's own sizes"
        );
    });
}

#[test]
fn memory_is_told_by_slope() {
    with_roles(&made(), |roles| {
        let row = row(roles, "Dispatcher", "resident memory");
        near(row.estimates[0].value, 1e6 + 500.0 * 3_500.0);
        near(row.ratios()[0], 2.75e6 / 64e6);
        assert_eq!(
            row.estimates[1].known,
            Known::NotShown,
            "nobody measured it under digests"
        );
    });
}

#[test]
fn a_planner_is_drawn_out_by_the_factor_of_its_dispatchers() {
    with_roles(&made(), |roles| {
        let whole = row(roles, "Planner that hears", "processor time");
        near(
            whole.estimates[0].value,
            0.01 + 14_000.0 * (330.0 * 1e-6 + 1e-5),
        );
        let known = Known::Slope {
            factor: 14.0,
            held: vec![],
            partly_at: None,
        };
        assert_eq!(whole.estimates[0].known, known);
        assert!(whole.is_over(0), "over the one core that its thread has");
        let group = row(roles, "Planner where", "processor time");
        near(
            group.estimates[0].value,
            0.01 + 1_167.0 * (330.0 * 1e-6 + 1e-5),
        );
        assert!(!group.is_over(0));
        let descriptors = row(roles, "Planner that hears", "descriptors");
        near(descriptors.ratios()[0], 14_020.0 / 4_096.0);
    });
}

#[test]
fn machines_needed_follow_from_what_one_core_serves() {
    with_roles(&made(), |roles| {
        let row = row(roles, "The machines", "machines needed");
        let served: f64 = (1.0 - 0.01) / (330.0 * 1e-6 + 1e-5);
        near(row.estimates[0].value, (28_000.0 / served).ceil());
        let all = row_of_cores(roles);
        near(
            all.estimates[0].value,
            24.0 * (0.01 + 1_167.0 * (330.0 * 1e-6 + 1e-5)),
        );
    });
}

fn row_of_cores(roles: &[RoleRows]) -> &Row {
    row(roles, "The machines", "processor time")
}

#[test]
fn a_delay_is_not_drawn_out() {
    with_roles(&made(), |roles| {
        let row = row(roles, "Dispatcher", "an event until");
        near(row.estimates[0].value, 1_000.0);
        assert!(
            matches!(row.estimates[0].known, Known::Measured { at } if at.forwarders == 1_000.0)
        );
    });
}

#[test]
fn what_was_measured_below_the_target_is_a_least_value() {
    let mut rows = made();
    rows.retain(|row| row.metric != Metric::Descriptors || row.hollow_forwarders == 1_000);
    with_roles(&rows, |roles| {
        let whole = row(roles, "Planner that hears", "descriptors");
        assert!(
            matches!(whole.estimates[0].known, Known::MeasuredBelow { .. }),
            "{whole:?}"
        );
    });
    let page = page(&slopes(&rows), &the_target()).expect("it can be made");
    assert!(page.contains("| at least 1,020 descriptors | at least 0.249 | measured at 1,000 forwarders, 3,500 hosts, 330 purges/s only |"));
}

#[test]
fn runs_with_other_planners_are_not_added_up() {
    let mut rows = made();
    let others = rows.clone().into_iter().flat_map(|row| {
        [1, 4].map(|planners| Measurement {
            planners,
            value: 3.0 * row.value,
            ..row.clone()
        })
    });
    rows.extend(others.collect::<Vec<_>>());
    with_roles(&rows, |roles| {
        near(
            row(roles, "Dispatcher", "all control").estimates[0].value,
            27_400.0,
        );
    });
    rows.retain(|row| row.planners != 2);
    with_roles(&rows, |roles| {
        near(
            row(roles, "Dispatcher", "all control").estimates[0].value,
            3.0 * 27_400.0,
        );
    });
}

#[test]
fn rows_of_a_role_are_sorted_by_their_part_of_the_budget() {
    with_roles(&made(), |roles| {
        for role in roles {
            let weights: Vec<f64> = role
                .rows
                .iter()
                .map(|row| row.ratios().into_iter().flatten().fold(-1.0, f64::max))
                .collect();
            assert!(
                weights.is_sorted_by(|one, other| one >= other),
                "{}: {weights:?}",
                role.title
            );
        }
    });
}

#[test]
fn one_lost_event_is_over_a_budget_of_none() {
    let mut rows = made();
    let lost = |value| Measurement {
        role: Role::HollowForwarder,
        metric: Metric::EventsLost,
        value,
        ..rows[0].clone()
    };
    let (none, some) = (
        lost(0.0),
        Measurement {
            hollow_forwarders: 30,
            ..lost(2.0)
        },
    );
    rows.extend([none, some]);
    with_roles(&rows, |roles| {
        let row = row(roles, "Dispatcher", "lost");
        assert!(row.is_over(0), "though it was lost at a smaller size");
        assert!(!row.is_over(1), "not shown is not over");
    });
}

#[test]
fn state_is_held_against_the_bounds_of_the_code() {
    let (target, lines) = (the_target(), fit(&made()));
    let states = states(Basis {
        lines: Lines::new(&lines, 2),
        target: &target,
    });
    let ratio = |what: &str| {
        states
            .iter()
            .find(|state| state.what.starts_with(what))
            .and_then(|state| state.ratio())
    };
    let of_role = |role: &str, what: &str| {
        let of_role = states.iter().filter(|state| state.role.starts_with(role));
        of_role
            .filter(|state| state.what.starts_with(what))
            .find_map(|state| state.ratio())
    };
    near(ratio("dispatchers heard, if"), 14_000.0 / 4_096.0);
    let in_store = |what: &str| {
        let in_store = states
            .iter()
            .filter(|state| state.role.starts_with("an operator's store"));
        in_store
            .filter(|state| state.what == what)
            .find_map(|state| state.ratio())
    };
    near(
        in_store("purges, as far back as one may take"),
        330.0 * 6.8 / 32_768.0,
    );
    near(
        in_store("purges, as far back as one may take, in a purge storm"),
        3_300.0 * 6.8 / 32_768.0,
    );
    near(
        of_role("a batch", "purges, as far back as one may take, in"),
        3_300.0 * 6.8 / 4_096.0,
    );
    near(
        ratio("events told in messages"),
        (330.0 + 82_000.0 / 86_400.0) / 320.0,
    );
}

#[test]
fn the_page_marks_what_is_over_and_says_what_is_not_shown() {
    let page = page(&slopes(&made()), &the_target()).expect("it can be made");
    assert!(page.contains(
        "| all control, both ways, with headers (estimated) | 2,000 bytes/s | 27,400 bytes/s | **13.7 over** |"
    ));
    assert!(page.contains("| 1,390 bytes/s | 0.695 |"), "{page}");
    assert!(
        page.contains("| **13.7** |"),
        "it stands among what is over"
    );
    assert!(page.contains("not shown"));
    let run = "| made | 1 | `flaxdeck scale scale/made.scale --out docs/capacity/runs/made.csv` |";
    assert!(
        page.contains(run),
        "runs are named with their seeds and their command"
    );
}

#[test]
fn the_page_without_runs_shows_nothing() {
    let page = page(&[], &the_target()).expect("it can be made");
    assert!(page.contains("Nothing, of what is shown."));
    assert!(page.contains("None yet."));
    let over: Vec<&str> = page
        .lines()
        .filter(|line| line.contains("over**"))
        .collect();
    assert!(
        over.iter().all(|line| line.contains("`MAX_")),
        "only bounds of the code are over: {over:?}"
    );
}

/// What stands in the template outside of fields and tags.
fn plain_words(template: &str) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{").into_iter().chain(rest.find("{%")).min() {
        out.push_str(&rest[..at]);
        let end = if rest[at..].starts_with("{{") {
            "}}"
        } else {
            "%}"
        };
        let after = rest[at..]
            .find(end)
            .map_or(rest.len(), |to| at + to + end.len());
        rest = &rest[after..];
    }
    out + rest
}

#[test]
fn no_figure_is_typed_into_the_template() {
    let words = plain_words(TEMPLATE);
    assert!(words.contains("How to read it"));
    let typed: Vec<&str> = words
        .lines()
        .filter(|line| line.chars().any(|letter| letter.is_ascii_digit()))
        .collect();
    assert_eq!(typed, Vec::<&str>::new());
}

#[test]
fn figures_have_three_digits() {
    let written: Vec<String> = [
        0.0,
        0.000_123_45,
        0.02,
        1.0,
        6.8,
        13.7,
        929.4,
        27_449.0,
        4_600_000_000.0,
    ]
    .map(figure)
    .to_vec();
    assert_eq!(
        written,
        [
            "0",
            "0.000123",
            "0.02",
            "1",
            "6.8",
            "13.7",
            "929",
            "27,400",
            "4,600,000,000"
        ]
    );
    assert_eq!(count(14_000.0), "14,000");
    assert_eq!(count(930.0), "930");
    assert_eq!(
        [0.45, 6.8, 3_600.0, 86_400.0].map(span),
        ["450 ms", "6.8 s", "60 min", "24 h"]
    );
}

#[test]
fn decisions_share_the_core_at_the_mean_rate_of_requests() {
    let mut rows = made();
    rows.push(Measurement {
        run: "decisions-1".into(),
        role: Role::Dispatcher,
        metric: Metric::DecisionMicros,
        kind: "hosts=3500 purges=0".into(),
        value: 1_100.0,
        ..rows[0].clone()
    });
    with_roles(&rows, |roles| {
        let row = row(roles, "Dispatcher", "decisions at the mean rate");
        near(row.estimates[0].value, 1_100e-6 * 13e6 / 14_000.0);
        assert!(row.is_over(0));
        assert_eq!(row.estimates[0].known, Known::MeasuredApart);
    });
    let page = page(&slopes(&rows), &the_target()).expect("it can be made");
    assert!(
        page.contains("--example decisions -- docs/capacity/target.plan"),
        "they have a command of their own"
    );
}

fn beside_docs(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(path)
}

#[test]
fn the_committed_slopes_are_fitted_to_the_committed_runs() {
    let (runs, slopes) = (
        beside_docs("capacity/runs"),
        beside_docs("capacity/slopes.csv"),
    );
    assert_eq!(
        runs.exists(),
        slopes.exists(),
        "runs and slopes stand together"
    );
    if runs.exists() {
        let measurements = files::read_runs(&runs).expect("they can be read");
        let rows: Vec<SlopeRow> = fit(&measurements).iter().flat_map(rows).collect();
        let fitted = files::table_text(&rows).expect("it can be written");
        let committed = files::read_text(&slopes).expect("it can be read");
        assert!(
            fitted == committed,
            "write them anew: flaxdeck capacity fit docs/capacity/runs docs/capacity/slopes.csv"
        );
    }
}

#[test]
fn the_committed_page_is_what_the_command_prints() {
    let (page_file, slopes) = (
        beside_docs("CAPACITY.md"),
        beside_docs("capacity/slopes.csv"),
    );
    assert_eq!(
        page_file.exists(),
        slopes.exists(),
        "the page and its slopes stand together"
    );
    if page_file.exists() {
        let rows: Vec<SlopeRow> = files::read_table(&slopes).expect("it can be read");
        for run in rows.iter().flat_map(|row| row.runs.split(';')) {
            let name = run.rsplit_once('-').map_or(run, |(name, _)| name);
            let file = beside_docs(&format!("../scale/{name}.scale"));
            assert!(
                name == DECISIONS_RUN || file.exists(),
                "{run} can be repeated: there is a scale file for it"
            );
        }
        for (file, title) in charts::titles(&lines(&rows)) {
            assert!(
                beside_docs("capacity").join(file).exists(),
                "the chart of {title} is there"
            );
        }
        let computed = page(&rows, &the_target()).expect("it can be made");
        let committed = files::read_text(&page_file).expect("it can be read");
        assert!(
            computed == committed,
            "write it anew, by the command that it names itself"
        );
    }
}
