//! Reads the forms of a plan file, one function for each.

mod planners;

use crate::form::{Fault, Faults, Form, only, root};
use crate::plan::{EventDelivery, LogFormat, Plan, WithoutContact};
use planners::read_planners;

/// The longest time between two reports, in milliseconds: a forwarder that says nothing for a second more counts as lost.
const MAX_IDLE_MS: f64 = 1_500.0;
/// The least time between two batches of events, in milliseconds.
const MIN_BATCH_MS: f64 = 100.0;
/// The longest time between two batches of events, in milliseconds.
const MAX_BATCH_MS: f64 = 2_000.0;
/// What holds where the file tells none.
const DEFAULT_BATCH_MS: u32 = 1_000;
/// A grant has to outlast so many reports.
const REPORTS_PER_GRANT: u32 = 3;

/// The forms of a plan.
const FORMS: &[&str] = &[
    "key-file", "planners", "shares", "reports", "events", "blind", "state", "log",
];

/// Reads one form into the plan.
type SectionReader = fn(&Form, &mut Plan, &mut Faults);

/// Reads a file's text; `file` is the name that faults bear.
///
/// # Errors
///
/// All faults of the file, in its order.
pub fn read(file: &str, text: &str) -> Result<Plan, Vec<Fault>> {
    let mut faults = Faults::of(file);
    let mut plan = Plan::default();
    root(text, "plan", &mut faults, |form, faults| {
        read_plan(&mut plan, form, faults);
    });
    faults.or(plan)
}

fn read_plan(plan: &mut Plan, root: &Form, faults: &mut Faults) {
    let mut forms = root.forms(FORMS, faults);
    match only(&mut forms, "key-file", faults) {
        Some(form) => plan.key_file = form.text(faults).map(|(text, _)| text).unwrap_or_default(),
        None => {
            let why = "instances that share no key would believe anybody";
            faults.add(
                root.place,
                "key-file is missing".into(),
                why,
                "add (key-file \"name.key\")",
            );
        }
    }
    match only(&mut forms, "planners", faults) {
        Some(form) => plan.planners = read_planners(&form, faults),
        None => {
            let mend = "add (planners (planner (name p1) (listen \"127.0.0.1:7501\")))";
            faults.add(
                root.place,
                "planners is missing".into(),
                "nobody would guide",
                mend,
            );
        }
    }
    let readers: [(&str, SectionReader); 6] = [
        ("shares", read_shares),
        ("reports", read_reports),
        ("events", read_events),
        ("blind", read_without_contact),
        ("state", read_state),
        ("log", read_log),
    ];
    for (word, read) in readers {
        if let Some(form) = only(&mut forms, word, faults) {
            read(&form, plan, faults);
        }
    }
}

fn read_shares(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["reserve", "granted-ms", "drift", "seated"], faults);
    let mut take = |word: &str, faults: &mut Faults| only(&mut inner, word, faults);
    let reserve = take("reserve", faults).and_then(|form| form.number(0.0, 0.9, faults));
    plan.reserve = reserve.unwrap_or(plan.reserve);
    let granted = take("granted-ms", faults).and_then(|form| form.number(300.0, 10_000.0, faults));
    plan.grant_ms = granted.map_or(plan.grant_ms, |ms| ms as u32);
    let drift = take("drift", faults).and_then(|form| form.number(0.0, 0.2, faults));
    plan.drift = drift.unwrap_or(plan.drift);
    plan.has_slot = take("seated", faults)
        .and_then(|form| form.flag(faults))
        .unwrap_or(true);
    if !plan.has_slot && plan.reserve == 0.0 {
        let why = "a forwarder without a seat lives on what others lend alone";
        faults.add(
            form.place,
            "seated no with reserve 0".into(),
            why,
            "set (reserve 0.1) or more everywhere",
        );
    }
}

fn read_reports(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["every-ms", "idle-ms"], faults);
    let every = only(&mut inner, "every-ms", faults);
    let idle = only(&mut inner, "idle-ms", faults);
    let place = every.as_ref().map(|form| form.place);
    let every = every.and_then(|form| form.number(20.0, 5_000.0, faults));
    plan.report_every_ms = every.map_or(plan.report_every_ms, |ms| ms as u32);
    if plan.report_every_ms * REPORTS_PER_GRANT > plan.grant_ms {
        let what = format!(
            "reports every {} ms with grants of {} ms",
            plan.report_every_ms, plan.grant_ms
        );
        let why = "a grant must outlast three reports, or every lost one takes it away";
        faults.add(
            place.unwrap_or(form.place),
            what,
            why,
            "report more often or grant for longer",
        );
    }
    let least = f64::from(plan.report_every_ms);
    let idle = idle.and_then(|form| form.number(least, MAX_IDLE_MS, faults));
    plan.report_idle_ms = idle.map_or(plan.report_every_ms, |ms| ms as u32);
}

fn read_events(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["by", "batch-ms"], faults);
    let by = only(&mut inner, "by", faults);
    let by = by.and_then(|form| form.choice(&["each-event", "digest"], faults));
    let batch = only(&mut inner, "batch-ms", faults);
    if by != Some("digest") {
        if let Some(batch) = batch {
            let why = "only digests come in batches";
            faults.add(
                batch.place,
                "batch-ms without (by digest)".into(),
                why,
                "take batch-ms out",
            );
        }
        return;
    }
    let batch = batch.and_then(|form| form.number(MIN_BATCH_MS, MAX_BATCH_MS, faults));
    plan.events = EventDelivery::Digest {
        batch_ms: batch.map_or(DEFAULT_BATCH_MS, |ms| ms as u32),
    };
    if plan.planners.is_empty() {
        let why = "digests come from planners";
        faults.add(
            form.place,
            "(by digest) without planners".into(),
            why,
            "list planners, or take events out",
        );
    }
}

fn read_without_contact(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["after-ms", "then"], faults);
    let after = only(&mut inner, "after-ms", faults);
    let then =
        only(&mut inner, "then", faults).and_then(|form| form.choice(&["bounce", "go-on"], faults));
    if then == Some("go-on") {
        if let Some(after) = after {
            let why = "going on needs no time";
            faults.add(
                after.place,
                "after-ms beside (then go-on)".into(),
                why,
                "take after-ms out",
            );
        }
        plan.without_contact = WithoutContact::GoOn;
        return;
    }
    // Below the coordinator's second, only planners' messages confirm the list on a quiet day.
    if let Some(ms) = after.and_then(|form| form.number(300.0, 60_000.0, faults)) {
        plan.without_contact = WithoutContact::RejectAfter { ms };
    }
}

fn read_state(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    match only(&mut form.forms(&["folder"], faults), "folder", faults) {
        Some(folder) => plan.state_folder = folder.text(faults).map(|(text, _)| text),
        None => {
            let why = "state needs a place that outlasts the process";
            faults.add(
                form.place,
                "folder is missing".into(),
                why,
                "add (folder \"state\"), or take state out",
            );
        }
    }
}

fn read_log(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["format", "levels"], faults);
    let format =
        only(&mut inner, "format", faults).and_then(|form| form.choice(&["text", "json"], faults));
    plan.log_format = if format == Some("json") {
        LogFormat::Json
    } else {
        LogFormat::Text
    };
    let levels = only(&mut inner, "levels", faults).and_then(|form| form.text(faults));
    if let Some((levels, _)) = levels {
        plan.log_levels = levels;
    }
}
