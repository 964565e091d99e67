//! Reads files that describe a model of the fleet:
//! `(model (zones 2) ... (faults (fault (kind die) (at-ms 8000) (lasts-ms 6000))))`.
//! Forms that a file leaves out have default values.

use flaxdeck_fleet::faults::KINDS;
use flaxdeck_fleet::{Fault, FaultKind, Scenario};
use flaxdeck_plan::form::{Faults, Form, root, take_single};

use crate::exit::{ExitError, file_faults};
use crate::files;

/// A form that holds one number: its keyword, the bounds of the number, and the setter of the scenario's field.
struct NumberForm {
    keyword: &'static str,
    min: f64,
    max: f64,
    set: fn(&mut Scenario, f64),
}

const fn number(
    keyword: &'static str,
    min: f64,
    max: f64,
    set: fn(&mut Scenario, f64),
) -> NumberForm {
    NumberForm {
        keyword,
        min,
        max,
        set,
    }
}

const NUMBERS: &[NumberForm] = &[
    number("zones", 1.0, 64.0, |it, n| it.zones = n as usize),
    number("forwarders", 1.0, 64.0, |it, n| {
        it.forwarders_per_zone = n as usize;
    }),
    number("planners", 0.0, 8.0, |it, n| it.planners = n as usize),
    number("caches", 1.0, 256.0, |it, n| {
        it.caches_per_zone = n as usize
    }),
    number("parents", 1.0, 256.0, |it, n| it.parents = n as usize),
    number("cache-places", 1.0, 1e4, |it, n| it.slots.cache = n),
    number("parent-places", 1.0, 1e4, |it, n| it.slots.parent = n),
    number("origin-places", 1.0, 1e4, |it, n| it.slots.origin = n),
    number("cache-keeps-kb", 0.0, 1e12, |it, n| it.cache_kb = n),
    number("parent-keeps-kb", 0.0, 1e12, |it, n| it.parent_kb = n),
    number("place-kb-per-ms", 0.1, 1e5, |it, n| it.slot_kb_per_ms = n),
    number("link-kb-per-ms", 0.1, 1e6, |it, n| it.link_kb_per_ms = n),
    number("near-ms", 0.0, 1e3, |it, n| it.near_latency_ms = n),
    number("far-ms", 0.0, 1e3, |it, n| it.far_latency_ms = n),
    number("origin-ms", 0.0, 1e4, |it, n| it.origin_latency_ms = n),
    number("cold-from", 0.01, 1.0, |it, n| it.slow_start_initial = n),
    number("warm-within-ms", 1.0, 1e7, |it, n| it.slow_start_ms = n),
    number("window-ms", 100.0, 6e4, |it, n| it.load_window_ms = n),
    number("fall-multiple", 1.0, 100.0, |it, n| it.overload_factor = n),
    number("register-ms", 0.0, 6e4, |it, n| it.coordinator_delay_ms = n),
    number("rate", 0.1, 1e6, |it, n| it.traffic.requests_per_s = n),
    number("objects", 1.0, 1e8, |it, n| it.traffic.objects = n as u64),
    number("power", 0.0, 4.0, |it, n| {
        it.traffic.popularity_exponent = n;
    }),
    number("median-kb", 0.1, 1e5, |it, n| it.traffic.median_kb = n),
    number("spread", 0.0, 5.0, |it, n| {
        it.traffic.size_log_deviation = n;
    }),
    number("writes", 0.0, 1.0, |it, n| it.traffic.write_fraction = n),
    number("day-ms", 1e3, 1e9, |it, n| it.duration_ms = n),
    number("tries", 1.0, 20.0, |it, n| it.max_tries = n as u32),
    number("wait-ms", 100.0, 1e6, |it, n| it.client_timeout_ms = n),
];

/// Keywords of the forms that a `fault` form may hold.
const FAULT_FORMS: [&str; 9] = [
    "kind", "at-ms", "lasts-ms", "part", "times", "zone", "at-once", "rate", "ms",
];

/// Reads the scenario from a model file.
pub(crate) fn read(file: &str) -> Result<Scenario, ExitError> {
    let text = files::read_text(file)?;
    let mut faults = Faults::of(file);
    let scenario = root(&text, "model", &mut faults, read_scenario).unwrap_or_default();
    faults
        .into_result(scenario)
        .map_err(|faults| file_faults(&faults))
}

fn read_scenario(form: &Form, faults: &mut Faults) -> Scenario {
    let mut scenario = Scenario::default();
    let mut known: Vec<&str> = NUMBERS.iter().map(|number| number.keyword).collect();
    known.push("faults");
    let mut forms = form.forms(&known, faults);
    for number in NUMBERS {
        let form = take_single(&mut forms, number.keyword, faults);
        let value = form.and_then(|form| form.number(number.min, number.max, faults));
        if let Some(value) = value {
            (number.set)(&mut scenario, value);
        }
    }
    if let Some(list) = take_single(&mut forms, "faults", faults) {
        let fault_forms = list.forms(&["fault"], faults);
        let read = fault_forms
            .iter()
            .filter_map(|form| read_fault(form, faults));
        scenario.faults = read.collect();
    }
    scenario
}

fn read_fault(form: &Form, faults: &mut Faults) -> Option<Fault> {
    let mut forms = form.forms(&FAULT_FORMS, faults);
    let kind = take_single(&mut forms, "kind", faults).and_then(|form| form.choice(KINDS, faults));
    let mut number = |keyword: &str, min: f64, max: f64, default: f64| {
        take_single(&mut forms, keyword, faults)
            .and_then(|form| form.number(min, max, faults))
            .unwrap_or(default)
    };
    let at_ms = number("at-ms", 0.0, 1e9, 8_000.0);
    let duration_ms = number("lasts-ms", 0.0, 1e9, 8_000.0);
    let part = number("part", 0.0, 1.0, 0.2);
    let times = number("times", 0.01, 1e3, 3.0);
    let zone = number("zone", 0.0, 63.0, 0.0);
    let at_once = number("at-once", 1.0, 256.0, 1.0);
    let rate = number("rate", 0.0, 1e6, 50.0);
    let ms = number("ms", 0.0, 1e6, 3_000.0);
    let Some(kind) = kind else {
        faults.add(
            form.place,
            "the fault's kind is missing or unknown".into(),
            "the kind determines what the fault does",
            "write a known kind, such as (kind die)",
        );
        return None;
    };
    let kind = FaultKind::from_name(kind, |parameter| match parameter {
        "part" => part,
        "times" => times,
        "at-once" => at_once,
        "zone" => zone,
        "ms" => ms,
        _ => rate,
    })?;
    Some(Fault {
        at_ms,
        duration_ms,
        kind,
    })
}
