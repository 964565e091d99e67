//! The operator's own file, beside the platform's: S-expressions, checked whole before anything starts. A file with
//! a fault changes nothing. The words are told in `docs/plan-file.md`.

pub mod form;

use std::net::SocketAddr;

pub use form::{Fault, Place};
use form::{Faults, Form, only, root};

/// One planner of the file. Its place in the list is its number at every forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct Planner {
    pub name: String,
    pub listen: SocketAddr,
}

/// What a forwarder does once it can't vouch for any host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blind {
    /// Every request that is not out is rejected, with a time to come back.
    RejectAfter { ms: f64 },
    /// It goes on with what it knew last.
    GoOn,
}

/// How forwarders hear of the coordinator's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Events {
    /// Each event by itself, from the coordinator and from every planner.
    EachEvent,
    /// Batches with purge digests from one planner, another ready to step in; from the coordinator while there is none.
    Digest { batch_ms: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    Text,
    Json,
}

/// What the file says, with the defaults where it says nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// A file with the shared key, 64 hex digits; relative to the plan's own place.
    pub key_file: String,
    pub planners: Vec<Planner>,
    /// The part of each cold host that planners have to grant by themselves.
    pub reserve: f64,
    pub granted_ms: u32,
    /// The part by which a clock may run fast or slow.
    pub drift: f64,
    pub seated: bool,
    pub report_every_ms: u32,
    /// Between reports while there is nothing urgent to tell; as long as `report_every_ms` unless the file says so.
    pub report_idle_ms: u32,
    pub events: Events,
    pub blind: Blind,
    pub log_form: LogForm,
    /// The folder in which a forwarder keeps its state; relative to the plan's own place. None keeps nothing.
    pub state_folder: Option<String>,
    /// In the words of `tracing`: `info` or `info,flaxdeck_dispatcher=debug`.
    pub log_levels: String,
}

/// How many planners one file may name: each forwarder reports to all of them.
pub const MAX_PLANNERS: usize = 8;

/// The longest time between two reports: who says nothing for a second more is taken to be lost.
const IDLE_MOST_MS: f64 = 1_500.0;
/// The least and the longest time between two batches of events, and what holds where the file tells none.
const BATCH_MS: [f64; 2] = [100.0, 2_000.0];
const BATCH_DEFAULT_MS: u32 = 1_000;

const TOP: &[&str] = &[
    "key-file", "planners", "shares", "reports", "events", "blind", "state", "log",
];

/// Reads a file's text; `file` is the name that faults bear.
pub fn read(file: &str, text: &str) -> Result<Plan, Vec<Fault>> {
    let mut faults = Faults::of(file);
    let plan = read_into(text, &mut faults);
    faults.or(plan)
}

fn read_into(text: &str, faults: &mut Faults) -> Plan {
    let mut plan = Plan {
        key_file: String::new(),
        planners: Vec::new(),
        reserve: 0.0,
        granted_ms: 1_200,
        drift: 0.01,
        seated: true,
        report_every_ms: 200,
        report_idle_ms: 200,
        events: Events::EachEvent,
        blind: Blind::RejectAfter { ms: 2_500.0 },
        state_folder: None,
        log_form: LogForm::Text,
        log_levels: "info".into(),
    };
    root(text, "plan", faults, |form, faults| {
        fill(&mut plan, form, faults)
    });
    plan
}

fn fill(plan: &mut Plan, root: &Form, faults: &mut Faults) {
    let mut forms = root.forms(TOP, faults);
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
        Some(form) => plan.planners = planners(&form, faults),
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
    if let Some(form) = only(&mut forms, "shares", faults) {
        let mut inner = form.forms(&["reserve", "granted-ms", "drift", "seated"], faults);
        let mut take = |word: &str, faults: &mut Faults| only(&mut inner, word, faults);
        let reserve = take("reserve", faults).and_then(|form| form.number(0.0, 0.9, faults));
        plan.reserve = reserve.unwrap_or(plan.reserve);
        let granted =
            take("granted-ms", faults).and_then(|form| form.number(300.0, 10_000.0, faults));
        plan.granted_ms = granted.map_or(plan.granted_ms, |ms| ms as u32);
        let drift = take("drift", faults).and_then(|form| form.number(0.0, 0.2, faults));
        plan.drift = drift.unwrap_or(plan.drift);
        plan.seated = take("seated", faults)
            .and_then(|form| form.flag(faults))
            .unwrap_or(true);
        if !plan.seated && plan.reserve == 0.0 {
            let why = "a forwarder without a seat lives on what others lend alone";
            faults.add(
                form.place,
                "seated no with reserve 0".into(),
                why,
                "set (reserve 0.1) or more everywhere",
            );
        }
    }
    if let Some(form) = only(&mut forms, "reports", faults) {
        let mut inner = form.forms(&["every-ms", "idle-ms"], faults);
        let every = only(&mut inner, "every-ms", faults);
        let idle = only(&mut inner, "idle-ms", faults);
        let place = every.as_ref().map(|form| form.place);
        let every = every.and_then(|form| form.number(20.0, 5_000.0, faults));
        plan.report_every_ms = every.map_or(plan.report_every_ms, |ms| ms as u32);
        if plan.report_every_ms * 3 > plan.granted_ms {
            let what = format!(
                "reports every {} ms with grants of {} ms",
                plan.report_every_ms, plan.granted_ms
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
        let idle = idle.and_then(|form| form.number(least, IDLE_MOST_MS, faults));
        plan.report_idle_ms = idle.map_or(plan.report_every_ms, |ms| ms as u32);
    }
    if let Some(form) = only(&mut forms, "events", faults) {
        events(&form, plan, faults);
    }
    if let Some(form) = only(&mut forms, "blind", faults) {
        blind(&form, plan, faults);
    }
    if let Some(form) = only(&mut forms, "state", faults) {
        let folder = only(&mut form.forms(&["folder"], faults), "folder", faults);
        match folder {
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
    if let Some(form) = only(&mut forms, "log", faults) {
        let mut inner = form.forms(&["format", "levels"], faults);
        let format = only(&mut inner, "format", faults)
            .and_then(|form| form.choice(&["text", "json"], faults));
        plan.log_form = if format == Some("json") {
            LogForm::Json
        } else {
            LogForm::Text
        };
        if let Some((levels, _)) =
            only(&mut inner, "levels", faults).and_then(|form| form.text(faults))
        {
            plan.log_levels = levels;
        }
    }
}

fn events(form: &Form, plan: &mut Plan, faults: &mut Faults) {
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
    let batch = batch.and_then(|form| form.number(BATCH_MS[0], BATCH_MS[1], faults));
    plan.events = Events::Digest {
        batch_ms: batch.map_or(BATCH_DEFAULT_MS, |ms| ms as u32),
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

fn blind(form: &Form, plan: &mut Plan, faults: &mut Faults) {
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
        plan.blind = Blind::GoOn;
        return;
    }
    // Below the coordinator's second, planners' words alone keep a forwarder from being blind on a calm day.
    if let Some(ms) = after.and_then(|form| form.number(300.0, 60_000.0, faults)) {
        plan.blind = Blind::RejectAfter { ms };
    }
}

fn planners(form: &Form, faults: &mut Faults) -> Vec<Planner> {
    let mut planners: Vec<Planner> = Vec::new();
    let forms = form.forms(&["planner"], faults);
    if forms.len() > MAX_PLANNERS {
        let what = format!("{} planners", forms.len());
        let why = format!("there may be {MAX_PLANNERS} at most, as each forwarder reports to all");
        faults.add(
            form.place,
            what,
            why,
            "list them as (planner (name p1) (listen \"address:port\"))",
        );
    }
    for form in forms {
        let mut inner = form.forms(&["name", "listen"], faults);
        let name = only(&mut inner, "name", faults);
        let listen = only(&mut inner, "listen", faults);
        for (found, word) in [(name.is_some(), "name"), (listen.is_some(), "listen")] {
            if !found {
                let why = "a planner needs both name and listen";
                faults.add(
                    form.place,
                    format!("{word} is missing"),
                    why,
                    format!("add ({word} ...)"),
                );
            }
        }
        let name = name.and_then(|form| {
            let (value, at) = form.value(faults)?;
            let name = value.as_symbol().or(value.as_str()).map(str::to_owned);
            if name.is_none() {
                faults.add(
                    at,
                    format!("name is {value}"),
                    "it is a word",
                    "write (name p1)",
                );
            }
            name.map(|name| (name, at))
        });
        let listen = listen.and_then(|form| {
            let (text, at) = form.text(faults)?;
            let address = text.parse().ok();
            if address.is_none() {
                let why = "it is an IP address and a port; names are not looked up";
                faults.add(
                    at,
                    format!("listen is {text:?}"),
                    why,
                    "write (listen \"127.0.0.1:7501\")",
                );
            }
            address.map(|address| (address, at))
        });
        let (Some((name, at)), Some((listen, listens_at))) = (name, listen) else {
            continue;
        };
        if planners.iter().any(|planner| planner.name == name) {
            let why = "two planners of one name can't be told apart";
            faults.add(
                at,
                format!("name {name} is taken"),
                why,
                "choose another name",
            );
        }
        let port: SocketAddr = listen;
        if port.port() != 0 && planners.iter().any(|planner| planner.listen == listen) {
            let why = "two planners can't listen at one address";
            faults.add(
                listens_at,
                format!("{listen} is taken"),
                why,
                "choose another port",
            );
        }
        planners.push(Planner { name, listen });
    }
    planners
}
