//! Files that describe a model: `(model (zones 2) ... (faults (fault (kind die) (at-ms 8000) (lasts-ms 6000))))`.
//! What a file leaves out has its default.

use flaxdeck_fleet::{Fault, FaultKind, Shape};
use flaxdeck_plan::form::{Faults, Form, only, root};

use crate::{Stop, faulty, files};

type Field = (&'static str, f64, f64, fn(&mut Shape, f64));

/// Each word with its bounds.
const FIELDS: &[Field] = &[
    ("zones", 1.0, 64.0, |shape, n| shape.zones = n as usize),
    ("forwarders", 1.0, 64.0, |shape, n| {
        shape.forwarders = n as usize
    }),
    ("planners", 0.0, 8.0, |shape, n| shape.planners = n as usize),
    ("caches", 1.0, 256.0, |shape, n| shape.caches = n as usize),
    ("parents", 1.0, 256.0, |shape, n| shape.parents = n as usize),
    ("cache-places", 1.0, 1e4, |shape, n| shape.places[0] = n),
    ("parent-places", 1.0, 1e4, |shape, n| shape.places[1] = n),
    ("origin-places", 1.0, 1e4, |shape, n| shape.places[2] = n),
    ("cache-keeps-kb", 0.0, 1e12, |shape, n| {
        shape.keeps_kb[0] = n
    }),
    ("parent-keeps-kb", 0.0, 1e12, |shape, n| {
        shape.keeps_kb[1] = n
    }),
    ("place-kb-per-ms", 0.1, 1e5, |shape, n| shape.place_pace = n),
    ("link-kb-per-ms", 0.1, 1e6, |shape, n| shape.link_pace = n),
    ("near-ms", 0.0, 1e3, |shape, n| shape.near_ms = n),
    ("far-ms", 0.0, 1e3, |shape, n| shape.far_ms = n),
    ("origin-ms", 0.0, 1e4, |shape, n| shape.origin_ms = n),
    ("cold-from", 0.01, 1.0, |shape, n| shape.cold_from = n),
    ("warm-within-ms", 1.0, 1e7, |shape, n| {
        shape.warm_within_ms = n
    }),
    ("window-ms", 100.0, 6e4, |shape, n| shape.window_ms = n),
    ("fall-multiple", 1.0, 100.0, |shape, n| shape.factor = n),
    ("register-ms", 0.0, 6e4, |shape, n| {
        shape.coordinator_delay_ms = n
    }),
    ("rate", 0.1, 1e6, |shape, n| shape.law.rate = n),
    ("objects", 1.0, 1e8, |shape, n| shape.law.objects = n as u64),
    ("power", 0.0, 4.0, |shape, n| shape.law.power = n),
    ("median-kb", 0.1, 1e5, |shape, n| shape.law.median_kb = n),
    ("spread", 0.0, 5.0, |shape, n| shape.law.spread = n),
    ("writes", 0.0, 1.0, |shape, n| shape.law.writes = n),
    ("day-ms", 1e3, 1e9, |shape, n| shape.day_ms = n),
    ("tries", 1.0, 20.0, |shape, n| shape.tries = n as u32),
    ("wait-ms", 100.0, 1e6, |shape, n| shape.wait_ms = n),
];

/// Reads a model's file.
pub fn read(file: &str) -> Result<Shape, Stop> {
    let text = files::text(file)?;
    let mut faults = Faults::of(file);
    let shape = root(&text, "model", &mut faults, shape).unwrap_or_default();
    let lines = |found: Vec<flaxdeck_plan::Fault>| {
        faulty(
            found
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n"),
        )
    };
    faults.or(shape).map_err(lines)
}

fn shape(form: &Form, faults: &mut Faults) -> Shape {
    let mut shape = Shape::default();
    let mut known: Vec<&str> = FIELDS.iter().map(|(word, ..)| *word).collect();
    known.push("faults");
    let mut forms = form.forms(&known, faults);
    for (word, least, most, set) in FIELDS {
        let value =
            only(&mut forms, word, faults).and_then(|form| form.number(*least, *most, faults));
        value.into_iter().for_each(|value| set(&mut shape, value));
    }
    if let Some(list) = only(&mut forms, "faults", faults) {
        shape.faults = list
            .forms(&["fault"], faults)
            .iter()
            .filter_map(|form| fault(form, faults))
            .collect();
    }
    shape
}

fn fault(form: &Form, faults: &mut Faults) -> Option<Fault> {
    let words = [
        "kind", "at-ms", "lasts-ms", "part", "times", "zone", "at-once", "rate", "ms",
    ];
    let mut forms = form.forms(&words, faults);
    let kind = only(&mut forms, "kind", faults)
        .and_then(|form| form.choice(flaxdeck_fleet::faults::KINDS, faults));
    let mut number = |word: &str, least: f64, most: f64, default: f64| {
        only(&mut forms, word, faults)
            .and_then(|form| form.number(least, most, faults))
            .unwrap_or(default)
    };
    let (at_ms, lasts_ms) = (
        number("at-ms", 0.0, 1e9, 8_000.0),
        number("lasts-ms", 0.0, 1e9, 8_000.0),
    );
    let (part, times) = (
        number("part", 0.0, 1.0, 0.2),
        number("times", 0.01, 1e3, 3.0),
    );
    let (zone, at_once) = (
        number("zone", 0.0, 63.0, 0.0),
        number("at-once", 1.0, 256.0, 1.0),
    );
    let (rate, ms) = (
        number("rate", 0.0, 1e6, 50.0),
        number("ms", 0.0, 1e6, 3_000.0),
    );
    let Some(kind) = kind else {
        let why = "a fault needs its kind";
        faults.add(
            form.place,
            "kind is missing or unknown".into(),
            why,
            "write (kind die) or the like",
        );
        return None;
    };
    let kind = FaultKind::of(kind, |what| match what {
        "part" => part,
        "times" => times,
        "at-once" => at_once,
        "zone" => zone,
        "ms" => ms,
        _ => rate,
    })?;
    Some(Fault {
        at_ms,
        lasts_ms,
        kind,
    })
}
