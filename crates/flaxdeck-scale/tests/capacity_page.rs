//! The rendered capacity page: marks for values over budget, no figures typed into the template, and committed files
//! that match what the commands print.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod made_up_capacity;

use std::path::{Path, PathBuf};

use flaxdeck_scale::capacity::estimate::Provenance;
use flaxdeck_scale::capacity::figures::{count, duration, figure};
use flaxdeck_scale::capacity::page::page;
use flaxdeck_scale::fit::fit;
use flaxdeck_scale::fit::line::{SlopeRow, lines, rows};
use flaxdeck_scale::measurement::{DECISIONS_RUN, Measurement, Metric, Role};
use flaxdeck_scale::{charts, files};

use made_up_capacity::{assert_near, committed_target, made_up_rows, row, slopes, with_roles};

const TEMPLATE: &str = include_str!("../src/capacity/page.md.j2");

#[test]
fn the_page_marks_values_over_budget_and_values_not_shown() {
    let page = page(&slopes(&made_up_rows()), &committed_target()).expect("the page is rendered");
    assert!(page.contains(
        "| all control, both ways, with headers (estimated) | 2,000 bytes/s | 27,400 bytes/s | **13.7 over** |"
    ));
    assert!(page.contains("| 1,390 bytes/s | 0.695 |"), "{page}");
    assert!(
        page.contains("| **13.7** |"),
        "the row is missing in the table of values over budget"
    );
    assert!(page.contains("not shown"));
    let run = "| made | 1 | `flaxdeck scale scale/made.scale --out docs/capacity/runs/made.csv` |";
    assert!(
        page.contains(run),
        "the table of runs lacks the run with its seed and command"
    );
}

#[test]
fn the_page_without_runs_shows_no_values() {
    let page = page(&[], &committed_target()).expect("the page is rendered");
    assert!(page.contains("Nothing, of what is shown."));
    assert!(page.contains("None yet."));
    let over: Vec<&str> = page
        .lines()
        .filter(|line| line.contains("over**"))
        .collect();
    assert!(
        over.iter().all(|line| line.contains("`MAX_")),
        "without runs only limits in the code can be exceeded: {over:?}"
    );
}

/// Returns the text of a template without its `{{ }}` fields and `{% %}` tags.
fn literal_text(template: &str) -> String {
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
fn the_template_contains_no_digits() {
    let text = literal_text(TEMPLATE);
    assert!(text.contains("How to read it"));
    let typed: Vec<&str> = text
        .lines()
        .filter(|line| line.chars().any(|letter| letter.is_ascii_digit()))
        .collect();
    assert_eq!(
        typed,
        Vec::<&str>::new(),
        "these lines of the template contain digits"
    );
}

#[test]
fn figures_are_formatted_with_three_significant_digits() {
    let formatted: Vec<String> = [
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
        formatted,
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
        [0.45, 6.8, 3_600.0, 86_400.0].map(duration),
        ["450 ms", "6.8 s", "60 min", "24 h"]
    );
}

#[test]
fn decisions_cost_is_computed_at_the_mean_request_rate() {
    let mut rows = made_up_rows();
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
        assert_near(row.estimates[0].value, 1_100e-6 * 13e6 / 14_000.0);
        assert!(row.is_over(0));
        assert_eq!(row.estimates[0].provenance, Provenance::MeasuredSeparately);
    });
    let page = page(&slopes(&rows), &committed_target()).expect("the page is rendered");
    assert!(
        page.contains("--example decisions -- docs/capacity/target.plan"),
        "the runs of decisions have their own command"
    );
}

fn docs_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(path)
}

#[test]
fn the_committed_slopes_are_fitted_to_the_committed_runs() {
    let (runs, slopes) = (docs_path("capacity/runs"), docs_path("capacity/slopes.csv"));
    assert_eq!(
        runs.exists(),
        slopes.exists(),
        "either both or neither of runs and slopes are committed"
    );
    if runs.exists() {
        let measurements = files::read_runs(&runs).expect("the committed runs are read");
        let rows: Vec<SlopeRow> = fit(&measurements).iter().flat_map(rows).collect();
        let fitted = files::table_text(&rows).expect("the slopes are written as CSV");
        let committed = files::read_text(&slopes).expect("the committed slopes are read");
        assert!(
            fitted == committed,
            "slopes.csv is outdated; regenerate it: flaxdeck capacity fit docs/capacity/runs docs/capacity/slopes.csv"
        );
    }
}

#[test]
fn the_committed_page_is_what_the_command_prints() {
    let (page_file, slopes) = (docs_path("CAPACITY.md"), docs_path("capacity/slopes.csv"));
    assert_eq!(
        page_file.exists(),
        slopes.exists(),
        "either both or neither of the page and its slopes are committed"
    );
    if page_file.exists() {
        let rows: Vec<SlopeRow> =
            files::read_table(&slopes).expect("the committed slopes are read");
        for run in rows.iter().flat_map(|row| row.runs.split(';')) {
            let name = run.rsplit_once('-').map_or(run, |(name, _)| name);
            let file = docs_path(&format!("../scale/{name}.scale"));
            assert!(
                name == DECISIONS_RUN || file.exists(),
                "run {run} can't be repeated: there is no scale file for it"
            );
        }
        for (file, title) in charts::titles(&lines(&rows)) {
            assert!(
                docs_path("capacity").join(file).exists(),
                "the chart file of {title:?} is missing"
            );
        }
        let computed = page(&rows, &committed_target()).expect("the page is rendered");
        let committed = files::read_text(&page_file).expect("the committed page is read");
        assert!(
            computed == committed,
            "CAPACITY.md is outdated; regenerate it with the command given on the page"
        );
    }
}
