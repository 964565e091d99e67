//! Reads a plan file, with one function for each top-level setting.

mod planners;

use crate::form::{Fault, Faults, Form, root, take_single};
use crate::plan::{EventDelivery, LogFormat, Plan, WithoutContact};
use planners::read_planners;

/// Maximum time between two reports, in milliseconds: a forwarder that stays silent for a second longer counts as lost.
const MAX_IDLE_MS: f64 = 1_500.0;
/// Minimum time between two batches of events, in milliseconds.
const MIN_BATCH_MS: f64 = 100.0;
/// Maximum time between two batches of events, in milliseconds.
const MAX_BATCH_MS: f64 = 2_000.0;
/// Time between two batches of events if the file sets none, in milliseconds.
const DEFAULT_BATCH_MS: u32 = 1_000;
/// Number of report intervals that a grant must outlast, so that it survives a lost report.
const REPORTS_PER_GRANT: u32 = 3;

/// The words of the forms in a plan.
const FORMS: &[&str] = &[
    "key-file", "planners", "shares", "reports", "events", "blind", "state", "log",
];

/// Reads one form and sets its values in the plan.
type SectionReader = fn(&Form, &mut Plan, &mut Faults);

/// Reads a plan from the text of a file; `file` is the file name in faults.
///
/// # Errors
///
/// All faults of the file, sorted by their position.
pub fn read(file: &str, text: &str) -> Result<Plan, Vec<Fault>> {
    let mut faults = Faults::of(file);
    let mut plan = Plan::default();
    root(text, "plan", &mut faults, |form, faults| {
        read_plan(&mut plan, form, faults);
    });
    faults.into_result(plan)
}

fn read_plan(plan: &mut Plan, root: &Form, faults: &mut Faults) {
    let mut forms = root.forms(FORMS, faults);
    match take_single(&mut forms, "key-file", faults) {
        Some(form) => plan.key_file = form.text(faults).map(|(text, _)| text).unwrap_or_default(),
        None => {
            let reason = "without a shared key, instances can't authenticate each other";
            faults.add(
                root.place,
                "key-file is missing".into(),
                reason,
                "add (key-file \"name.key\")",
            );
        }
    }
    match take_single(&mut forms, "planners", faults) {
        Some(form) => plan.planners = read_planners(&form, faults),
        None => {
            let remedy = "add (planners (planner (name p1) (listen \"127.0.0.1:7501\")))";
            faults.add(
                root.place,
                "planners is missing".into(),
                "forwarders get their guidance from planners",
                remedy,
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
        if let Some(form) = take_single(&mut forms, word, faults) {
            read(&form, plan, faults);
        }
    }
}

fn read_shares(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["reserve", "granted-ms", "drift", "seated"], faults);
    let mut take = |word: &str, faults: &mut Faults| take_single(&mut inner, word, faults);
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
        let reason = "a forwarder without a slot has only the quota that others lend";
        faults.add(
            form.place,
            "seated no with reserve 0".into(),
            reason,
            "set (reserve 0.1) or more in the plan of every instance",
        );
    }
}

fn read_reports(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["every-ms", "idle-ms"], faults);
    let every = take_single(&mut inner, "every-ms", faults);
    let idle = take_single(&mut inner, "idle-ms", faults);
    let place = every.as_ref().map(|form| form.place);
    let every = every.and_then(|form| form.number(20.0, 5_000.0, faults));
    plan.report_every_ms = every.map_or(plan.report_every_ms, |ms| ms as u32);
    if plan.report_every_ms * REPORTS_PER_GRANT > plan.grant_ms {
        let problem = format!(
            "reports every {} ms with grants of {} ms",
            plan.report_every_ms, plan.grant_ms
        );
        let reason = "a grant must outlast three reports, so that a lost one does not end it";
        faults.add(
            place.unwrap_or(form.place),
            problem,
            reason,
            "lower every-ms or raise granted-ms",
        );
    }
    let min_idle_ms = f64::from(plan.report_every_ms);
    let idle = idle.and_then(|form| form.number(min_idle_ms, MAX_IDLE_MS, faults));
    plan.report_idle_ms = idle.map_or(plan.report_every_ms, |ms| ms as u32);
}

fn read_events(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["by", "batch-ms"], faults);
    let by = take_single(&mut inner, "by", faults);
    let by = by.and_then(|form| form.choice(&["each-event", "digest"], faults));
    let batch = take_single(&mut inner, "batch-ms", faults);
    if by != Some("digest") {
        if let Some(batch) = batch {
            let reason = "only digests are sent in batches";
            faults.add(
                batch.place,
                "batch-ms without (by digest)".into(),
                reason,
                "remove batch-ms",
            );
        }
        return;
    }
    let batch = batch.and_then(|form| form.number(MIN_BATCH_MS, MAX_BATCH_MS, faults));
    plan.events = EventDelivery::Digest {
        batch_ms: batch.map_or(DEFAULT_BATCH_MS, |ms| ms as u32),
    };
    if plan.planners.is_empty() {
        let reason = "digests are sent by planners";
        faults.add(
            form.place,
            "(by digest) without planners".into(),
            reason,
            "list planners, or remove events",
        );
    }
}

fn read_without_contact(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["after-ms", "then"], faults);
    let after = take_single(&mut inner, "after-ms", faults);
    let then = take_single(&mut inner, "then", faults)
        .and_then(|form| form.choice(&["bounce", "go-on"], faults));
    if then == Some("go-on") {
        if let Some(after) = after {
            let reason = "(then go-on) has no time limit";
            faults.add(
                after.place,
                "after-ms together with (then go-on)".into(),
                reason,
                "remove after-ms",
            );
        }
        plan.without_contact = WithoutContact::GoOn;
        return;
    }
    // The coordinator sends a heartbeat each second. With a limit below that, only messages of planners can confirm the
    // endpoint list in time while there are no events.
    if let Some(ms) = after.and_then(|form| form.number(300.0, 60_000.0, faults)) {
        plan.without_contact = WithoutContact::RejectAfter { ms };
    }
}

fn read_state(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    match take_single(&mut form.forms(&["folder"], faults), "folder", faults) {
        Some(folder) => plan.state_folder = folder.text(faults).map(|(text, _)| text),
        None => {
            let reason = "the state needs a folder that outlives the process";
            faults.add(
                form.place,
                "folder is missing".into(),
                reason,
                "add (folder \"state\"), or remove state",
            );
        }
    }
}

fn read_log(form: &Form, plan: &mut Plan, faults: &mut Faults) {
    let mut inner = form.forms(&["format", "levels"], faults);
    let format = take_single(&mut inner, "format", faults)
        .and_then(|form| form.choice(&["text", "json"], faults));
    plan.log_format = if format == Some("json") {
        LogFormat::Json
    } else {
        LogFormat::Text
    };
    let levels = take_single(&mut inner, "levels", faults).and_then(|form| form.text(faults));
    if let Some((levels, _)) = levels {
        plan.log_levels = levels;
    }
}
