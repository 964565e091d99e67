//! The capacity page: its marks, that no figure of it is typed, and that the committed one is current.

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
fn the_page_marks_what_is_over_and_says_what_is_not_shown() {
    let page = page(&slopes(&made_up_rows()), &committed_target()).expect("it can be made");
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
    let page = page(&[], &committed_target()).expect("it can be made");
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
        [0.45, 6.8, 3_600.0, 86_400.0].map(duration),
        ["450 ms", "6.8 s", "60 min", "24 h"]
    );
}

#[test]
fn decisions_share_the_core_at_the_mean_rate_of_requests() {
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
    let page = page(&slopes(&rows), &committed_target()).expect("it can be made");
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
        let computed = page(&rows, &committed_target()).expect("it can be made");
        let committed = files::read_text(&page_file).expect("it can be read");
        assert!(
            computed == committed,
            "write it anew, by the command that it names itself"
        );
    }
}
